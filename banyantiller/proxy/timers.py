"""A timer that is cheap to reschedule."""

import asyncio
import math
from collections.abc import Callable

NEVER = math.inf


class LazyTimer:
    """Calls `callback` once the loop's time has reached `due`.

    Moving `due` later only sets an attribute: the loop's timer stays as it is
    and is rescheduled if it fires too early.

    Attributes:
        due: Loop time at which `callback` is called, or `NEVER`.
        armed_for: Loop time for which the loop's timer is set, or `NEVER`.
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
        """Changes the due time; an earlier timer of the loop stays set."""
        self.due = due
        if due < self.armed_for:
            self._arm(due)

    def set_exactly(self, due: float) -> None:
        """Changes the due time and reschedules the loop's timer.

        Suits a time that is usually cancelled before it comes: cancelling the
        loop's timer costs less than a useless wake-up.
        """
        self.due = due
        if due == NEVER:
            self.stop()
        elif due != self.armed_for:
            self._arm(due)

    def stop(self) -> None:
        """Stops the timer until a due time is set again."""
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
