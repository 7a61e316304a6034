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


class TestCase(testtools.TestCase):
    """A test case whose coroutines run on a paused clock."""

    def run_paused(self, body: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on a paused clock; see the function `run_paused`."""
        return run_paused(body)
