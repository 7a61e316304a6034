"""Decides which large responses a daemon's link can still carry in time.

Load pattern: some responses are a thousand times as large as the others, and
the link of a daemon carries ten large ones a second. Ten callers that ask at
once for 90 kB fill a link of 10 Mbit/s for 0.7 s. All other replies of the
daemon are stuck behind them, and the last large ones end too late anyway.

A daemon therefore counts the bytes of the large responses that it has admitted.
A call whose response could not be transferred before its deadline is rejected
before it is sent to a server, and one that would fill the link for too long
waits until the responses before it are through.
"""

import enum
import math
from typing import NamedTuple

# Size of a large response before the first one, in bytes.
INITIAL_BYTES = 65536.0
# Minimum weight of one response in the mean size, which then covers some 20.
MIN_WEIGHT = 0.05
# Deviations above the mean size that are assumed for a response: a larger one
# is rare, and a call that is admitted is never cut.
SIZE_DEVIATIONS = 1.0
# Time for which large responses may fill the link before a further one waits:
# a small reply behind them is late by no more than that.
MAX_QUEUE_S = 0.05
# Share of the link that large responses may use. Small replies, probes and the
# messages between daemons need the rest.
LINK_SHARE = 0.8
BITS_PER_MEGABIT = 1e6


class Verdict(enum.Enum):
    """What happens to a call with a large response.

    Attributes:
        START: It may be sent to a server now.
        WAIT: It waits until earlier responses are transferred.
        REJECT: Its response can't be transferred before its deadline.
    """

    START = "start"
    WAIT = "wait"
    REJECT = "reject"


class Decision(NamedTuple):
    """A verdict, and the time after which it may be another one.

    Attributes:
        verdict: The verdict.
        retry_s: Time until the link has room, in seconds; 0 at `START`.
    """

    verdict: Verdict
    retry_s: float = 0.0


class Sizes:
    """Sizes of the responses of one route.

    Attributes:
        mean: Mean size in bytes.
        variance: Variance of the size.
        count: Number of responses.
    """

    def __init__(self) -> None:
        self.mean = INITIAL_BYTES
        self.variance = 0.0
        self.count = 0

    def record(self, size: int) -> None:
        """Records the size of a response, in bytes."""
        self.count += 1
        weight = max(MIN_WEIGHT, 1 / self.count)
        difference = size - self.mean
        self.mean += weight * difference
        if self.count > 1:
            self.variance = (1 - weight) * (
                self.variance + weight * difference * difference
            )

    def expected(self) -> float:
        """Returns the size to assume for the next response, in bytes."""
        return self.mean + SIZE_DEVIATIONS * math.sqrt(self.variance)


class LinkBacklog:
    """Bytes of large responses that were admitted and not yet transferred.

    The link is modelled as a queue that drains at its rate: a response that
    comes after an idle moment does not benefit from it.

    Attributes:
        bytes_per_s: Rate for large responses, or infinite without a limit.
        running: Expected bytes of calls whose responses have not arrived.
        queued: Bytes that have arrived and not yet left, as of `updated_at`.
        updated_at: Loop time of the last update.
    """

    def __init__(self, link_mbps: float, now: float) -> None:
        self.bytes_per_s = rate_of(link_mbps)
        self.running = 0.0
        self.queued = 0.0
        self.updated_at = now

    def decide(
        self,
        expected_bytes: float,
        work_s: float,
        remaining_s: float,
        now: float,
        waiting_bytes: float = 0.0,
    ) -> Decision:
        """Decides on a call.

        The link transfers what was admitted before while a server works on the
        call, so only the rest is in the way of its response.

        Args:
            expected_bytes: Size to assume for its response.
            work_s: Time that its server needs, in seconds.
            remaining_s: Time until its deadline, in seconds.
            now: Loop time.
            waiting_bytes: Expected bytes of the calls that wait before it.
        """
        waiting_s = waiting_bytes / self.bytes_per_s
        before_s = max(0.0, self.busy_s(now) + waiting_s - work_s)
        own_s = expected_bytes / self.bytes_per_s
        if work_s + before_s + own_s > remaining_s:
            # A response that would be too late on an idle link as well may be
            # smaller than expected, so it is tried.
            if before_s > 0:
                return Decision(Verdict.REJECT, before_s)
            return Decision(Verdict.START)
        if before_s > MAX_QUEUE_S:
            return Decision(Verdict.WAIT, before_s - MAX_QUEUE_S)
        return Decision(Verdict.START)

    def busy_s(self, now: float) -> float:
        """Returns how long the link is busy with what was admitted."""
        self._drain(now)
        return (self.running + self.queued) / self.bytes_per_s

    def start(self, expected_bytes: float) -> None:
        """Records that a call was sent to a server."""
        self.running += expected_bytes

    def finish(self, expected_bytes: float, size: int, now: float) -> None:
        """Records that a call ended with a response of some size."""
        self._drain(now)
        self.running = max(0.0, self.running - expected_bytes)
        if not math.isinf(self.bytes_per_s):
            self.queued += size

    def admitted_bytes(self, now: float) -> float:
        """Returns the bytes that were admitted and not yet transferred."""
        self._drain(now)
        return self.running + self.queued

    def _drain(self, now: float) -> None:
        passed_s = now - self.updated_at
        self.updated_at = now
        if self.queued:
            self.queued = max(0.0, self.queued - passed_s * self.bytes_per_s)


def rate_of(link_mbps: float) -> float:
    """Returns the rate for large responses in bytes per second.

    Args:
        link_mbps: Rate of the link in megabits per second; 0 for no limit.
    """
    if link_mbps <= 0:
        return math.inf
    return LINK_SHARE * link_mbps * BITS_PER_MEGABIT / 8
