"""All promises that are judged, and how each one is judged.

`banyantiller held` prints for each promise and period whether it held, was
broken, or is not known. `STATEMENTS` names the evidence for each promise and
the limits of that evidence.
"""

import enum
from typing import NamedTuple


class Promise(enum.StrEnum):
    """All promises that the product makes."""

    MEASURING_IN_BUDGET = "measuring_in_budget"
    WHOLE_OWN_ANSWER = "whole_own_answer"
    NOT_RUN_IS_NOT_RUN = "not_run_is_not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_SERVER_SPARED = "leaving_server_spared"
    SHUTDOWN_CUTS_NOTHING = "shutdown_cuts_nothing"
    BUNDLE_IN_FORCE = "bundle_in_force"


class Statement(NamedTuple):
    """A promise and how it is judged.

    Attributes:
        text: The promise in one sentence.
        judged_by: Evidence that shows a breach.
        blind_to: Breaches that the evidence can't show.
    """

    text: str
    judged_by: str
    blind_to: str


STATEMENTS: dict[Promise, Statement] = {
    Promise.MEASURING_IN_BUDGET: Statement(
        "Probes of all daemons together stay within each service's budget.",
        "The sum of the probes that daemons counted, against the budget over"
        " the same time.",
        "Probes of a daemon that crashed before its next summary.",
    ),
    Promise.WHOLE_OWN_ANSWER: Statement(
        "Every caller receives the whole answer to its own request.",
        "A relayed answer that ended before it was whole, unless its caller"
        " had left; an answer that a daemon saw to be another caller's.",
        "A backend server that sends the wrong content under the right"
        " request.",
    ),
    Promise.NOT_RUN_IS_NOT_RUN: Statement(
        "A request that was answered as not run was not run.",
        "A failure that says 'not run' after bytes of the request went to a"
        " server that did not itself say that it was not run.",
        "A backend server that runs a request and says that it did not.",
    ),
    Promise.AT_MOST_ONCE: Statement(
        "A non-idempotent request runs at most once.",
        "More than one attempt of one call that wrote bytes to a server and"
        " that the server did not reject as not run.",
        "Requests between backend servers, a key granted twice, and requests"
        " that callers repeat without an idempotency key.",
    ),
    Promise.LEAVING_SERVER_SPARED: Statement(
        "A leaving server gets no new requests after a few seconds.",
        "A call whose answered or last attempt was sent later than the"
        " configured time after the daemon learned that the server is leaving.",
        "A server that leaves without telling the platform or any daemon, and"
        " an attempt without an answer after which the call was retried on"
        " another server.",
    ),
    Promise.SHUTDOWN_CUTS_NOTHING: Statement(
        "A graceful shutdown of a server or a daemon cuts no request.",
        "An answer that was cut while its daemon or its server was leaving,"
        " and a call in flight at the drain limit.",
        "Daemons killed during their shutdown, as they can't report it.",
    ),
    Promise.BUNDLE_IN_FORCE: Statement(
        "An accepted bundle is in force everywhere within seconds and never"
        " reverts.",
        "The time between acceptance and force at each daemon, and the order"
        " of the versions that each daemon applied.",
        "Delays smaller than the difference between the machines' clocks.",
    ),
}
