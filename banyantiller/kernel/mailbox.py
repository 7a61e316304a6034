"""Bounded mailboxes: how tasks talk to each other."""

import asyncio
from typing import Generic, TypeVar

M = TypeVar("M")

DEFAULT_CAPACITY = 1024


class Mailbox(Generic[M]):
    """A bounded queue of typed messages with one reading task.

    Attributes:
        dropped: Messages refused because the mailbox was full.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.queue: asyncio.Queue[M] = asyncio.Queue(capacity)
        self.dropped = 0

    def post(self, message: M) -> bool:
        """Adds a message without waiting.

        Args:
            message: The message to deliver.

        Returns:
            False when the mailbox is full and the message was dropped.
        """
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            self.dropped += 1
            return False
        return True

    async def put(self, message: M) -> None:
        """Adds a message, waiting while the mailbox is full."""
        await self.queue.put(message)

    async def get(self) -> M:
        """Waits for the next message."""
        return await self.queue.get()
