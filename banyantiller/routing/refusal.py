"""How soon calls drain, and so when to refuse and when to come back."""

import math

from banyantiller.errors import ErrorKind, Failure

LEAST_RETRY_AFTER_S = 0.05
MOST_RETRY_AFTER_S = 30.0
MEMORY_S = 1.0
LEAST_PART = 0.05


class DrainRate:
    """A fading count of answers, which gives the calls ended each second.

    Attributes:
        count: Answers, each fading with its age.
        at: When the count was last changed.
    """

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.at = now

    def ended(self, now: float) -> None:
        """Counts one call that ended."""
        self.count = self._faded(now) + 1.0
        self.at = now

    def per_second(self, now: float) -> float:
        """Returns the calls that end each second."""
        return self._faded(now) / MEMORY_S

    def _faded(self, now: float) -> float:
        return self.count * math.exp((self.at - now) / MEMORY_S)


def expected_wait(
    ahead: int, rate: float, slots: int, service_s: float
) -> float:
    """Returns the seconds until a call with some calls ahead starts.

    Args:
        ahead: Calls that start first.
        rate: Calls that end here each second, 0 if none did lately.
        slots: Requests that the servers run at once.
        service_s: Usual time of one request.
    """
    at_least = LEAST_PART * slots / service_s
    return (ahead + 1) / max(rate, at_least)


def failure(kind: ErrorKind, wait_s: float) -> Failure:
    """Builds a failure that says when to come back."""
    wait = min(max(wait_s, LEAST_RETRY_AFTER_S), MOST_RETRY_AFTER_S)
    return Failure(kind, retry_after=wait)
