"""Writes the status of the daemon to the object API, in few writes."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import structlog

from banyantiller.config import defaults
from banyantiller.membership.peers import Peers
from banyantiller.replica.state import InForceBundle
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.replica")

OBJECT_KIND = "daemonstatuses"
RENEWAL_PERIOD_S = 60.0
RENEWAL_PERIOD_PER_MEMBER_S = 2.0
MAX_DELAY_S = 0.1
MAX_DELAY_PER_MEMBER_S = 0.01
WRITE_GAP_PER_MEMBER_S = 0.5
INITIAL_RETRY_S = 1.0
MAX_RETRY_S = 15.0
REMOVE_TIMEOUT_S = 1.0


class StatusWriter:
    """Keeps the status object of one daemon up to date.

    A change is written within a fraction of a second, or after a gap that
    grows with the fleet if changes follow each other closely, so that all
    daemons together write at most two statuses per second in the long run.
    Without a change the object is renewed about every `RENEWAL_PERIOD_S`,
    less often in a large fleet.

    Attributes:
        in_force: The bundle in force, or None.
        changed: Set when a change has to be written.
        stored_object: The object as last read or written, or None.
        next_write_at: Loop time before which a change is not written.
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
        self.in_force: InForceBundle | None = None
        self.changed = asyncio.Event()
        self.stored_object: interface.StoredObject | None = None
        self.next_write_at = 0.0

    def record_in_force(self, in_force: InForceBundle) -> None:
        """Records the bundle in force and schedules a write."""
        self.in_force = in_force
        self.changed.set()

    async def run(self) -> None:
        """Writes the object on each change and once per renewal period."""
        pause = INITIAL_RETRY_S
        while True:
            await self._wait_for_change()
            while not await self._write_object():
                await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
                pause = min(pause * 2, MAX_RETRY_S)
            pause = INITIAL_RETRY_S

    async def remove_object(self) -> None:
        """Deletes the object on shutdown, unless that takes too long."""
        if self.stored_object is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REMOVE_TIMEOUT_S):
                await self.store.delete(self.stored_object)

    async def _wait_for_change(self) -> None:
        members = len(self.peers.alive_members())
        renewal_period = max(
            RENEWAL_PERIOD_S, RENEWAL_PERIOD_PER_MEMBER_S * members
        )
        try:
            async with asyncio.timeout(
                renewal_period * self.random.uniform(0.8, 1.2)
            ):
                await self.changed.wait()
        except TimeoutError:
            return
        # A random delay spreads the writes of daemons that change together.
        max_delay = MAX_DELAY_S + MAX_DELAY_PER_MEMBER_S * members
        gap = self.next_write_at - asyncio.get_running_loop().time()
        await asyncio.sleep(max(gap, 0.0) + max_delay * self.random.random())

    async def _write_object(self) -> bool:
        self.changed.clear()
        now = asyncio.get_running_loop().time()
        self.next_write_at = now + WRITE_GAP_PER_MEMBER_S * len(
            self.peers.alive_members()
        )
        value = self._status_fields()
        name = self.settings.daemon
        if self.stored_object is None:
            labels = {"deployment": self.settings.deployment}
            outcome = await self.store.create(OBJECT_KIND, name, value, labels)
        else:
            outcome = await self.store.update(self.stored_object, value)
        if isinstance(outcome, interface.Found):
            self.stored_object = outcome.item
            return True
        await self._read_back()
        return False

    async def _read_back(self) -> None:
        found = await self.store.get(OBJECT_KIND, self.settings.daemon)
        if isinstance(found, interface.Found):
            self.stored_object = found.item
        elif isinstance(found, interface.Missing):
            self.stored_object = None

    def _status_fields(self) -> dict[str, Any]:
        in_force = self.in_force
        return {
            "daemon": self.settings.daemon,
            "zone": self.settings.zone,
            "bundle": in_force.version if in_force else 0,
            "digest": in_force.digest if in_force else "",
            "at": self.wall(),
            "incarnation": self.peers.table.local.incarnation,
        }
