"""A cache of the final outcomes of keys."""

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
    """The final outcome of a key.

    Attributes:
        fingerprint: Digest of the request that the key was claimed for.
        outcome: Outcome for a caller that repeats the request.
        expires_at: Wall-clock seconds until which the entry is valid.
        size: Size of the entry in bytes, for the bound of the cache.
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
    """A bounded LRU cache of final outcomes.

    The key of an entry never becomes claimable within its retention, so
    entries are not revalidated. An unknown outcome may still be replaced by
    a late response in the object API; the cache then keeps its entry.

    Attributes:
        entries: Outcomes by object name, least recently used first.
        size: Total size of the entries in bytes.
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
        """Adds the final outcome of a key."""
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
        """Adds the outcome of a record if it is final."""
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
        """Returns the entry of a key, or None if absent or expired."""
        entry = self.entries.get(name)
        if entry is None:
            return None
        if wall >= entry.expires_at:
            self.remove(name)
            return None
        self.entries.move_to_end(name)
        return entry

    def remove(self, name: str) -> None:
        """Removes the entry of a key, if present."""
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
