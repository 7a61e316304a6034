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

RETRY_S = 0.5
LONGEST_RETRY_S = 8.0
MOST_CALLS = 5
MOST_ENDS = 5_000
MOST_UNSENT = 10_000
PARALLEL = 4
BATCH_PAUSE_S = 0.2

Written = interface.CreateOutcome | interface.UpdateOutcome


class End(NamedTuple):
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
        self.ends: dict[tuple[str, str], End] = {}
        self.unsent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.given_up = 0
        self.waiting = asyncio.Event()

    def add(self, end: End) -> None:
        """Takes an end that must become certain."""
        if end.record.state == records.State.RELEASED:
            self.unsent[end.record.nonce] = None
            if len(self.unsent) > MOST_UNSENT:
                self.unsent.popitem(last=False)
        self.ends[end.name, end.record.nonce] = end
        if len(self.ends) > MOST_ENDS:
            self.ends.pop(next(iter(self.ends)))
            self.given_up += 1
            log.error("claims: too many ends wait; the oldest was dropped.")
        self.waiting.set()

    async def settle(self, end: End) -> bool:
        """Tries to make one end certain, with a bounded number of calls.

        Returns:
            Whether it is certain now.
        """
        if not await self._write(end):
            return False
        self.ends.pop((end.name, end.record.nonce), None)
        return True

    async def run(self) -> None:
        """Retries ends with back-off while there are any."""
        pause = RETRY_S
        while True:
            await self.waiting.wait()
            await asyncio.sleep(pause)
            if await self.settle_all():
                pause = RETRY_S
            else:
                pause = min(pause * 2, LONGEST_RETRY_S)

    async def settle_all(self) -> bool:
        """Tries each waiting end once; stops early when none succeeds.

        After an outage many ends wait in every daemon, so the writes are
        paced to stay far below what the object API takes.

        Returns:
            Whether all are certain.
        """
        waiting = list(self.ends.values())
        for start in range(0, len(waiting), PARALLEL):
            batch = waiting[start : start + PARALLEL]
            settled = await asyncio.gather(*map(self.settle, batch))
            if not any(settled):
                return False
            if start + PARALLEL < len(waiting):
                await asyncio.sleep(BATCH_PAUSE_S)
        if not self.ends:
            self.waiting.clear()
        return not self.ends

    async def _write(self, end: End) -> bool:
        item = end.item
        for _ in range(MOST_CALLS):
            if item is None:
                got = await self.store.get(records.KIND, end.name)
                if isinstance(got, interface.Unavailable):
                    return False
                if isinstance(got, interface.Found):
                    item = got.item
            if item is not None and _is_certain(end, item):
                return True
            written = await self._write_once(end, item)
            if isinstance(written, interface.Found):
                return True
            if isinstance(written, interface.Unavailable):
                return False
            item = None
        return False

    async def _write_once(
        self, end: End, item: interface.StoredObject | None
    ) -> Written:
        value = records.to_value(_last_record(end, item))
        if item is not None:
            return await self.store.update(item, value)
        labels = records.expiry_labels(self.deployment, end.record.expires_at)
        return await self.store.create(records.KIND, end.name, value, labels)


def _last_record(
    end: End, item: interface.StoredObject | None
) -> records.Record:
    """Returns what the object is to hold.

    Callers were told of a fenced claim that the key never runs again, so it
    is not released; as `UNKNOWN` it can be deleted in its time.
    """
    seen = records.from_object(item) if item is not None else None
    is_fenced = seen is not None and seen.state == records.State.FENCED
    if is_fenced and end.record.state == records.State.RELEASED:
        return end.record._replace(state=records.State.UNKNOWN)
    return end.record


def _is_certain(end: End, item: interface.StoredObject) -> bool:
    """Tells whether the object needs no write any more.

    Another nonce means that the claim never took effect and, as each write
    is conditional, no longer can; only a released object is written once
    more, because a late write of the claim may be based on just that state.
    """
    record = records.from_object(item)
    if record is None:
        return True
    if record.nonce == end.record.nonce:
        return record.state not in records.MAY_STILL_SEND
    both_released = (
        record.state == records.State.RELEASED
        and end.record.state == records.State.RELEASED
    )
    return not both_released
