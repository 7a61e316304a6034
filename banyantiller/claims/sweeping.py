"""Deletes claims whose retention has passed.

Claims carry a label with the minute in which they expire. A marker object
holds the last minute that was swept, so a sweep reads the marker and lists
only the minutes that became due. The marker also holds a lease of the daemon
that sweeps; the lease only saves calls, as each deletion is conditional.

A claim that is still `CLAIMED` or `FENCED` is never deleted: its daemon may be
paused and may still send the request.
"""

import asyncio
import random
from collections.abc import Callable

import structlog

from banyantiller.claims import records
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.claims")

MARKER_KIND = "claimsweeps"
EXPIRY_MARGIN_S = 3600.0
SWEEP_PERIOD_S = 60.0
MAX_BUCKETS_PER_SWEEP = 10
SWEEP_LEASE_S = 900.0
BATCH_SIZE = 4
BATCH_PAUSE_S = 0.05


class Sweeper:
    """Deletes expired claims, coordinated with peers by a marker object.

    Attributes:
        deleted: Number of claims deleted.
        retained: Number of expired claims found that were not settled.
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
        self.rng = rng
        self.deleted = 0
        self.retained = 0

    async def run(self) -> None:
        """Sweeps about once a period, with random jitter."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S * self.rng.uniform(0.5, 1.5))
            await self.sweep()

    async def sweep(self) -> None:
        """Sweeps the minutes that became due, up to a maximum number."""
        marker = await self._read_marker()
        if marker is None or _busy_until(marker) > self.wall():
            return
        for _ in range(MAX_BUCKETS_PER_SWEEP):
            swept = _swept_bucket(marker)
            if not self._is_due(swept + 1):
                return
            marker = await self._update_marker(
                marker, swept, self.wall() + SWEEP_LEASE_S
            )
            if marker is None or not await self._sweep_bucket(swept + 1):
                return
            marker = await self._update_marker(marker, swept + 1, 0.0)
            if marker is None:
                return

    def _is_due(self, bucket: int) -> bool:
        end = (bucket + 1) * records.EXPIRY_BUCKET_S
        return end + EXPIRY_MARGIN_S <= self.wall()

    async def _read_marker(self) -> interface.StoredObject | None:
        read = await self.store.get(MARKER_KIND, self.deployment)
        if isinstance(read, interface.Missing):
            now = int(self.wall() // records.EXPIRY_BUCKET_S)
            value = _marker_value(now - 1, 0.0)
            read = await self.store.create(MARKER_KIND, self.deployment, value)
        return read.item if isinstance(read, interface.Found) else None

    async def _update_marker(
        self, marker: interface.StoredObject, swept: int, busy_until: float
    ) -> interface.StoredObject | None:
        value = _marker_value(swept, busy_until)
        written = await self.store.update(marker, value)
        return written.item if isinstance(written, interface.Found) else None

    async def _sweep_bucket(self, bucket: int) -> bool:
        """Deletes the settled claims of a minute; returns whether all are gone.

        Args:
            bucket: Minute since the epoch.
        """
        labels = records.expiry_labels(
            self.deployment, bucket * records.EXPIRY_BUCKET_S
        )
        listed = await self.store.list(records.OBJECT_KIND, labels)
        if isinstance(listed, interface.Unavailable):
            return False
        expired = [item for item in listed.items if _may_delete(item)]
        self.retained += len(listed.items) - len(expired)
        for start in range(0, len(expired), BATCH_SIZE):
            batch = expired[start : start + BATCH_SIZE]
            if not all(await asyncio.gather(*map(self._delete, batch))):
                return False
            await asyncio.sleep(BATCH_PAUSE_S)
        return True

    async def _delete(self, item: interface.StoredObject) -> bool:
        deleted = await self.store.delete(item)
        self.deleted += isinstance(deleted, interface.Found)
        return not isinstance(
            deleted, interface.Unavailable | interface.Unknown
        )


def _may_delete(item: interface.StoredObject) -> bool:
    record = records.from_object(item)
    return record is not None and record.state not in records.SENDABLE_STATES


def _swept_bucket(marker: interface.StoredObject) -> int:
    return int(marker.value["swept"])


def _busy_until(marker: interface.StoredObject) -> float:
    return float(marker.value.get("busy_until", 0.0))


def _marker_value(swept: int, busy_until: float) -> dict[str, float]:
    return {"swept": swept, "busy_until": busy_until}
