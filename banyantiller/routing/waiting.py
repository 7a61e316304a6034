"""The bounded queue of calls that wait in the daemon."""

import heapq

from banyantiller.routing.calls import CallState


class WaitingCalls:
    """Waiting calls of one group of servers, earliest deadline first.

    Attributes:
        heap: Deadline, insertion order and call.
        waiting: Calls that still wait, by number.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, CallState]] = []
        self.waiting: dict[int, CallState] = {}
        self.added_count = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, call: CallState) -> None:
        """Adds a call."""
        self.added_count += 1
        self.waiting[call.call_id] = call
        heapq.heappush(self.heap, (call.deadline, self.added_count, call))

    def remove(self, call: CallState) -> bool:
        """Removes a call; returns whether it was waiting."""
        return self.waiting.pop(call.call_id, None) is not None

    def earliest(self) -> CallState | None:
        """Returns the call with the earliest deadline, or None."""
        while self.heap:
            call = self.heap[0][2]
            if self.waiting.get(call.call_id) is call:
                return call
            heapq.heappop(self.heap)
        return None
