"""How many calls end here each second."""

import math

MEMORY_S = 1.0


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
