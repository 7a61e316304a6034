"""Which calls get a log line: all that failed, and as many good ones as fit."""

from typing import NamedTuple

# Lines a second for calls that went well: three times the usual rate of a
# daemon, and 15 KB/s.
GOOD_LINES_S = 40
# Lines a second for all others; more would only repeat the same failure.
BAD_LINES_S = 400


class Skipped(NamedTuple):
    """Calls of the last second without a line.

    Attributes:
        good: Calls that went well.
        bad: Calls that failed.
    """

    good: int
    bad: int


class CallSampler:
    """Counts the lines of each second.

    Attributes:
        second: The present second of the loop's clock.
        good: Good calls in it.
        bad: Other calls in it.
    """

    def __init__(self) -> None:
        self.second = 0
        self.good = 0
        self.bad = 0

    def turn(self, now: float) -> Skipped | None:
        """Begins a new second; returns what the last one left out, if any."""
        if int(now) == self.second:
            return None
        skipped = Skipped(
            max(0, self.good - GOOD_LINES_S), max(0, self.bad - BAD_LINES_S)
        )
        self.second = int(now)
        self.good = 0
        self.bad = 0
        return skipped if any(skipped) else None

    def take(self, good: bool) -> bool:
        """Tells whether a call that ended now gets a line."""
        if good:
            self.good += 1
            return self.good <= GOOD_LINES_S
        self.bad += 1
        return self.bad <= BAD_LINES_S
