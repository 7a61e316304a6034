"""Outcomes of keys that this daemon has seen to the end."""

import collections
from typing import NamedTuple

from banyantiller.claims import records, types

MOST_ENTRIES = 10_000
MOST_BYTES = 2_000_000
NEVER_CLAIMABLE = (
    records.State.DONE,
    records.State.UNKNOWN,
    records.State.FENCED,
)


class Entry(NamedTuple):
    """Outcome of one finished key.

    Attributes:
        fingerprint: Digest of the request that the key stands for.
        outcome: What a repeated caller gets.
        expires_at: Wall-clock seconds until which it holds.
        size: Bytes that the entry is counted with.
        service: Service of the request.
        host: Host of the request.
    """

    fingerprint: str
    outcome: types.Finished | types.Denied
    expires_at: float
    size: int
    service: str = ""
    host: str = ""


class KnownKeys:
    """A bounded cache of final outcomes, least recently used first.

    The key of an entry never becomes claimable within its retention, so no
    entry has to be checked again. "Outcome unknown" may still become an answer
    elsewhere, if one comes late; this cache then keeps what it has.

    Attributes:
        entries: Outcomes by object name.
        size: Bytes counted for all entries.
    """

    def __init__(
        self, most_entries: int = MOST_ENTRIES, most_bytes: int = MOST_BYTES
    ) -> None:
        self.most_entries = most_entries
        self.most_bytes = most_bytes
        self.entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self.size = 0

    def put(
        self,
        name: str,
        fingerprint: str,
        outcome: types.Finished | types.Denied,
        expires_at: float,
        service: str = "",
        host: str = "",
    ) -> None:
        """Remembers the final outcome of a key."""
        self.forget(name)
        text = len(name) + len(fingerprint) + len(service) + len(host)
        size = text + _body_size(outcome)
        self.entries[name] = Entry(
            fingerprint, outcome, expires_at, size, service, host
        )
        self.size += size
        while len(self.entries) > self.most_entries:
            self.forget(next(iter(self.entries)))
        while self.size > self.most_bytes:
            self.forget(next(iter(self.entries)))

    def remember(
        self, name: str, record: records.Record | None, wall: float
    ) -> None:
        """Remembers a record if its outcome can't change any more."""
        if record is None or record.state not in NEVER_CLAIMABLE:
            return
        self.put(
            name,
            record.fingerprint,
            records.judge_same(record, wall),
            record.expires_at,
            record.service,
            record.host,
        )

    def get(self, name: str, wall: float) -> Entry | None:
        """Returns the entry of a key if it still holds."""
        entry = self.entries.get(name)
        if entry is None:
            return None
        if wall >= entry.expires_at:
            self.forget(name)
            return None
        self.entries.move_to_end(name)
        return entry

    def forget(self, name: str) -> None:
        """Removes the entry of a key, if there is one."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.size -= entry.size


def _body_size(outcome: types.Finished | types.Denied) -> int:
    if isinstance(outcome, types.Denied):
        return len(outcome.failure.detail)
    headers = sum(
        len(name) + len(value) for name, value in outcome.answer.headers
    )
    return headers + len(outcome.answer.body or b"")
