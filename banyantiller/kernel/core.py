"""Supervises the tasks of a process and delivers typed events."""

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
        failures: Number of times each task failed with an exception.
        random: Source of the jitter of restart delays.
    """

    def __init__(self, seed: int = 0) -> None:
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.handlers: dict[type, list[Handler]] = collections.defaultdict(list)
        self.failures: collections.Counter[str] = collections.Counter()
        self.random = random.Random(seed)

    def subscribe(self, event_type: type, handler: Handler) -> None:
        """Calls `handler` for each later event of exactly this type.

        Events of subclasses are not delivered to it.
        """
        self.handlers[event_type].append(handler)

    def emit(self, event: Any) -> None:
        """Delivers an event to its handlers.

        A handler that raises is logged; the remaining ones are still called.
        """
        for handler in self.handlers.get(type(event), ()):
            try:
                handler(event)
            except Exception:
                log.exception("kernel: an event handler failed.")

    def start(self, name: str, body: TaskBody) -> None:
        """Starts a task that is restarted with exponential back-off on failure.

        Args:
            name: Unique name of the task.
            body: Called for each run; the task ends when it returns.

        Raises:
            ValueError: A task of this name is running.
        """
        if name in self.tasks:
            raise ValueError(f"Task '{name}' is already running.")
        task = asyncio.create_task(self._supervise(name, body), name=name)
        self.tasks[name] = task
        task.add_done_callback(lambda _: self.tasks.pop(name, None))

    async def stop(self, names: list[str] | None = None) -> None:
        """Cancels tasks and waits until they have finished.

        Args:
            names: Names of the tasks; unknown ones are ignored. None stops
                all tasks.
        """
        selected = list(self.tasks) if names is None else names
        stopping = [self.tasks[name] for name in selected if name in self.tasks]
        for task in stopping:
            task.cancel()
        await asyncio.gather(*stopping, return_exceptions=True)

    async def _supervise(self, name: str, body: TaskBody) -> None:
        delay_s = INITIAL_RESTART_DELAY_S
        while True:
            try:
                await body()
                return
            except Exception:
                self.failures[name] += 1
                log.exception("kernel: a task failed.", task=name)
            await asyncio.sleep(delay_s * self.random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, MAX_RESTART_DELAY_S)
