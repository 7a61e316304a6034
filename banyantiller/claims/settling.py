"""Writes the final state of a claim and retries until it is confirmed.

A settlement records the response of a finished request, records that its
outcome is unknown, or releases a claim that was certainly not sent. Releases
also clean up after a claim whose write got no response: the object then holds
this daemon's nonce, or may do so later.
"""

import asyncio
import collections
from typing import NamedTuple

import structlog

from banyantiller.claims import records
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.claims")

INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 8.0
MAX_CALLS = 5
MAX_PENDING = 5_000
MAX_UNSENT = 10_000
BATCH_SIZE = 4
BATCH_PAUSE_S = 0.2

WriteOutcome = interface.CreateOutcome | interface.UpdateOutcome


class Settlement(NamedTuple):
    """The final state to write for a claim.

    Attributes:
        name: Name of the object.
        record: The record to write; its nonce identifies the claim.
        item: The object as last read, or None if it must be read.
    """

    name: str
    record: records.Record
    item: interface.StoredObject | None


class Settler:
    """Writes pending settlements until each is confirmed.

    Attributes:
        pending: Unconfirmed settlements by object name and nonce.
        unsent_nonces: Nonces whose request was not sent and will not be.
        dropped: Number of settlements dropped because the queue was full.
        has_pending: Set while settlements are pending.
    """

    def __init__(self, store: interface.ObjectStore, deployment: str) -> None:
        self.store = store
        self.deployment = deployment
        self.pending: dict[tuple[str, str], Settlement] = {}
        self.unsent_nonces: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.dropped = 0
        self.has_pending = asyncio.Event()

    def enqueue(self, settlement: Settlement) -> None:
        """Adds a settlement that `run` retries until it is confirmed."""
        if settlement.record.state == records.State.RELEASED:
            self.unsent_nonces[settlement.record.nonce] = None
            if len(self.unsent_nonces) > MAX_UNSENT:
                self.unsent_nonces.popitem(last=False)
        self.pending[settlement.name, settlement.record.nonce] = settlement
        if len(self.pending) > MAX_PENDING:
            self.pending.pop(next(iter(self.pending)))
            self.dropped += 1
            log.error("claims: too many ends wait; the oldest was dropped.")
        self.has_pending.set()

    async def settle(self, settlement: Settlement) -> bool:
        """Tries to write a settlement with a bounded number of calls.

        Returns:
            Whether it is confirmed.
        """
        if not await self._write(settlement):
            return False
        self.pending.pop((settlement.name, settlement.record.nonce), None)
        return True

    async def run(self) -> None:
        """Retries pending settlements with exponential backoff."""
        pause = INITIAL_RETRY_S
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(pause)
            if await self.settle_all():
                pause = INITIAL_RETRY_S
            else:
                pause = min(pause * 2, MAX_RETRY_S)

    async def settle_all(self) -> bool:
        """Tries each pending settlement once; stops if a whole batch fails.

        After an outage every daemon has many pending settlements, so writes
        are paced to stay far below the capacity of the object API.

        Returns:
            Whether none is left.
        """
        pending = list(self.pending.values())
        for start in range(0, len(pending), BATCH_SIZE):
            batch = pending[start : start + BATCH_SIZE]
            settled = await asyncio.gather(*map(self.settle, batch))
            if not any(settled):
                return False
            if start + BATCH_SIZE < len(pending):
                await asyncio.sleep(BATCH_PAUSE_S)
        if not self.pending:
            self.has_pending.clear()
        return not self.pending

    async def _write(self, settlement: Settlement) -> bool:
        item = settlement.item
        for _ in range(MAX_CALLS):
            if item is None:
                read = await self.store.get(
                    records.OBJECT_KIND, settlement.name
                )
                if isinstance(read, interface.Unavailable):
                    return False
                if isinstance(read, interface.Found):
                    item = read.item
            if item is not None and _is_settled(settlement, item):
                return True
            written = await self._write_once(settlement, item)
            if isinstance(written, interface.Found):
                return True
            if isinstance(written, interface.Unavailable):
                return False
            item = None
        return False

    async def _write_once(
        self, settlement: Settlement, item: interface.StoredObject | None
    ) -> WriteOutcome:
        value = records.to_value(_target_record(settlement, item))
        if item is not None:
            return await self.store.update(item, value)
        labels = records.expiry_labels(
            self.deployment, settlement.record.expires_at
        )
        return await self.store.create(
            records.OBJECT_KIND, settlement.name, value, labels
        )


def _target_record(
    settlement: Settlement, item: interface.StoredObject | None
) -> records.Record:
    """Returns the record to write.

    The key of a fenced claim was reported as never running again, so it is
    not released; as `UNKNOWN` it is deleted once it expires.
    """
    current = records.from_object(item) if item is not None else None
    is_fenced = current is not None and current.state == records.State.FENCED
    if is_fenced and settlement.record.state == records.State.RELEASED:
        return settlement.record._replace(state=records.State.UNKNOWN)
    return settlement.record


def _is_settled(settlement: Settlement, item: interface.StoredObject) -> bool:
    """Returns whether the object needs no further write.

    A different nonce means that the claim never took effect and, as writes
    are conditional, no longer can. Only a released object is written once
    more, because a late write of the claim may be based on that state.
    """
    record = records.from_object(item)
    if record is None:
        return True
    if record.nonce == settlement.record.nonce:
        return record.state not in records.SENDABLE_STATES
    both_released = (
        record.state == records.State.RELEASED
        and settlement.record.state == records.State.RELEASED
    )
    return not both_released
