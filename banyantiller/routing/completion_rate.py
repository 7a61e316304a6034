"""Rate at which this daemon's calls complete."""

import math

DECAY_S = 1.0


class CompletionRate:
    """Exponentially decaying count of completed calls.

    Attributes:
        count: Completed calls, weighted by age.
        updated_at: Loop time of the last change of the count.
    """

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.updated_at = now

    def record_completion(self, now: float) -> None:
        """Counts one completed call."""
        self.count = self._decayed_count(now) + 1.0
        self.updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the completed calls per second."""
        return self._decayed_count(now) / DECAY_S

    def _decayed_count(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / DECAY_S)
