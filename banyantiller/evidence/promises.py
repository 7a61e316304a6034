"""The closed list of promises that are judged, and what each one needs.

`banyantiller held` answers for each promise and period whether it held, was
broken, or is not known. The table says by what evidence, and what that
evidence can't show.
"""

import enum
from typing import NamedTuple


class Promise(enum.StrEnum):
    """Every promise that the product makes."""

    MEASURING_IN_BUDGET = "measuring_in_budget"
    WHOLE_OWN_ANSWER = "whole_own_answer"
    NOT_RUN_IS_NOT_RUN = "not_run_is_not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_SERVER_SPARED = "leaving_server_spared"
    SHUTDOWN_CUTS_NOTHING = "shutdown_cuts_nothing"
    BUNDLE_IN_FORCE = "bundle_in_force"


class Statement(NamedTuple):
    """What is promised and how it is judged.

    Attributes:
        text: The promise in one sentence.
        judged_by: How a breach shows in the evidence.
        blind_to: What the evidence can't show.
    """

    text: str
    judged_by: str
    blind_to: str


STATEMENTS: dict[Promise, Statement] = {
    Promise.MEASURING_IN_BUDGET: Statement(
        "Probes of all daemons together stay within each service's budget.",
        "The sum of the probes that daemons counted, against the budget over"
        " the same time.",
        "Probes of a daemon that died before its next summary.",
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
        "More than one try, of one call, that wrote bytes to a server and was"
        " not refused by it as not run.",
        "What backend servers do among themselves, a key granted twice, and"
        " requests that callers repeat without an idempotency key.",
    ),
    Promise.LEAVING_SERVER_SPARED: Statement(
        "A leaving server gets no new requests after a few seconds.",
        "A call whose answered or last try was sent later than the set time"
        " after the daemon learned that the server is leaving.",
        "A server that leaves without telling the platform or any daemon, and"
        " a try without an answer after which the call was tried elsewhere.",
    ),
    Promise.SHUTDOWN_CUTS_NOTHING: Statement(
        "A graceful shutdown of a server or a daemon cuts no request.",
        "An answer that was cut while its daemon or its server was leaving,"
        " and a call in flight at the drain limit.",
        "Shutdowns that were killed: the daemon can't report them.",
    ),
    Promise.BUNDLE_IN_FORCE: Statement(
        "An accepted bundle is in force everywhere within seconds and never"
        " reverts.",
        "The time between acceptance and force at each daemon, and the order"
        " of the versions that each daemon applied.",
        "Delays smaller than the difference between the machines' clocks.",
    ),
}
