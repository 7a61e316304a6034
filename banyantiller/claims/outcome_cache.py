"""Outcomes of keys that this daemon has seen to the end."""

import collections
from typing import NamedTuple

from banyantiller.claims import records, types

MAX_ENTRIES = 10_000
MAX_BYTES = 2_000_000
FINAL_STATES = (
    records.State.DONE,
    records.State.UNKNOWN,
    records.State.FENCED,
)


class CachedOutcome(NamedTuple):
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


class OutcomeCache:
    """A bounded cache of final outcomes, least recently used first.

    The key of an entry never becomes claimable within its retention, so no
    entry has to be checked again. "Outcome unknown" may still become an answer
    elsewhere, if one comes late; this cache then keeps what it has.

    Attributes:
        entries: Outcomes by object name.
        size: Bytes counted for all entries.
    """

    def __init__(
        self, max_entries: int = MAX_ENTRIES, max_bytes: int = MAX_BYTES
    ) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.entries: collections.OrderedDict[str, CachedOutcome] = (
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
        self.remove(name)
        text = len(name) + len(fingerprint) + len(service) + len(host)
        size = text + _body_size(outcome)
        self.entries[name] = CachedOutcome(
            fingerprint, outcome, expires_at, size, service, host
        )
        self.size += size
        while len(self.entries) > self.max_entries:
            self.remove(next(iter(self.entries)))
        while self.size > self.max_bytes:
            self.remove(next(iter(self.entries)))

    def put_record(
        self, name: str, record: records.Record | None, wall: float
    ) -> None:
        """Remembers a record if its outcome can't change any more."""
        if record is None or record.state not in FINAL_STATES:
            return
        self.put(
            name,
            record.fingerprint,
            records.evaluate_repeat(record, wall),
            record.expires_at,
            record.service,
            record.host,
        )

    def get(self, name: str, wall: float) -> CachedOutcome | None:
        """Returns the entry of a key if it still holds."""
        entry = self.entries.get(name)
        if entry is None:
            return None
        if wall >= entry.expires_at:
            self.remove(name)
            return None
        self.entries.move_to_end(name)
        return entry

    def remove(self, name: str) -> None:
        """Removes the entry of a key, if there is one."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.size -= entry.size


def _body_size(outcome: types.Finished | types.Denied) -> int:
    if isinstance(outcome, types.Denied):
        return len(outcome.failure.detail)
    headers = sum(
        len(name) + len(value) for name, value in outcome.response.headers
    )
    return headers + len(outcome.response.body or b"")
