"""Scheduled callbacks for a driver that calls `tick`."""

import heapq
from collections.abc import Callable

from banyantiller.routing.calls import CallState
from banyantiller.routing.types import Action

MIN_SWEEP_LENGTH = 256

Callback = Callable[[float], list[Action]]


class Timers:
    """A heap of callbacks ordered by time.

    Attributes:
        heap: Due time, insertion order, callback, and the call that it is for.
        scheduled_count: Number of callbacks scheduled so far.
        sweep_length: Length of the heap at which the callbacks of finished
            calls are removed.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callback, CallState | None]] = []
        self.scheduled_count = 0
        self.sweep_length = MIN_SWEEP_LENGTH

    def schedule(
        self, due_at: float, callback: Callback, call: CallState | None = None
    ) -> None:
        """Runs `callback` at the first `tick` at `due_at` or later.

        A callback for a call is dropped once the call is finished.
        """
        self.scheduled_count += 1
        heapq.heappush(
            self.heap, (due_at, self.scheduled_count, callback, call)
        )
        if len(self.heap) >= self.sweep_length:
            self._sweep()

    def run_due(self, now: float) -> list[Action]:
        """Runs the due callbacks and returns their actions."""
        actions: list[Action] = []
        while self.heap and self.heap[0][0] <= now:
            callback = heapq.heappop(self.heap)[2]
            actions += callback(now)
        return actions

    def next_due(self) -> float | None:
        """Returns the time of the earliest callback, or None.

        Drops the callbacks of finished calls: otherwise the driver would wake
        up once or twice for each of them.
        """
        while self.heap:
            due_at, _, _, call = self.heap[0]
            if call is None or not call.finished:
                return due_at
            heapq.heappop(self.heap)
        return None

    def _sweep(self) -> None:
        self.heap = [
            item
            for item in self.heap
            if item[3] is None or not item[3].finished
        ]
        heapq.heapify(self.heap)
        self.sweep_length = max(MIN_SWEEP_LENGTH, 2 * len(self.heap))
