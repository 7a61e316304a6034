"""When a second server is tried beside the first, and which one will do.

The load pattern: a server runs a request and its answer is lost, or it falls
silent with requests on it. A second one is not tried earlier wherever the first
is slow: it would take the slot of another request.
"""

from typing import NamedTuple

# A server that has not answered after this share of the objective is asked
# whether it lives.
PROBE_SHARE = 0.6
# In any case a second server is tried after this share of the objective: by
# then the first has become some four times slower, or will never answer.
LATE_SHARE = 0.9
# A second server must be free and at usual speed, or both are late.
MAX_SCORE = 1.8
# Pause before a second server is looked for again.
RETRY_PAUSE_S = 0.03
# Part of the retry budget that second servers may use up; the rest is for
# requests whose only server failed.
BUDGET_SHARE = 0.6


class FirstAttempt(NamedTuple):
    """The only try of a call that is running.

    Attributes:
        waited_s: Time since it began, in seconds.
        objective_s: Latency objective of the route, in seconds.
        suspected: Whether its server did not answer a question meanwhile.
    """

    waited_s: float
    objective_s: float
    suspected: bool


def should_hedge(first: FirstAttempt) -> bool:
    """Tells whether the only try seems dead or takes too long."""
    late_s = first.objective_s * LATE_SHARE
    return first.suspected or first.waited_s >= late_s


def recheck_after_s(first: FirstAttempt) -> float:
    """Returns after which time the only try is looked at again, in seconds."""
    doubt_s = first.objective_s * PROBE_SHARE
    return min(doubt_s, RETRY_PAUSE_S) if should_hedge(first) else doubt_s
