"""Shared helpers of the acceptance tests."""

from banyantiller.bundle import (
    reading,
)
from banyantiller.bundle.outcomes import (
    HeadFound,
    NoHead,
)
from banyantiller.store.memory import MemoryStore
from banyantiller.tests.bundle.samples import BUNDLE, DEPLOYMENT

SECOND = BUNDLE.replace("First", "Second").replace("desk-2", "desk-9")
THIRD = BUNDLE.replace("First", "Third")


async def head_of(store: MemoryStore) -> HeadFound | NoHead:
    return await reading.read_head(store, DEPLOYMENT)


def alter(store: MemoryStore, kind: str, name: str, old: str, new: str) -> None:
    """Alters a stored object without a new resource version."""
    record = store.table.records[kind, name]
    assert old.encode() in record.data
    data = record.data.replace(old.encode(), new.encode())
    store.table.records[kind, name] = record._replace(data=data)


def version_of(head: HeadFound) -> int:
    return head.accepted.manifest.version
