"""Base class of all test cases: a paused clock and in-memory sockets."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import testtools

from banyantiller.replay import clock

T = TypeVar("T")


def run_paused(body: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a loop whose clock advances only when idle.

    Sockets of the loop are in memory, so nothing leaves the process, and a
    coroutine that waits for what can never happen raises an error.
    """
    with asyncio.Runner(loop_factory=clock.PausedLoop) as runner:
        return runner.run(body)


class TestCase(testtools.TestCase):
    """A test case whose coroutines run on a paused clock."""

    def run_paused(self, body: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the paused clock; see `run_paused`."""
        return run_paused(body)
