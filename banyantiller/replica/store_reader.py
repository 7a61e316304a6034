"""Reads the accepted bundle from the object API.

All daemons read it periodically, and a few watch it. The watchers are the
daemons with the lowest rendezvous ranks among the members that are considered
alive. Only the number of calls depends on that choice: if views differ, more
or fewer daemons watch, and the rest learn of changes from their own reads and
from peers.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from banyantiller.bundle import outcomes
from banyantiller.bundle import reading as bundle_reading
from banyantiller.config import defaults
from banyantiller.membership import overlay
from banyantiller.membership.peers import Peers
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.replica")

WATCH_KEY = "watch"
SELECTION_CHECK_S = 0.5
INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0
READ_PERIOD_PER_MEMBER_S = 0.7
READS_PER_ISOLATION_PERIOD = 3
UNMATCHED_LABELS = {"prefetch": "none"}


class ReaderHandlers(NamedTuple):
    """Callbacks for what the reader receives.

    Attributes:
        on_head: Called with a head and its source, "watch" or "read".
        on_part: Called with the canonical JSON of a part that was written.
        on_store_response: Called with whether the object API responded, and
            the reason if it did not.
    """

    on_head: Callable[[outcomes.HeadFound | outcomes.DamagedObject, str], None]
    on_part: Callable[[bytes], None]
    on_store_response: Callable[[bool, str], None]


class StoreReader:
    """Watches and reads the head of one deployment.

    Attributes:
        watching: Whether this daemon has an open watch.
        first_read_done: Whether a read has succeeded or failed.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        peers: Peers,
        handlers: ReaderHandlers,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.peers = peers
        self.handlers = handlers
        self.random = rng
        self.watching = False
        self.first_read_done = False

    def is_watcher(self) -> bool:
        """Returns whether this daemon is selected as a watcher."""
        alive = [
            entry.daemon
            for entry in self.peers.alive_members(include_suspects=False)
        ]
        key = f"{WATCH_KEY} {self.settings.deployment}"
        watchers = self.settings.object_api.watchers
        return overlay.is_selected(key, self.settings.daemon, alive, watchers)

    def read_period(self) -> float:
        """Returns the mean time between reads, in seconds.

        It grows with the fleet to bound the rate of calls of all daemons. A
        daemon without links reads more often, as only its reads show whether
        it is isolated.
        """
        period = max(
            self.settings.object_api.poll_s,
            READ_PERIOD_PER_MEMBER_S * len(self.peers.alive_members()),
        )
        if self.peers.linked_peers():
            return period
        unlinked_period = (
            self.settings.outage.isolated_after_s / READS_PER_ISOLATION_PERIOD
        )
        return min(period, unlinked_period)

    async def run_watch(self) -> None:
        """Watches the head while this daemon is selected as a watcher."""
        pause = INITIAL_PAUSE_S
        while True:
            if not self.is_watcher():
                await asyncio.sleep(SELECTION_CHECK_S)
                continue
            if await self._watch_once():
                pause = INITIAL_PAUSE_S
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(pause * 2, MAX_PAUSE_S)

    async def run_reads(self) -> None:
        """Reads the head periodically."""
        while True:
            await self.read_and_report()
            period = self.read_period()
            await asyncio.sleep(period * self.random.uniform(0.5, 1.5))

    async def read_and_report(self) -> None:
        """Reads the head once and reports the result to the callbacks."""
        found = await bundle_reading.read_head(
            self.store, self.settings.deployment
        )
        self.first_read_done = True
        if isinstance(found, outcomes.NotReached):
            self.handlers.on_store_response(False, found.reason)
            return
        self.handlers.on_store_response(True, "")
        if not isinstance(found, outcomes.NoHead):
            self.handlers.on_head(found, "read")

    async def _watch_once(self) -> bool:
        """Lists, then watches; returns whether the list succeeded."""
        listed = await self.store.list(bundle_reading.HEADS)
        if isinstance(listed, interface.Unavailable):
            self.handlers.on_store_response(False, listed.reason)
            return False
        self.handlers.on_store_response(True, "")
        for item in listed.items:
            self._process_head(item)
        parts = asyncio.create_task(self._watch_parts())
        self.watching = True
        try:
            await self._follow_heads(listed.version)
        finally:
            self.watching = False
            parts.cancel()
            await asyncio.gather(parts, return_exceptions=True)
        return True

    async def _follow_heads(self, version: str) -> None:
        events = self.store.watch(bundle_reading.HEADS, version)
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, interface.Unavailable):
                    self.handlers.on_store_response(False, event.reason)
                    return
                self.handlers.on_store_response(True, "")
                if isinstance(event, interface.Gone):
                    return
                if isinstance(event, interface.Changed):
                    self._process_head(event.item)
                if not self.is_watcher():
                    return

    async def _watch_parts(self) -> None:
        # Parts are written when a bundle is proposed. With the parts fetched
        # in advance, only the acceptance is missing if the object API becomes
        # unavailable right after it. The list matches no object; only its
        # version is needed to start the watch.
        listed = await self.store.list(bundle_reading.PARTS, UNMATCHED_LABELS)
        if isinstance(listed, interface.Unavailable):
            return
        events = self.store.watch(bundle_reading.PARTS, listed.version)
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, interface.Changed):
                    self._process_part(event.item.value.get("data"))

    def _process_head(self, item: interface.StoredObject) -> None:
        if item.name == self.settings.deployment:
            self.handlers.on_head(bundle_reading.decode_head(item), "watch")

    def _process_part(self, data: Any) -> None:
        if isinstance(data, str):
            self.handlers.on_part(data.encode("utf-8", "replace"))
