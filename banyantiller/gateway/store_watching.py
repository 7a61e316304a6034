"""Watches the objects of a kind in the store, through outages of it."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.gateway import events
from banyantiller.store import interface, versions

# Pauses between retries while the store is unresponsive: with the timeout of a
# call, 1 s, its return is noticed within 1.8 s.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
# Registrations lapse after three heartbeats; a shorter outage loses none.
LAPSE_OUTAGE_S = 1.0
# How long after its return the store may still lack registrations, or what was
# written after the copy from which it came back.
RETURN_GRACE_S = 2.5


class WatchTiming(NamedTuple):
    """How often a kind is read.

    Attributes:
        wait_s: Maximum wait of one call, in seconds.
        period_s: Minimum time between two calls to the store while changes
            come, in seconds.
    """

    wait_s: float
    period_s: float


# Registrations change in series, and a draining server may get requests for 2
# s, so one call collects the changes of 0.8 s.
SERVER_PERIOD_S = 0.8


class Handlers(NamedTuple):
    """Callbacks for the objects of a kind.

    Attributes:
        on_listed: Receives all objects that exist.
        on_changed: Receives an object that was created or changed.
        on_deleted: Receives the last state of an object that was removed.
    """

    on_listed: Callable[[tuple[interface.StoredObject, ...]], None]
    on_changed: Callable[[interface.StoredObject], None]
    on_deleted: Callable[[interface.StoredObject], None]


class StoreHealth:
    """Whether the store responds to this daemon, over all watched kinds.

    Attributes:
        lost_at: Loop time since which it is unresponsive, or None.
        lapsed_until: Loop time until which missing objects may come back.
        restored_until: Loop time until which objects may be missing, or may be
            back that were removed, because the store came back from a copy.
        generation: Generation of the store that was read last, or None.
        watchers: Watchers that restart when the store is lost.
        on_lost: Called when the store is lost.
        available: Set while the store responds.
    """

    def __init__(self) -> None:
        self.lost_at: float | None = None
        self.lapsed_until = 0.0
        self.restored_until = 0.0
        self.generation: int | None = None
        self.watchers: list[StoreWatcher] = []
        self.on_lost: Callable[[], None] = lambda: None
        self.available = asyncio.Event()
        self.available.set()

    def record_response(self, now: float) -> None:
        """Records a response of the store."""
        if self.lost_at is None:
            return
        away_s = now - self.lost_at
        if away_s >= LAPSE_OUTAGE_S:
            self.lapsed_until = now + RETURN_GRACE_S
        events.emit(events.StoreBack(round(away_s, 3)))
        self.lost_at = None
        self.available.set()

    def record_failure(self, object_kind: str, reason: str, now: float) -> None:
        """Records a call without a response, and restarts the other watchers.

        A call that waits on an unresponsive connection would notice much later.
        """
        if self.lost_at is not None:
            return
        self.lost_at = now
        events.emit(events.StoreLost(object_kind, reason))
        self.available.clear()
        self.on_lost()
        for watcher in self.watchers:
            if watcher.object_kind != object_kind:
                watcher.restart.set()

    def record_history_loss(self, version: str) -> None:
        """Records that changes after a version are lost, for each kind.

        The store keeps one history. A call for another kind that began before
        the loss may wait to its end without a change, so it is made again.
        """
        for watcher in self.watchers:
            if watcher.version and int(watcher.version) <= int(version):
                watcher.restart.set()

    def record_generation(self, generation: int, now: float) -> None:
        """Records the generation of the store, and ends calls in earlier ones.

        What was written after the copy was made is missing until it is written
        again.
        """
        previous = self.generation
        if previous is not None and generation <= previous:
            return
        self.generation = generation
        if previous is None:
            return
        events.emit(events.StoreRestored(generation, previous))
        self.lapsed_until = now + RETURN_GRACE_S
        self.restored_until = now + RETURN_GRACE_S
        for watcher in self.watchers:
            if watcher.version and watcher.generation < generation:
                watcher.restart.set()

    def may_have_lapsed(self, now: float) -> bool:
        """Returns whether an object may be missing because of an outage."""
        return self.lost_at is not None or now < self.lapsed_until


class StoreWatcher:
    """Lists a kind once and then reads its changes.

    Attributes:
        object_kind: Kind of the objects.
        timing: How often it is read.
        version: Version up to which all changes were seen, or empty.
        restart: Set to end a call that waits.
        generation: Generation of the store in that version.
        pause_s: Pause after the next failure, in seconds.
        retries_lost_store: Whether this watcher, the first one, retries a lost
            store; the others wait for its return, since each call is paid for.
    """

    def __init__(
        self,
        store: interface.ObjectReader,
        object_kind: str,
        handlers: Handlers,
        timing: WatchTiming,
        store_health: StoreHealth,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.object_kind = object_kind
        self.handlers = handlers
        self.timing = timing
        self.store_health = store_health
        self.random = rng
        self.loop = asyncio.get_running_loop()
        self.version = ""
        self.generation = 0
        self.restart = asyncio.Event()
        self.pause_s = FIRST_PAUSE_S
        self.retries_lost_store = not store_health.watchers
        store_health.watchers.append(self)

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            self.restart.clear()
            watching = asyncio.ensure_future(self._watch_until_lost())
            restarted = asyncio.ensure_future(self.restart.wait())
            tasks = {watching, restarted}
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            if not watching.cancelled() and watching.exception() is not None:
                raise watching.exception()

    async def _watch_until_lost(self) -> None:
        """Lists if need be, then reads changes until the store is lost."""
        if not self.version and not await self._list():
            return
        while True:
            started_at = self.loop.time()
            lost = self.store_health.lost_at is not None
            wait_s = 0.0 if lost else self.timing.wait_s
            outcome = await self.store.changes(
                self.object_kind, self.version, wait_s
            )
            if isinstance(outcome, interface.Unavailable):
                await self._handle_outage(outcome)
                return
            self._record_response()
            if isinstance(outcome, interface.Gone):
                known = versions.describe(self.version)
                events.emit(events.ChangeHistoryLost(self.object_kind, known))
                lost_after, self.version = self.version, ""
                self.store_health.record_history_loss(lost_after)
                return
            self._record_version(outcome.version)
            for event in outcome.events:
                self._dispatch_change(event)
            if outcome.events and not outcome.relayed:
                await asyncio.sleep(
                    started_at + self.timing.period_s - self.loop.time()
                )

    async def _list(self) -> bool:
        outcome = await self.store.list(self.object_kind)
        if isinstance(outcome, interface.Unavailable):
            await self._handle_outage(outcome)
            return False
        if not outcome.relayed:
            self._record_response()
        events.emit(
            events.ObjectsListed(
                self.object_kind,
                versions.describe(outcome.version),
                len(outcome.items),
                outcome.relayed,
            )
        )
        self._record_version(outcome.version)
        self.handlers.on_listed(outcome.items)
        return True

    def _record_version(self, version: str) -> None:
        self.version = version
        self.generation = versions.StoreVersion.from_text(version).generation
        self.store_health.record_generation(self.generation, self.loop.time())

    def _dispatch_change(
        self, event: interface.Changed | interface.Deleted
    ) -> None:
        if isinstance(event, interface.Changed):
            self.handlers.on_changed(event.item)
        else:
            self.handlers.on_deleted(event.item)

    def _record_response(self) -> None:
        self.pause_s = FIRST_PAUSE_S
        self.store_health.record_response(self.loop.time())

    async def _handle_outage(self, outcome: interface.Unavailable) -> None:
        self.store_health.record_failure(
            self.object_kind, outcome.reason, self.loop.time()
        )
        pause_s = self.pause_s * self.random.uniform(0.5, 1.0)
        self.pause_s = min(self.pause_s * 2, MAX_PAUSE_S)
        await asyncio.sleep(min(pause_s, outcome.retry_within_s))
        if not self.retries_lost_store:
            await self.store_health.available.wait()
