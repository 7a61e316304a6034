"""Writes which bundle is in force here to the object API, in few writes."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import structlog

from banyantiller.config import defaults
from banyantiller.membership.peers import Peers
from banyantiller.replica.state import Held
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.replica")

KIND = "daemonstatuses"
RENEW_S = 60.0
RENEW_SPACING_S = 2.0
DELAY_S = 0.1
DELAY_SPACING_S = 0.01
GAP_SPACING_S = 0.5
RETRY_S = 1.0
LONGEST_RETRY_S = 15.0
REMOVE_S = 1.0


class StatusWriter:
    """Keeps one daemon's status object up to date.

    A change is written within a fraction of a second, or after a gap that
    grows with the fleet when changes follow each other closely, so that all
    daemons together write no more than two statuses a second in the long
    run. Without a change the object is renewed about every `RENEW_S`, less
    often in a large fleet.

    Attributes:
        item: The object as last seen, or None.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        store: interface.ObjectStore,
        peers: Peers,
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.peers = peers
        self.wall = wall
        self.random = rng
        self.held: Held | None = None
        self.changed = asyncio.Event()
        self.item: interface.StoredObject | None = None
        self.next_write = 0.0

    def note(self, held: Held) -> None:
        """Notes the bundle in force and has it written."""
        self.held = held
        self.changed.set()

    async def run(self) -> None:
        """Writes on each change and now and then."""
        pause = RETRY_S
        while True:
            await self._wait_for_change()
            while not await self._write():
                await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
                pause = min(pause * 2, LONGEST_RETRY_S)
            pause = RETRY_S

    async def remove(self) -> None:
        """Deletes the object when the daemon ends, if that works at once."""
        if self.item is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REMOVE_S):
                await self.store.delete(self.item)

    async def _wait_for_change(self) -> None:
        members = len(self.peers.alive_members())
        renew = max(RENEW_S, RENEW_SPACING_S * members)
        try:
            async with asyncio.timeout(renew * self.random.uniform(0.8, 1.2)):
                await self.changed.wait()
        except TimeoutError:
            return
        # Daemons that change together write a little apart.
        longest = DELAY_S + DELAY_SPACING_S * members
        gap = self.next_write - asyncio.get_running_loop().time()
        await asyncio.sleep(max(gap, 0.0) + longest * self.random.random())

    async def _write(self) -> bool:
        self.changed.clear()
        now = asyncio.get_running_loop().time()
        self.next_write = now + GAP_SPACING_S * len(self.peers.alive_members())
        value = self._value()
        name = self.settings.daemon
        if self.item is None:
            labels = {"deployment": self.settings.deployment}
            outcome = await self.store.create(KIND, name, value, labels)
        else:
            outcome = await self.store.update(self.item, value)
        if isinstance(outcome, interface.Found):
            self.item = outcome.item
            return True
        await self._read_back()
        return False

    async def _read_back(self) -> None:
        found = await self.store.get(KIND, self.settings.daemon)
        if isinstance(found, interface.Found):
            self.item = found.item
        elif isinstance(found, interface.Missing):
            self.item = None

    def _value(self) -> dict[str, Any]:
        held = self.held
        return {
            "daemon": self.settings.daemon,
            "zone": self.settings.zone,
            "bundle": held.version if held else 0,
            "digest": held.digest if held else "",
            "at": self.wall(),
            "incarnation": self.peers.table.local.incarnation,
        }
