"""An event loop whose clock advances only when nothing else is to do.

Its sockets are in memory. The library's own loop may run a timer up to one
step of its clock too early; code that then arms the timer anew would run it
again at the same time, without end. Here a timer is never early.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import async_solipsism

STEP_S = 1e-6


class PausedLoop(async_solipsism.EventLoop):
    """The paused loop; its clock advances in steps of `STEP_S`."""

    def __init__(self) -> None:
        super().__init__()
        # A timer runs when its time is less than this ahead.
        self._clock_resolution = STEP_S / 2

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Any = None,
    ) -> asyncio.TimerHandle:
        """Calls back at the first step of the clock that is not too early."""
        if math.isinf(when):
            return super().call_at(when, callback, *args, context=context)
        steps = math.ceil(when / STEP_S)
        if steps * STEP_S < when:
            steps += 1
        return super().call_at(steps * STEP_S, callback, *args, context=context)
