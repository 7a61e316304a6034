"""The kernel: starts supervised tasks and delivers typed events."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

log = structlog.get_logger("banyantiller.kernel")

INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0

TaskBody = Callable[[], Awaitable[None]]
Handler = Callable[[Any], None]


class Kernel:
    """Owns the tasks of a process and the table of event handlers.

    Attributes:
        tasks: Running tasks by name.
        handlers: Event handlers by event type.
        failures: Number of times each task ended with an exception.
    """

    def __init__(self, seed: int = 0) -> None:
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.handlers: dict[type, list[Handler]] = collections.defaultdict(list)
        self.failures: collections.Counter[str] = collections.Counter()
        self.random = random.Random(seed)

    def subscribe(self, event_type: type, handler: Handler) -> None:
        """Calls `handler` for each later event of exactly this type."""
        self.handlers[event_type].append(handler)

    def emit(self, event: Any) -> None:
        """Delivers an event to its handlers; a failing one is logged."""
        for handler in self.handlers.get(type(event), ()):
            try:
                handler(event)
            except Exception:
                log.exception("kernel: an event handler failed.")

    def start(self, name: str, body: TaskBody) -> None:
        """Starts a task that is restarted with back-off when it fails.

        Args:
            name: Unique name of the task.
            body: Called for each run; a normal return ends the task.
        """
        if name in self.tasks:
            raise ValueError(f"A task named {name} runs already.")
        task = asyncio.create_task(self._supervise(name, body), name=name)
        self.tasks[name] = task
        task.add_done_callback(lambda _: self.tasks.pop(name, None))

    async def stop(self, names: list[str] | None = None) -> None:
        """Cancels the named tasks, or all, and waits for their end."""
        wanted = list(self.tasks) if names is None else names
        ending = [self.tasks[name] for name in wanted if name in self.tasks]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    async def _supervise(self, name: str, body: TaskBody) -> None:
        pause = INITIAL_RESTART_DELAY_S
        while True:
            try:
                await body()
                return
            except Exception:
                self.failures[name] += 1
                log.exception("kernel: a task failed.", task=name)
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(pause * 2, MAX_RESTART_DELAY_S)
