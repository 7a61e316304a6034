"""Measures how long changes take to reach daemons while relays fail."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.store import interface
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
SUBSCRIBERS = 4
# Subscribers of the small fleet of `run_fleet`.
SMALL_FLEET_SUBSCRIBERS = 2
SETTLE_S = 4.0
# Time between changes, and number of changes in a run.
CHANGE_GAP_S = 0.25
CHANGES = 30
STEP_S = 0.02


class FaultyDaemon:
    """Injects one fault into a relay.

    Attributes:
        name: Name of the fault.
        until: Loop time at which it ends.
        late_s: Delay of late responses, in seconds.
    """

    def __init__(self, daemon, name, until, late_s):
        self.name = name
        self.until = until
        self.late_s = late_s
        self.loop = asyncio.get_running_loop()
        self.wrapped_handler = daemon.store_view.mirror.handle
        store = daemon.store_view.reader.store
        self.read_changes = store.changes
        self.read_list = store.list
        # Open connections keep the handler of their server, so the mirror's own
        # method is replaced.
        daemon.store_view.mirror.handle = self.handle
        store.changes = self.changes
        store.list = self.list

    async def handle(self, request):
        """Answers a query of another daemon."""
        if self._has_fault("unresponsive"):
            await asyncio.sleep(harness.NEVER_S)
        if self._has_fault("refusing"):
            raise OSError
        if self._has_fault("frozen"):
            await self._wait_for_end()
        result = await self.wrapped_handler(request)
        if self._has_fault("late_answers"):
            await asyncio.sleep(self.late_s)
        if self._has_fault("frozen"):
            await self._wait_for_end()
        return result

    async def changes(self, kind, version, wait_s):
        """Reads the store's changes."""
        return await self._read(
            self.read_changes(kind, version, wait_s), wait_s
        )

    async def list(self, kind, labels=None):
        """Reads a list of the store."""
        return await self._read(self.read_list(kind, labels), 0.0)

    async def _read(self, pending_read, wait_s):
        if self._has_fault("cut_from_store"):
            pending_read.close()
            await asyncio.sleep(wait_s + 0.8)
            return interface.Unavailable("no answer")
        if self._has_fault("rejected_by_store"):
            pending_read.close()
            return interface.Unavailable("status 429")
        result = await pending_read
        if self._has_fault("store_is_late"):
            await asyncio.sleep(min(self.late_s, 0.7))
        if self._has_fault("frozen"):
            await self._wait_for_end()
        if self._has_fault("cut_from_store"):
            # The connection was cut while the response was awaited.
            await asyncio.sleep(0.8)
            return interface.Unavailable("no answer")
        return result

    def _has_fault(self, name):
        return self.name == name and self.loop.time() < self.until

    async def _wait_for_end(self):
        await asyncio.sleep(self.until - self.loop.time())


FAULTS = (
    "unresponsive",
    "refusing",
    "frozen",
    "late_answers",
    "cut_from_store",
    "rejected_by_store",
    "store_is_late",
    "none",
)


class Lag(NamedTuple):
    """The longest time for which a daemon missed a change.

    Attributes:
        lag_s: That time, in seconds.
        daemon: Name of the daemon.
        faults: Faults of the relays.
    """

    lag_s: float
    daemon: str
    faults: tuple[str, ...]


async def measure_lag(seed, faults=None, duration_s=(1.0, 6.0)):
    """Returns the longest lag of daemons without a fault."""
    rng = random.Random(seed)
    async with harness.GatewayHarness(seed) as env:
        initial_gateway = env.gateway
        relays, subscribers = [], []
        for number, port in enumerate(PORTS):
            env.seed += 1
            await env.start_gateway(SEEDS, f"seed{number}", port)
            relays.append(env.gateway)
        for number in range(SUBSCRIBERS):
            env.seed += 1
            await env.start_gateway(SEEDS, f"more{number}")
            subscribers.append(env.gateway)
        await asyncio.sleep(SETTLE_S)
        try:
            return await _apply_faults(
                env, relays, subscribers, rng, faults, duration_s
            )
        finally:
            env.gateway = initial_gateway
            for daemon in relays + subscribers:
                daemon.listener.close()
                await daemon.close()


async def _apply_faults(env, relays, subscribers, rng, faults, duration_s):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    fault_names = faults or tuple(rng.choice(FAULTS) for _ in PORTS)
    pending_faults = []
    for daemon, name in zip(relays, fault_names, strict=True):
        starts_at = started_at + rng.uniform(0, 3)
        until = starts_at + rng.uniform(*duration_s)
        pending_faults.append(
            (starts_at, daemon, name, until, rng.uniform(0.2, 1.0))
        )
    healthy = subscribers + [
        daemon
        for daemon, name in zip(relays, fault_names, strict=True)
        if name == "none"
    ]
    updates = []
    longest = Lag(0.0, "", fault_names)
    next_update = started_at + rng.uniform(0, CHANGE_GAP_S)
    while loop.time() < started_at + CHANGES * CHANGE_GAP_S:
        now = loop.time()
        for fault in [fault for fault in pending_faults if fault[0] <= now]:
            pending_faults.remove(fault)
            _, daemon, name, until, late_s = fault
            if name != "none":
                FaultyDaemon(daemon, name, until, late_s)
        if now >= next_update:
            next_update += CHANGE_GAP_S
            env.put_document()
            updates.append((now, env.version))
        for daemon in healthy:
            missed = [
                at
                for at, version in updates
                if version > daemon.store_view.version
            ]
            if missed and now - missed[0] > longest.lag_s:
                longest = Lag(
                    now - missed[0], daemon.settings.daemon, fault_names
                )
        await asyncio.sleep(STEP_S)
    return longest


async def start_fleet(env):
    """Starts relays and subscribers, and returns their gateways."""
    fleet = []
    for number in range(len(PORTS) + SMALL_FLEET_SUBSCRIBERS):
        is_relay = number < len(PORTS)
        port = PORTS[number] if is_relay else 0
        env.seed += 1
        await env.start_gateway(SEEDS, f"d{number}", port)
        fleet.append(env.gateway)
    return fleet


async def run_fleet(play):
    """Returns what `play(env, relays, subscribers)` returns."""
    async with harness.GatewayHarness() as env:
        first = env.gateway
        fleet = await start_fleet(env)
        await asyncio.sleep(SETTLE_S)
        relay_count = len(PORTS)
        try:
            return await play(env, fleet[:relay_count], fleet[relay_count:])
        finally:
            env.gateway = first
            for one in fleet:
                one.listener.close()
                await one.close()
