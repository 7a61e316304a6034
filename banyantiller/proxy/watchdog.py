"""One coarse timer for an object that changes its mind often."""

import asyncio
import math
from collections.abc import Callable

NEVER = math.inf


class Watchdog:
    """Calls `expired` once the loop's time has reached `due`.

    Moving `due` later costs one attribute: the loop's timer is left as it is
    and armed anew when it fires too early.

    Attributes:
        due: Loop time at which `expired` is called, or `NEVER`.
    """

    __slots__ = ("armed", "due", "expired", "handle", "loop")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, expired: Callable[[], None]
    ) -> None:
        self.loop = loop
        self.expired = expired
        self.due = NEVER
        self.armed = NEVER
        self.handle: asyncio.TimerHandle | None = None

    def set(self, due: float) -> None:
        """Moves the time at which `expired` is called."""
        self.due = due
        if due < self.armed:
            self._arm(due)

    def move(self, due: float) -> None:
        """Moves the time and the loop's timer with it.

        For a time that is mostly given up before it comes: cancelling the
        loop's timer costs less than waking up for nothing.
        """
        self.due = due
        if due == NEVER:
            self.stop()
        elif due != self.armed:
            self._arm(due)

    def stop(self) -> None:
        """Never calls `expired` again unless `set` is called."""
        self.due = NEVER
        self.armed = NEVER
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _arm(self, when: float) -> None:
        if self.handle is not None:
            self.handle.cancel()
        self.armed = when
        self.handle = self.loop.call_at(when, self._fire)

    def _fire(self) -> None:
        self.handle = None
        self.armed = NEVER
        if self.due == NEVER:
            return
        if self.loop.time() < self.due:
            self._arm(self.due)
            return
        self.due = NEVER
        self.expired()
