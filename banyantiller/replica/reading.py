"""Reads the accepted bundle from the object API: a watch by some, reads by all.

The daemons that watch are those with the lowest rendezvous ranks among the
members believed to be alive. Nothing depends on that choice but the number
of calls: with wrong views more or fewer daemons watch, and the others learn
from their own reads and from peers.
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
RANK_CHECK_S = 0.5
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.0
READ_SPACING_S = 0.7
READS_WHEN_ALONE = 3
NO_SUCH_LABEL = {"prefetch": "none"}


class ReadHandlers(NamedTuple):
    """Whom the reader tells what it found.

    Attributes:
        found: Called with a head and "watch" or "read".
        part: Called with the canonical JSON of a part that was written.
        answered: Called with whether the object API answered, and why not.
    """

    found: Callable[[outcomes.HeadFound | outcomes.DamagedObject, str], None]
    part: Callable[[bytes], None]
    answered: Callable[[bool, str], None]


class Reader:
    """Watches and reads the head of one deployment.

    Attributes:
        watching: Whether a watch is open here.
        tried: Whether a first read was answered or failed.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        peers: Peers,
        handlers: ReadHandlers,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.peers = peers
        self.handlers = handlers
        self.random = rng
        self.watching = False
        self.tried = False

    def has_rank(self) -> bool:
        """Tells whether this daemon is one of those that watch."""
        alive = [entry.daemon for entry in self.peers.alive(suspects=False)]
        key = f"{WATCH_KEY} {self.settings.deployment}"
        places = self.settings.object_api.watchers
        return overlay.holds_rank(key, self.settings.daemon, alive, places)

    def read_period(self) -> float:
        """Returns the mean time between reads, in seconds.

        It grows with the fleet so that all daemons together make a bounded
        number of calls. A daemon without links reads more often, since its
        reads alone tell whether it is isolated.
        """
        period = max(
            self.settings.object_api.poll_s,
            READ_SPACING_S * len(self.peers.alive()),
        )
        if self.peers.linked():
            return period
        alone = self.settings.outage.isolated_after_s / READS_WHEN_ALONE
        return min(period, alone)

    async def watch(self) -> None:
        """Watches whenever this daemon has the rank to."""
        pause = FIRST_PAUSE_S
        while True:
            if not self.has_rank():
                await asyncio.sleep(RANK_CHECK_S)
                continue
            if await self._watch_once():
                pause = FIRST_PAUSE_S
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(pause * 2, LONGEST_PAUSE_S)

    async def read(self) -> None:
        """Reads the head periodically."""
        while True:
            await self.read_once()
            period = self.read_period()
            await asyncio.sleep(period * self.random.uniform(0.5, 1.5))

    async def read_once(self) -> None:
        """Reads the head."""
        found = await bundle_reading.read_head(
            self.store, self.settings.deployment
        )
        self.tried = True
        if isinstance(found, outcomes.NotReached):
            self.handlers.answered(False, found.reason)
            return
        self.handlers.answered(True, "")
        if not isinstance(found, outcomes.NoHead):
            self.handlers.found(found, "read")

    async def _watch_once(self) -> bool:
        """Lists, then watches; returns whether the list was answered."""
        listed = await self.store.list(bundle_reading.HEADS)
        if isinstance(listed, interface.Unavailable):
            self.handlers.answered(False, listed.reason)
            return False
        self.handlers.answered(True, "")
        for item in listed.items:
            self._take(item)
        parts = asyncio.create_task(self._watch_parts())
        self.watching = True
        try:
            await self._follow(listed.version)
        finally:
            self.watching = False
            parts.cancel()
            await asyncio.gather(parts, return_exceptions=True)
        return True

    async def _follow(self, version: str) -> None:
        events = self.store.watch(bundle_reading.HEADS, version)
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, interface.Unavailable):
                    self.handlers.answered(False, event.reason)
                    return
                self.handlers.answered(True, "")
                if isinstance(event, interface.Gone):
                    return
                if isinstance(event, interface.Changed):
                    self._take(event.item)
                if not self.has_rank():
                    return

    async def _watch_parts(self) -> None:
        # Parts are written when a bundle is proposed. Having them before it
        # is accepted means that an accept is all that must be learned when
        # the object API goes down right after it. The list matches nothing:
        # it is made for its version.
        listed = await self.store.list(bundle_reading.PARTS, NO_SUCH_LABEL)
        if isinstance(listed, interface.Unavailable):
            return
        events = self.store.watch(bundle_reading.PARTS, listed.version)
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, interface.Changed):
                    self._take_part(event.item.value.get("data"))

    def _take(self, item: interface.StoredObject) -> None:
        if item.name == self.settings.deployment:
            self.handlers.found(bundle_reading.decode_head(item), "watch")

    def _take_part(self, data: Any) -> None:
        if isinstance(data, str):
            self.handlers.part(data.encode("utf-8", "replace"))
