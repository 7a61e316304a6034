"""Which calls get a log line: all that failed, and as many good ones as fit."""

from typing import NamedTuple

# Lines a second for calls that went well: three times the usual rate of a
# daemon, and 15 KB/s.
GOOD_LINES_S = 40
# Lines a second for all others; more would only repeat the same failure.
BAD_LINES_S = 400


class SkippedCalls(NamedTuple):
    """Calls of the last second without a line.

    Attributes:
        successful: Calls that went well.
        failed: Calls that failed.
    """

    successful: int
    failed: int


class CallSampler:
    """Counts the lines of each second.

    Attributes:
        second: The present second of the loop's clock.
        successful: Good calls in it.
        failed: Other calls in it.
    """

    def __init__(self) -> None:
        self.second = 0
        self.successful = 0
        self.failed = 0

    def begin_second(self, now: float) -> SkippedCalls | None:
        """Begins a new second; returns what the last one left out, if any."""
        if int(now) == self.second:
            return None
        skipped = SkippedCalls(
            max(0, self.successful - GOOD_LINES_S),
            max(0, self.failed - BAD_LINES_S),
        )
        self.second = int(now)
        self.successful = 0
        self.failed = 0
        return skipped if any(skipped) else None

    def should_log(self, successful: bool) -> bool:
        """Tells whether a call that ended now gets a line."""
        if successful:
            self.successful += 1
            return self.successful <= GOOD_LINES_S
        self.failed += 1
        return self.failed <= BAD_LINES_S
