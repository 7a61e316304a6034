"""Deletes claims whose retention has passed.

Claims carry a label with the minute in which they expire. A marker object
holds the last minute that was swept, so a pass reads the marker and lists
only the minutes that became due. A claim that is still `CLAIMED` is never
deleted: its daemon may be paused and may still send the request.
"""

import asyncio
import random
from collections.abc import Callable

import structlog

from banyantiller.claims import records
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.claims")

MARKER_KIND = "claimsweeps"
MARGIN_S = 3600.0
PERIOD_S = 60.0
MOST_MINUTES = 10
DELETE_PAUSE_S = 0.1


class Sweeper:
    """One daemon's part in deleting expired claims.

    Attributes:
        deleted: Claims deleted so far.
        kept: Claims seen that expired while their outcome is not known.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        deployment: str,
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.deployment = deployment
        self.wall = wall
        self.random = rng
        self.deleted = 0
        self.kept = 0

    async def run(self) -> None:
        """Makes one pass a period, at a random time within it."""
        while True:
            await asyncio.sleep(PERIOD_S * self.random.uniform(0.5, 1.5))
            await self.sweep()

    async def sweep(self) -> None:
        """Sweeps the minutes that became due, up to a bound."""
        marker = await self._read_marker()
        for _ in range(MOST_MINUTES):
            if marker is None:
                return
            bucket = _bucket_of(marker) + 1
            if (bucket + 1) * records.BUCKET_S + MARGIN_S > self.wall():
                return
            if not await self._sweep_bucket(bucket):
                return
            marker = await self._advance(marker, bucket)

    async def _read_marker(self) -> interface.StoredObject | None:
        got = await self.store.get(MARKER_KIND, self.deployment)
        if isinstance(got, interface.Missing):
            now = int(self.wall() // records.BUCKET_S)
            got = await self.store.create(
                MARKER_KIND, self.deployment, {"swept": now - 1}
            )
        return got.item if isinstance(got, interface.Found) else None

    async def _advance(
        self, marker: interface.StoredObject, bucket: int
    ) -> interface.StoredObject | None:
        written = await self.store.update(marker, {"swept": bucket})
        return written.item if isinstance(written, interface.Found) else None

    async def _sweep_bucket(self, bucket: int) -> bool:
        """Deletes what may be deleted; tells whether all of it is gone."""
        labels = records.expiry_labels(
            self.deployment, bucket * records.BUCKET_S
        )
        listed = await self.store.list(records.KIND, labels)
        if isinstance(listed, interface.Unavailable):
            return False
        for item in listed.items:
            record = records.from_object(item)
            if record is None or record.state == records.State.CLAIMED:
                self.kept += 1
                continue
            deleted = await self.store.delete(item)
            if isinstance(deleted, interface.Unavailable | interface.Unknown):
                return False
            self.deleted += 1
            await asyncio.sleep(DELETE_PAUSE_S)
        return True


def _bucket_of(marker: interface.StoredObject) -> int:
    return int(marker.value["swept"])
