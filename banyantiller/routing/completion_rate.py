"""How many calls end here each second."""

import math

DECAY_S = 1.0


class CompletionRate:
    """A fading count of answers, which gives the calls ended each second.

    Attributes:
        count: Answers, each fading with its age.
        updated_at: When the count was last changed.
    """

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.updated_at = now

    def record_completion(self, now: float) -> None:
        """Counts one call that ended."""
        self.count = self._decayed_count(now) + 1.0
        self.updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the calls that end each second."""
        return self._decayed_count(now) / DECAY_S

    def _decayed_count(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / DECAY_S)
