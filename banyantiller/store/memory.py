"""An object store in memory, for tests and for embedding.

Several stores may share one `ObjectTable`. Each has its own faults, which
models daemons that reach one object API over different networks.
"""

import asyncio
import collections
import copy
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

from banyantiller.store import interface
from banyantiller.store import table as tables

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_BOOKMARK_S = 3.0
BOOKMARKS_PER_TIMEOUT = 3


@dataclasses.dataclass
class Faults:
    """Faults to inject into a store.

    Attributes:
        down: Calls fail without effect; open watches end.
        slow_s: Delay until a call takes effect, in seconds of the loop's
            clock. A write slower than the store's timeout returns `Unknown`
            and takes effect afterwards.
        lose_answers: Number of next writes that take effect but whose
            response is lost.
        silent_watches: Watches stay open and deliver nothing.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


class MemoryStore:
    """An `ObjectStore` over a table in the same process.

    Attributes:
        table: The objects; may be shared.
        faults: Faults of this store.
        calls: Calls by verb; an open watch counts as one.
        timeout_s: Timeout of one call.
        bookmark_s: Timeout of a watch that delivers nothing.
        stale_snapshot: Old objects that reads return, or None for current
            ones.
    """

    def __init__(
        self,
        table: tables.ObjectTable | None = None,
        faults: Faults | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        bookmark_s: float = DEFAULT_BOOKMARK_S,
    ) -> None:
        self.table = table or tables.ObjectTable()
        self.faults = faults or Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.timeout_s = timeout_s
        self.bookmark_s = bookmark_s
        self.stale_snapshot: tables.Snapshot | None = None

    def serve_stale(self, on: bool) -> None:
        """Freezes the state that reads return, until switched off."""
        self.stale_snapshot = self.table.snapshot() if on else None

    async def get(self, kind: str, name: str) -> interface.GetOutcome:
        """Reads one object."""
        self.calls["get"] += 1
        return await self._read(
            lambda: self.table.get(kind, name, self.stale_snapshot)
        )

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind that carry the given labels."""
        self.calls["list"] += 1
        return await self._read(
            lambda: self.table.list(kind, labels, self.stale_snapshot)
        )

    async def create(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        labels: dict[str, str] | None = None,
    ) -> interface.CreateOutcome:
        """Writes an object that must not exist yet."""
        self.calls["create"] += 1
        sent = copy.deepcopy(value)
        return await self._write(
            lambda: self.table.create(kind, name, sent, labels)
        )

    async def update(
        self, item: interface.StoredObject, value: dict[str, Any]
    ) -> interface.UpdateOutcome:
        """Replaces the value if the object still has `item.version`."""
        self.calls["update"] += 1
        sent = copy.deepcopy(value)
        return await self._write(lambda: self.table.update(item, sent))

    async def delete(
        self, item: interface.StoredObject
    ) -> interface.DeleteOutcome:
        """Deletes the object if it still has `item.version`."""
        self.calls["delete"] += 1
        return await self._write(lambda: self.table.delete(item))

    async def watch(
        self, kind: str, version: str
    ) -> AsyncIterator[interface.WatchEvent]:
        """Yields changes after `version`, and bookmarks while there are none.

        Ends after `Gone` or `Unavailable`.
        """
        self.calls["watch"] += 1
        seen = int(version) if version.isdecimal() else -1
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            if self.faults.down:
                yield interface.Unavailable("the object API is down")
                return
            if self.faults.silent_watches:
                if loop.time() - last >= self.bookmark_s:
                    yield interface.Unavailable("the watch delivered no event")
                    return
                await self._pause()
                continue
            entries = self.table.writes_since(kind, seen)
            if entries is None:
                yield interface.Gone()
                return
            seen = self.table.revision
            for entry in entries:
                yield copy.deepcopy(entry.event)
            if not entries:
                yield interface.Bookmark(str(seen))
            last = loop.time()
            if seen == self.table.revision:
                await self._pause()

    async def close(self) -> None:
        """Does nothing; the table may be shared."""

    async def _pause(self) -> None:
        await self.table.wait(self.bookmark_s / BOOKMARKS_PER_TIMEOUT)

    async def _read(self, effect: Callable[[], T]) -> T | Any:
        return await self._answer(effect, interface.Unavailable)

    async def _write(self, effect: Callable[[], T]) -> T | Any:
        outcome = await self._answer(effect, interface.Unknown)
        if self.faults.lose_answers > 0 and not isinstance(
            outcome, interface.Unavailable | interface.Unknown
        ):
            self.faults.lose_answers -= 1
            return interface.Unknown("the response was lost")
        return outcome

    async def _answer(
        self, effect: Callable[[], T], timeout_outcome: Callable[[str], Any]
    ) -> T | Any:
        """Applies a call after the injected delay, even after its timeout."""
        if self.faults.down:
            return interface.Unavailable("the object API is down")
        if not self.faults.slow_s:
            await asyncio.sleep(0)
            return effect()
        loop = asyncio.get_running_loop()
        done: asyncio.Future[T] = loop.create_future()
        loop.call_later(self.faults.slow_s, _complete, done, effect)
        await asyncio.wait([done], timeout=self.timeout_s)
        if done.done():
            return done.result()
        return timeout_outcome(f"no response within {self.timeout_s} s")


def _complete(done: "asyncio.Future[T]", effect: Callable[[], T]) -> None:
    outcome = effect()
    if not done.done():
        done.set_result(outcome)
