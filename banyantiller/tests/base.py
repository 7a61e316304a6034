"""Base class of test cases, with a simulated clock and in-memory sockets."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import testtools

from banyantiller.replay import clock

T = TypeVar("T")


def run_paused(body: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a loop whose clock advances only when it is idle.

    Sockets of the loop are in memory, so that no traffic leaves the process.
    A coroutine that waits for an event that can never happen raises an error.
    """
    with asyncio.Runner(loop_factory=clock.PausedLoop) as runner:
        return runner.run(body)


class LoopSteps:
    """Counts the steps of the loop, in each of which other tasks can run.

    Attributes:
        count: Steps so far.
    """

    def __init__(self) -> None:
        self.count = 0
        self.task = asyncio.ensure_future(self._run())

    def stop(self) -> int:
        """Ends the count and returns it."""
        self.task.cancel()
        return self.count

    async def _run(self) -> None:
        while True:
            self.count += 1
            await asyncio.sleep(0)


class TestCase(testtools.TestCase):
    """A test case whose coroutines run on a paused clock."""

    def run_paused(self, body: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on a paused clock; see the function `run_paused`."""
        return run_paused(body)
