"""Claims in shared pages, to compare with one object a key.

Each page holds the keys of one shard. A daemon writes all that waits for a
page in one conditional update; ends ride along or are written after a while.
It knows no lost answers: it is here to be measured, not to be used.
"""

import asyncio
import zlib
from typing import Any, NamedTuple

from banyantiller.store import interface

KIND = "claimpages"
FLUSH_S = 0.25
CLAIMED = 1
DONE = 2


class Operation(NamedTuple):
    """One change of a page.

    Attributes:
        key: Short digest of the key.
        state: What the key is to become.
        done: Gets whether it became so.
    """

    key: str
    state: int
    done: asyncio.Future[bool]


class Page:
    """One daemon's view of one page, and what waits to be written to it.

    Attributes:
        conflicts: Updates lost to another daemon.
    """

    def __init__(self, store: interface.ObjectStore, name: str) -> None:
        self.store = store
        self.name = name
        self.item: interface.StoredObject | None = None
        self.waiting: list[Operation] = []
        self.wake = asyncio.Event()
        self.conflicts = 0
        self.task = asyncio.create_task(self.run())

    def add(self, key: str, state: int) -> asyncio.Future[bool]:
        """Queues a change; a claim is written at once."""
        done = asyncio.get_running_loop().create_future()
        self.waiting.append(Operation(key, state, done))
        if state == CLAIMED:
            self.wake.set()
        else:
            asyncio.get_running_loop().call_later(FLUSH_S, self.wake.set)
        return done

    async def run(self) -> None:
        """Writes what waits, one update after another."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = self.waiting
            self.waiting = []
            if batch:
                await self.write(batch)

    async def write(self, batch: list[Operation]) -> None:
        """Writes one batch, again after each conflict."""
        while True:
            if self.item is None:
                self.item = await self.read()
            value, results = apply(self.item.value, batch)
            written = await self.store.update(self.item, value)
            if isinstance(written, interface.Found):
                self.item = written.item
                break
            self.conflicts += 1
            self.item = None
        for operation, became in zip(batch, results, strict=True):
            operation.done.set_result(became)

    async def read(self) -> interface.StoredObject:
        """Reads the page, or makes it."""
        while True:
            got = await self.store.get(KIND, self.name)
            if isinstance(got, interface.Found):
                return got.item
            await self.store.create(KIND, self.name, {"keys": {}})


class PagedClaims:
    """One daemon's claims over a number of pages."""

    def __init__(self, store: interface.ObjectStore, count: int) -> None:
        self.store = store
        self.count = count
        self.pages: dict[int, Page] = {}

    def page(self, key: str) -> Page:
        """Returns the page that holds a key."""
        number = zlib.crc32(key.encode()) % self.count
        if number not in self.pages:
            self.pages[number] = Page(self.store, f"page-{number}")
        return self.pages[number]

    async def claim(self, key: str) -> bool:
        """Claims a key; tells whether it was free."""
        return await self.page(key).add(key, CLAIMED)

    async def finish(self, key: str) -> None:
        """Records that a key was run."""
        await self.page(key).add(key, DONE)

    def conflicts(self) -> int:
        """Returns the updates lost to other daemons."""
        return sum(page.conflicts for page in self.pages.values())

    def stop(self) -> None:
        """Ends the tasks of all pages."""
        for page in self.pages.values():
            page.task.cancel()


def apply(
    value: dict[str, Any], batch: list[Operation]
) -> tuple[dict[str, Any], list[bool]]:
    """Applies changes to the value of a page; a key is claimed once."""
    keys = dict(value["keys"])
    results = []
    for operation in batch:
        is_free = operation.state != CLAIMED or operation.key not in keys
        results.append(is_free)
        if is_free:
            keys[operation.key] = operation.state
    return {"keys": keys}, results
