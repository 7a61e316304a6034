"""Decides when to hedge a request, and which servers are good enough for it.

Load pattern: a server runs a request and its response is lost, or it becomes
unresponsive with requests running. A request is not hedged earlier just because
the first server is slow: the hedge would take the slot of another request.
"""

from typing import NamedTuple

# A server that has not answered after this share of the objective is probed, to
# see whether it is alive.
PROBE_SHARE = 0.6
# A request is hedged in any case after this share of the objective: by then the
# first server has become some four times slower, or will never answer.
LATE_SHARE = 0.9
# A hedge needs a server that is free and works at its usual speed; otherwise
# both attempts are late.
MAX_SCORE = 1.8
# Pause before the next search for a server for the hedge.
RECHECK_PAUSE_S = 0.03
# Share of the retry budget that hedges may use up; the rest is reserved for
# requests whose only server failed.
BUDGET_SHARE = 0.6


class FirstAttempt(NamedTuple):
    """The only running attempt of a call.

    Attributes:
        waited_s: Time since it was sent, in seconds.
        objective_s: Latency objective of the route, in seconds.
        unresponsive: Whether its server has not answered a probe since.
        probed: Whether its server was probed since.
    """

    waited_s: float
    objective_s: float
    unresponsive: bool
    probed: bool = False


def should_hedge(first: FirstAttempt) -> bool:
    """Returns whether the only attempt seems dead or takes too long."""
    late_s = first.objective_s * LATE_SHARE
    return first.unresponsive or first.waited_s >= late_s


def recheck_after_s(first: FirstAttempt) -> float:
    """Returns the time until the next check of the attempt, in seconds."""
    probe_s = first.objective_s * PROBE_SHARE
    return min(probe_s, RECHECK_PAUSE_S) if should_hedge(first) else probe_s
