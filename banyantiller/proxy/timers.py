"""One coarse timer for an object that changes its mind often."""

import asyncio
import math
from collections.abc import Callable

NEVER = math.inf


class LazyTimer:
    """Calls `expired` once the loop's time has reached `due`.

    Moving `due` later costs one attribute: the loop's timer is left as it is
    and armed anew when it fires too early.

    Attributes:
        due: Loop time at which `expired` is called, or `NEVER`.
    """

    __slots__ = ("armed_for", "callback", "due", "loop", "loop_handle")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, callback: Callable[[], None]
    ) -> None:
        self.loop = loop
        self.callback = callback
        self.due = NEVER
        self.armed_for = NEVER
        self.loop_handle: asyncio.TimerHandle | None = None

    def set_lazily(self, due: float) -> None:
        """Moves the time at which `expired` is called."""
        self.due = due
        if due < self.armed_for:
            self._arm(due)

    def set_exactly(self, due: float) -> None:
        """Moves the time and the loop's timer with it.

        For a time that is mostly given up before it comes: cancelling the
        loop's timer costs less than waking up for nothing.
        """
        self.due = due
        if due == NEVER:
            self.stop()
        elif due != self.armed_for:
            self._arm(due)

    def stop(self) -> None:
        """Never calls `expired` again unless `set` is called."""
        self.due = NEVER
        self.armed_for = NEVER
        if self.loop_handle is not None:
            self.loop_handle.cancel()
            self.loop_handle = None

    def _arm(self, when: float) -> None:
        if self.loop_handle is not None:
            self.loop_handle.cancel()
        self.armed_for = when
        self.loop_handle = self.loop.call_at(when, self._fire)

    def _fire(self) -> None:
        self.loop_handle = None
        self.armed_for = NEVER
        if self.due == NEVER:
            return
        if self.loop.time() < self.due:
            self._arm(self.due)
            return
        self.due = NEVER
        self.callback()
