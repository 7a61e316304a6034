"""A table of versioned objects in memory, with a history for watches.

It is the state of `MemoryStore` and of the object API stand-in. It injects no
faults and adds no delays; it only wakes watchers.
"""

import asyncio
import collections
import itertools
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from banyantiller.store import interface

MAX_HISTORY_ENTRIES = 4096

Snapshot = Mapping[tuple[str, str], "Record"]


class Record(NamedTuple):
    """One stored object.

    Attributes:
        version: Revision of the last write.
        data: JSON of the value.
        labels: Labels as sorted pairs.
    """

    version: int
    data: bytes
    labels: tuple[tuple[str, str], ...]


class HistoryEntry(NamedTuple):
    """One write in the history that watches read.

    Attributes:
        revision: Revision that the write created.
        event: What a watch of `event.item.kind` delivers.
        created: Whether the object did not exist before.
    """

    revision: int
    event: interface.Changed | interface.Deleted
    created: bool


class ObjectTable:
    """Objects by kind and name; each write increases a common revision.

    Attributes:
        revision: Revision of the last write.
        records: Objects by kind and name.
        history: Latest writes, oldest first.
        oldest_revision: First revision at which a watch may start.
    """

    def __init__(
        self, history: int = MAX_HISTORY_ENTRIES, revision: int = 1
    ) -> None:
        self.revision = revision
        self.oldest_revision = revision
        self.records: dict[tuple[str, str], Record] = {}
        self.history: collections.deque[HistoryEntry] = collections.deque()
        self.max_history = history
        self.waiters: set[asyncio.Future[None]] = set()

    def snapshot(self) -> Snapshot:
        """Copies the current objects, to serve stale reads from."""
        return dict(self.records)

    def get(
        self, kind: str, name: str, snapshot: Snapshot | None = None
    ) -> interface.Found | interface.Missing:
        """Reads one object from the table or from a snapshot of it."""
        record = (self.records if snapshot is None else snapshot).get(
            (kind, name)
        )
        if record is None:
            return interface.Missing()
        return interface.Found(to_item(kind, name, record))

    def list(
        self,
        kind: str,
        labels: dict[str, str] | None = None,
        snapshot: Snapshot | None = None,
    ) -> interface.Listed:
        """Reads the objects of a kind that carry all the labels, by name."""
        records = self.records if snapshot is None else snapshot
        wanted = set((labels or {}).items())
        items = tuple(
            to_item(kind, name, record)
            for name, record in sorted(
                (name, record)
                for (its_kind, name), record in records.items()
                if its_kind == kind and wanted <= set(record.labels)
            )
        )
        revision = self.revision
        if snapshot is not None:
            revision = max((r.version for r in snapshot.values()), default=1)
        return interface.Listed(items, str(revision))

    def create(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        labels: dict[str, str] | None = None,
    ) -> interface.Found | interface.Conflict | interface.Unavailable:
        """Writes a new object."""
        if (kind, name) in self.records:
            return interface.Conflict()
        return self._write(kind, name, value, labels or {}, created=True)

    def update(
        self, item: interface.StoredObject, value: dict[str, Any]
    ) -> interface.UpdateOutcome:
        """Replaces the value of an object that still has `item.version`."""
        record = self.records.get((item.kind, item.name))
        if record is None:
            return interface.Missing()
        if str(record.version) != item.version:
            return interface.Conflict()
        return self._write(
            item.kind, item.name, value, item.labels, created=False
        )

    def delete(self, item: interface.StoredObject) -> interface.DeleteOutcome:
        """Deletes an object that still has `item.version`."""
        record = self.records.get((item.kind, item.name))
        if record is None:
            return interface.Missing()
        if str(record.version) != item.version:
            return interface.Conflict()
        del self.records[item.kind, item.name]
        self.revision += 1
        last = to_item(
            item.kind, item.name, record._replace(version=self.revision)
        )
        self._append_history(interface.Deleted(last), created=False)
        return interface.Found(last)

    def writes_since(
        self, kind: str, revision: int
    ) -> tuple[HistoryEntry, ...] | None:
        """Returns the writes to a kind after a revision.

        Returns:
            None if the revision is older than the history, or has not been
            created yet.
        """
        if revision < self.oldest_revision or revision > self.revision:
            return None
        newer = itertools.takewhile(
            lambda entry: entry.revision > revision, reversed(self.history)
        )
        found = [entry for entry in newer if entry.event.item.kind == kind]
        return tuple(reversed(found))

    def compact(self) -> None:
        """Drops the history, so that older watches get `Gone`."""
        self.history.clear()
        self.oldest_revision = self.revision

    async def wait(self, timeout_s: float) -> None:
        """Waits for the next write or until the timeout."""
        future = asyncio.get_running_loop().create_future()
        self.waiters.add(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            pass
        finally:
            self.waiters.discard(future)

    def wake(self) -> None:
        """Ends every `wait`."""
        for future in self.waiters:
            if not future.done():
                future.set_result(None)

    def _write(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        labels: dict[str, str],
        created: bool,
    ) -> interface.Found | interface.Unavailable:
        data = json.dumps(value, separators=(",", ":")).encode()
        if len(data) > interface.MAX_VALUE_BYTES:
            return interface.Unavailable(
                f"a value of {len(data)} bytes is over the limit of"
                f" {interface.MAX_VALUE_BYTES}"
            )
        self.revision += 1
        record = Record(self.revision, data, tuple(sorted(labels.items())))
        self.records[kind, name] = record
        item = to_item(kind, name, record)
        self._append_history(interface.Changed(item), created)
        return interface.Found(to_item(kind, name, record))

    def _append_history(
        self, event: interface.Changed | interface.Deleted, created: bool
    ) -> None:
        self.history.append(HistoryEntry(self.revision, event, created))
        while len(self.history) > self.max_history:
            self.oldest_revision = self.history.popleft().revision
        self.wake()


def to_item(kind: str, name: str, record: Record) -> interface.StoredObject:
    """Builds a new object, so that readers never share a value."""
    return interface.StoredObject(
        kind,
        name,
        str(record.version),
        json.loads(record.data),
        dict(record.labels),
    )
