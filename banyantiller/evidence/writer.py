"""The task that writes a daemon's summaries to the object API.

Each period takes one write. Records are resent unchanged until it is known
whether they were stored, so a lost response can't fork the chain.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from banyantiller.config import defaults
from banyantiller.evidence import backlog, chain, cleanup, layout, trail
from banyantiller.evidence import recorder as recording
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.evidence")

MAX_DELAY_S = 10.0
PERIODS_PER_TIP = 10
BLOCKS_PER_CLEANUP = 12
FINISH_TIMEOUT_S = 5.0
FINISH_PAUSE_S = 0.25


class Writer:
    """Writes summaries in blocks and queues unwritten ones in a backlog.

    Attributes:
        run_info: This run of the daemon, as announced.
        tip: Last sealed record, stored or not.
        sealed: Sealed records that are not known to be stored.
        block: Number of the current block.
        item: The current block as last stored, or None.
        records: Records known to be in the current block.
        announced: Whether the run object is stored.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        recorder: recording.Recorder,
        wall: Callable[[], float],
        seed: int,
    ) -> None:
        self.store = store
        self.recorder = recorder
        self.wall = wall
        self.random = random.Random(seed)
        self.period_s = settings.evidence.period_s
        self.run_info = layout.Run(
            settings.deployment,
            settings.daemon,
            settings.zone,
            recorder.from_ms,
            round(self.period_s * layout.MS_PER_SECOND),
        )
        self.retention_days = settings.evidence.retention_days
        self.backlog = backlog.Backlog(settings.evidence.most_requests)
        self.tip = chain.Tip()
        self.sealed: list[dict[str, Any]] = []
        self.block = 0
        self.item: interface.StoredObject | None = None
        self.records: list[dict[str, Any]] = []
        self.announced = False
        self.started = False

    @classmethod
    def from_settings(
        cls,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        recorder: recording.Recorder,
        wall: Callable[[], float],
        seed: int,
    ) -> "Writer":
        """Builds a writer, which `run` starts."""
        return cls(settings, store, recorder, wall, seed)

    async def run(self) -> None:
        """Announces the run, then writes one summary for each period."""
        if not self.started:
            self.started = True
            self.backlog.add_summary(self.recorder.close_period(started=True))
            await self.flush()
        periods = 0
        while True:
            await asyncio.sleep(self._until_boundary())
            self.backlog.add_summary(self.recorder.close_period())
            await asyncio.sleep(self._delay())
            if periods % PERIODS_PER_TIP == 0:
                await self._read_audit_tip()
            periods += 1
            await self.flush()

    async def finish(self) -> None:
        """Writes the final summary; gives up after `FINISH_TIMEOUT_S` seconds.

        A daemon whose final summary is not stored is judged like one that
        crashed.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + FINISH_TIMEOUT_S
        self.backlog.add_summary(
            self.recorder.close_period(started=not self.started, final=True)
        )
        self.started = True
        ended = self.run_info._replace(ended_ms=self.recorder.from_ms)
        try:
            async with asyncio.timeout_at(limit):
                await _until_done(self.flush)
                await _until_done(lambda: self._close_run(ended))
        except TimeoutError:
            log.warning("evidence: the final summary was not stored.")

    async def flush(self) -> bool:
        """Writes all pending summaries.

        Returns:
            Whether everything is known to be stored.
        """
        if not self.announced and not await self._announce_run():
            return False
        while True:
            if not self.sealed:
                self._seal_pending()
            if not self.sealed:
                return True
            if not await self._store_sealed():
                log.warning(
                    "evidence: summaries could not be stored yet.",
                    pending=len(self.backlog.pending) + len(self.sealed),
                )
                return False

    def _seal_pending(self) -> None:
        for summary in self.backlog.take_all():
            record = layout.seal_summary(summary, self.tip)
            self.tip = chain.Tip(record["sequence"], record["digest"])
            self.sealed.append(record)

    async def _store_sealed(self) -> bool:
        """Stores as many sealed records as fit into the current block."""
        if self._block_is_full():
            await self._begin_next_block()
        count = self._count_fitting()
        added_records = self.sealed[:count]
        value = layout.block_value(self.run_info, self.records + added_records)
        stored = await self._write_block(value)
        if stored is None:
            return False
        self.item = stored
        self.records = self.records + added_records
        self.sealed = self.sealed[count:]
        return True

    def _block_is_full(self) -> bool:
        if not self.records:
            return False
        if len(self.records) >= layout.RECORDS_PER_BLOCK:
            return True
        return self._size(self.records + self.sealed[:1]) > (
            layout.MAX_BLOCK_BYTES
        )

    def _count_fitting(self) -> int:
        """Returns how many sealed records fit into the current block."""
        room = layout.RECORDS_PER_BLOCK - len(self.records)
        count = min(room, len(self.sealed))
        while count > 1 and self._size(self.records + self.sealed[:count]) > (
            layout.MAX_BLOCK_BYTES
        ):
            count -= 1
        return count

    def _size(self, records: list[dict[str, Any]]) -> int:
        return len(chain.canonical(records))

    async def _begin_next_block(self) -> None:
        self._advance_block()
        if self.block % BLOCKS_PER_CLEANUP == self.random.randrange(
            BLOCKS_PER_CLEANUP
        ):
            await cleanup.remove_expired(
                self.store,
                self.run_info.deployment,
                self.recorder.from_ms,
                self.retention_days,
                self.random,
            )

    def _advance_block(self) -> None:
        self.block += 1
        self.item = None
        self.records = []

    async def _write_block(
        self, value: dict[str, Any]
    ) -> interface.StoredObject | None:
        """Writes the current block; None if it is not known to be stored."""
        name = self.run_info.block_name(self.block)
        if self.item is None:
            labels = layout.block_labels(self.run_info, self.recorder.from_ms)
            outcome = await self.store.create(
                layout.BLOCK_KIND, name, value, labels
            )
        else:
            outcome = await self.store.update(self.item, value)
        if isinstance(outcome, interface.Found):
            return outcome.item
        if isinstance(outcome, interface.Unavailable):
            return None
        return await self._read_back(name, value)

    async def _read_back(
        self, name: str, value: dict[str, Any]
    ) -> interface.StoredObject | None:
        """Reads a block after a conflict or a lost response to a write.

        Returns:
            The stored block if it has the new records, otherwise None.
        """
        found = await self.store.get(layout.BLOCK_KIND, name)
        if isinstance(found, interface.Unavailable):
            return None
        if isinstance(found, interface.Missing):
            if self.item is not None:
                self._abandon_altered_block(name)
            return None
        stored = found.item.value.get("records")
        if stored == value["records"]:
            return found.item
        if stored == self.records:
            self.item = found.item
        elif not self._is_older(stored):
            self._abandon_altered_block(name)
        return None

    def _is_older(self, stored: Any) -> bool:
        """Returns whether a stale read may have returned an earlier state."""
        if not isinstance(stored, list):
            return False
        return stored == self.records[: len(stored)]

    def _abandon_altered_block(self, name: str) -> None:
        """Continues in a new block; the chain reveals the alteration."""
        log.error(
            "evidence: a stored block was altered; continuing in a new one.",
            name=name,
        )
        self._advance_block()

    async def _announce_run(self) -> bool:
        run = self.run_info
        outcome = await self.store.create(
            layout.RUN_KIND,
            run.name,
            layout.run_value(run),
            {"deployment": run.deployment},
        )
        self.announced = isinstance(
            outcome, interface.Found | interface.Conflict
        )
        return self.announced

    async def _close_run(self, ended: layout.Run) -> bool:
        found = await self.store.get(layout.RUN_KIND, ended.name)
        if not isinstance(found, interface.Found):
            return isinstance(found, interface.Missing)
        if found.item.value.get("ended_ms"):
            return True
        outcome = await self.store.update(found.item, layout.run_value(ended))
        return isinstance(outcome, interface.Found)

    async def _read_audit_tip(self) -> None:
        tip = await trail.read_recorded_tip(
            self.store, self.run_info.deployment
        )
        if tip is not None:
            self.recorder.record_audit_tip(tip.sequence, tip.digest)

    def _until_boundary(self) -> float:
        now = self.wall()
        boundary = (math.floor(now / self.period_s) + 1) * self.period_s
        return boundary - now

    def _delay(self) -> float:
        """Returns a random delay in seconds that spreads the fleet's writes."""
        return self.random.uniform(0, min(self.period_s / 2, MAX_DELAY_S))


async def _until_done(step: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await step():
            return
        await asyncio.sleep(FINISH_PAUSE_S)
