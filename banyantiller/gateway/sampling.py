"""Decides which calls are logged, by limits on lines per second."""

from typing import NamedTuple

# Log lines per second for successful calls: three times the usual rate of a
# daemon, and 15 KB/s.
MAX_SUCCESSFUL_LINES_PER_S = 40
# Log lines per second for all others; more would only repeat the same failure.
MAX_FAILED_LINES_PER_S = 400


class SkippedCalls(NamedTuple):
    """Calls of the last second that were not logged.

    Attributes:
        successful: Number of successful calls.
        failed: Number of failed or retried calls.
    """

    successful: int
    failed: int


class CallSampler:
    """Counts the calls of each second.

    Attributes:
        second: The current second of the event loop's clock.
        successful: Successful calls in it.
        failed: Failed or retried calls in it.
    """

    def __init__(self) -> None:
        self.second = 0
        self.successful = 0
        self.failed = 0

    def begin_second(self, now: float) -> SkippedCalls | None:
        """Starts a new second; returns the skipped calls of the last one."""
        if int(now) == self.second:
            return None
        skipped = SkippedCalls(
            max(0, self.successful - MAX_SUCCESSFUL_LINES_PER_S),
            max(0, self.failed - MAX_FAILED_LINES_PER_S),
        )
        self.second = int(now)
        self.successful = 0
        self.failed = 0
        return skipped if any(skipped) else None

    def should_log(self, successful: bool) -> bool:
        """Returns whether a call that ended now is logged."""
        if successful:
            self.successful += 1
            return self.successful <= MAX_SUCCESSFUL_LINES_PER_S
        self.failed += 1
        return self.failed <= MAX_FAILED_LINES_PER_S
