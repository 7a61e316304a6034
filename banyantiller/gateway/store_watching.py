"""Follows the objects of a kind in the store, through outages of it."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.gateway import events
from banyantiller.store import interface

# Pauses between tries while the store gives no answer: with the timeout of a
# call, 1 s, its return is seen within 1.8 s.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
# Registrations lapse after three heartbeats; a shorter outage loses none.
LAPSE_OUTAGE_S = 1.0
# How long after its return the store may still be short of registrations.
RETURN_S = 2.5


class WatchTiming(NamedTuple):
    """How often a kind is read.

    Attributes:
        wait_s: Longest wait of one call, in seconds.
        period_s: Least time between two calls to the store while changes
            come, in seconds.
    """

    wait_s: float
    period_s: float


# A connection that went silent at the store hides a change for as long as a
# call waits. A document must be in force 2 s after its acceptance, with 3 s of
# undisturbed store before.
DOCUMENT_TIMING = WatchTiming(wait_s=3.0, period_s=0.0)
# Registrations come in series; a leaving server may get requests for 2 s, so
# one call brings what changed within 0.8 s. A lost store is noticed by the
# kind of the documents.
SERVER_TIMING = WatchTiming(wait_s=10.0, period_s=0.8)
# Zones are evacuated rarely, and each evacuation has to be known at once.
EVACUATION_TIMING = WatchTiming(wait_s=10.0, period_s=0.0)


class Handlers(NamedTuple):
    """What is called with the objects of a kind.

    Attributes:
        on_listed: Takes all objects that exist.
        on_changed: Takes an object that was created or changed.
        on_deleted: Takes an object that was removed, as it was.
    """

    on_listed: Callable[[tuple[interface.StoredObject, ...]], None]
    on_changed: Callable[[interface.StoredObject], None]
    on_deleted: Callable[[interface.StoredObject], None]


class StoreHealth:
    """Whether the store answers this daemon, over all that it follows.

    Attributes:
        lost_at: Loop time since which it gives no answer, or None.
        lapsed_until: Loop time until which missing objects may come back.
        watchers: Followers that are told when the store is lost.
        on_lost: Called when the store is lost.
        available: Set while the store answers.
    """

    def __init__(self) -> None:
        self.lost_at: float | None = None
        self.lapsed_until = 0.0
        self.watchers: list[StoreWatcher] = []
        self.on_lost: Callable[[], None] = lambda: None
        self.available = asyncio.Event()
        self.available.set()

    def record_response(self, now: float) -> None:
        """Notes an answer of the store."""
        if self.lost_at is None:
            return
        away_s = now - self.lost_at
        if away_s >= LAPSE_OUTAGE_S:
            self.lapsed_until = now + RETURN_S
        events.emit(events.StoreBack(round(away_s, 3)))
        self.lost_at = None
        self.available.set()

    def record_failure(self, kind: str, reason: str, now: float) -> None:
        """Notes a call without an answer; other waiting calls begin anew.

        A call that waits on a connection gone silent would notice much later.
        """
        if self.lost_at is not None:
            return
        self.lost_at = now
        events.emit(events.StoreLost(kind, reason))
        self.available.clear()
        self.on_lost()
        for watcher in self.watchers:
            if watcher.object_kind != kind:
                watcher.restart.set()

    def may_have_lapsed(self, now: float) -> bool:
        """Tells whether an object may be missing because of an outage."""
        return self.lost_at is not None or now < self.lapsed_until


class StoreWatcher:
    """Lists a kind once and then reads its changes.

    Attributes:
        object_kind: Kind of the objects.
        timing: How often it is read. The first follower tries a lost store; the
            others wait for its return, since each call is paid for.
        version: Version up to which all changes were seen, or empty.
        restart: Set to end a call that waits.
        pause_s: Pause after the next failure, in seconds.
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
        self.restart = asyncio.Event()
        self.pause_s = FIRST_PAUSE_S
        self.leads = not store_health.watchers
        store_health.watchers.append(self)

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            self.restart.clear()
            step = asyncio.ensure_future(self._step())
            ended = asyncio.ensure_future(self.restart.wait())
            both = {step, ended}
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in both:
                    task.cancel()
                await asyncio.gather(*both, return_exceptions=True)
            if not step.cancelled() and step.exception() is not None:
                raise step.exception()

    async def _step(self) -> None:
        """Lists if need be, then reads changes until the store is lost."""
        if not self.version and not await self._list():
            return
        while True:
            began = self.loop.time()
            lost = self.store_health.lost_at is not None
            wait_s = 0.0 if lost else self.timing.wait_s
            found = await self.store.changes(
                self.object_kind, self.version, wait_s
            )
            if isinstance(found, interface.Unavailable):
                await self._failed(found)
                return
            self._answered()
            if isinstance(found, interface.Gone):
                events.emit(events.HistoryLost(self.object_kind))
                self.version = ""
                return
            self.version = found.version
            for event in found.events:
                self._take(event)
            if found.events and not found.relayed:
                await asyncio.sleep(
                    began + self.timing.period_s - self.loop.time()
                )

    async def _list(self) -> bool:
        found = await self.store.list(self.object_kind)
        if isinstance(found, interface.Unavailable):
            await self._failed(found)
            return False
        if not found.relayed:
            self._answered()
        self.handlers.on_listed(found.items)
        self.version = found.version
        return True

    def _take(self, event: interface.Changed | interface.Deleted) -> None:
        if isinstance(event, interface.Changed):
            self.handlers.on_changed(event.item)
        else:
            self.handlers.on_deleted(event.item)

    def _answered(self) -> None:
        self.pause_s = FIRST_PAUSE_S
        self.store_health.record_response(self.loop.time())

    async def _failed(self, found: interface.Unavailable) -> None:
        self.store_health.record_failure(
            self.object_kind, found.reason, self.loop.time()
        )
        pause_s = self.pause_s * self.random.uniform(0.5, 1.0)
        self.pause_s = min(self.pause_s * 2, MAX_PAUSE_S)
        await asyncio.sleep(min(pause_s, found.retry_within_s))
        if not self.leads:
            await self.store_health.available.wait()
