"""Work that is due at a time, for a driver that calls `tick`."""

import heapq
from collections.abc import Callable

from banyantiller.routing.types import Action

Work = Callable[[float], list[Action]]


class Timers:
    """A heap of work by time.

    Attributes:
        heap: Time, order of arrival and work.
        arrivals: Number of timers set so far.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Work]] = []
        self.arrivals = 0

    def at(self, when: float, work: Work) -> None:
        """Runs `work` when `tick` is called at `when` or later."""
        self.arrivals += 1
        heapq.heappush(self.heap, (when, self.arrivals, work))

    def run_due(self, now: float) -> list[Action]:
        """Runs what is due and returns its actions."""
        actions: list[Action] = []
        while self.heap and self.heap[0][0] <= now:
            work = heapq.heappop(self.heap)[2]
            actions += work(now)
        return actions

    def first(self) -> float | None:
        """Returns the time of the earliest work, or None."""
        return self.heap[0][0] if self.heap else None
