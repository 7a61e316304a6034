"""Work that is due at a time, for a driver that calls `tick`."""

import heapq
from collections.abc import Callable

from banyantiller.routing.calls import CallState
from banyantiller.routing.types import Action

LEAST_SWEEP = 256

Work = Callable[[float], list[Action]]


class Timers:
    """A heap of work by time.

    Attributes:
        heap: Time, order of arrival, work, and the call that it is for.
        arrivals: Number of timers set so far.
        sweep_at: Length of the heap at which finished calls are swept out.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Work, CallState | None]] = []
        self.arrivals = 0
        self.sweep_at = LEAST_SWEEP

    def at(
        self, when: float, work: Work, call: CallState | None = None
    ) -> None:
        """Runs `work` when `tick` is called at `when` or later.

        Work for a call is forgotten once the call is finished.
        """
        self.arrivals += 1
        heapq.heappush(self.heap, (when, self.arrivals, work, call))
        if len(self.heap) >= self.sweep_at:
            self._sweep()

    def run_due(self, now: float) -> list[Action]:
        """Runs what is due and returns its actions."""
        actions: list[Action] = []
        while self.heap and self.heap[0][0] <= now:
            work = heapq.heappop(self.heap)[2]
            actions += work(now)
        return actions

    def first(self) -> float | None:
        """Returns the time of the earliest work, or None.

        Without dropping the work of finished calls, the driver would wake up
        once or twice for each of them.
        """
        while self.heap:
            when, _, _, call = self.heap[0]
            if call is None or not call.finished:
                return when
            heapq.heappop(self.heap)
        return None

    def _sweep(self) -> None:
        self.heap = [
            item
            for item in self.heap
            if item[3] is None or not item[3].finished
        ]
        heapq.heapify(self.heap)
        self.sweep_at = max(LEAST_SWEEP, 2 * len(self.heap))
