"""Runs a demonstration in a folder of its own and tells how it went."""

import asyncio
import pathlib
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from typing import TypeVar

from standins import processes

T = TypeVar("T")


def run(
    play: Callable[[pathlib.Path, int], Awaitable[T]], seed: int
) -> T | None:
    """Plays a demonstration; None if it failed, which is told.

    Args:
        play: Gets a folder for logs and the seed.
        seed: Seed of arrivals and of choices.
    """

    async def whole(folder: pathlib.Path) -> T:
        _end_on_sigterm()
        return await play(folder, seed)

    found = None
    with tempfile.TemporaryDirectory(prefix="banyantiller-demo-") as folder:
        try:
            found = asyncio.run(whole(pathlib.Path(folder)))
        except* (processes.DemoError, TimeoutError) as group:
            for error in group.exceptions:
                say(f"failed: {error or type(error).__name__}")
        except* asyncio.CancelledError:
            say("failed: told to end")
    return found


def _end_on_sigterm() -> None:
    """Ends every process before this one when it is told to end."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)


def say(text: str) -> None:
    """Prints a line of progress."""
    print(text, file=sys.stderr, flush=True)
