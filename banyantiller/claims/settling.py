"""Writes the end of a claim, again and again until it is certain.

An end is the answer of a finished request, the fact that its outcome is
unknown, or the release of a claim that was certainly not sent. Releases also
clean up after a claim whose write got no answer: the object then holds this
daemon's nonce, or may still come to hold it.
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
    """The last state that one claim is to get.

    Attributes:
        name: Name of the object.
        record: What the object is to hold; its nonce names the claim.
        item: The object as last seen, or None if it has to be read.
    """

    name: str
    record: records.Record
    item: interface.StoredObject | None


class Settler:
    """Keeps the ends that are not yet certain and writes them.

    Attributes:
        ends: Ends not yet certain, by object name and nonce.
        unsent: Nonces of which no request was or will be sent.
        given_up: Ends dropped because there were too many.
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
        """Takes an end that must become certain."""
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
        """Tries to make one end certain, with a bounded number of calls.

        Returns:
            Whether it is certain now.
        """
        if not await self._write(settlement):
            return False
        self.pending.pop((settlement.name, settlement.record.nonce), None)
        return True

    async def run(self) -> None:
        """Retries ends with back-off while there are any."""
        pause = INITIAL_RETRY_S
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(pause)
            if await self.settle_all():
                pause = INITIAL_RETRY_S
            else:
                pause = min(pause * 2, MAX_RETRY_S)

    async def settle_all(self) -> bool:
        """Tries each waiting end once; stops early when none succeeds.

        After an outage many ends wait in every daemon, so the writes are
        paced to stay far below what the object API takes.

        Returns:
            Whether all are certain.
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
    """Returns what the object is to hold.

    Callers were told of a fenced claim that the key never runs again, so it
    is not released; as `UNKNOWN` it can be deleted in its time.
    """
    current = records.from_object(item) if item is not None else None
    is_fenced = current is not None and current.state == records.State.FENCED
    if is_fenced and settlement.record.state == records.State.RELEASED:
        return settlement.record._replace(state=records.State.UNKNOWN)
    return settlement.record


def _is_settled(settlement: Settlement, item: interface.StoredObject) -> bool:
    """Tells whether the object needs no write any more.

    Another nonce means that the claim never took effect and, as each write
    is conditional, no longer can; only a released object is written once
    more, because a late write of the claim may be based on just that state.
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
