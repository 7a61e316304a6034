"""A fleet in which the way of a change from the store is disturbed."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.store import interface
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
OTHERS = 4
SETTLE_S = 4.0
# A change each of these, for the time that a play lasts.
CHANGE_GAP_S = 0.25
CHANGES = 30
STEP_S = 0.02


class FaultyDaemon:
    """A daemon that others ask, disturbed by one fault.

    Attributes:
        name: Name of the fault.
        until: Loop time at which it ends.
        late_s: How late an answer is.
    """

    def __init__(self, daemon, name, until, late_s):
        self.name = name
        self.until = until
        self.late_s = late_s
        self.loop = asyncio.get_running_loop()
        self.handler = daemon.store_view.mirror.handle
        store = daemon.store_view.reader.store
        self.read_changes = store.changes
        self.read_list = store.list
        # Connections that are open already keep their server's handler.
        daemon.store_view.mirror.handle = self.answer
        store.changes = self.changes
        store.list = self.list

    async def answer(self, request):
        """Answers another daemon."""
        if self._is("silent"):
            await asyncio.sleep(harness.NEVER_S)
        if self._is("refusing"):
            raise OSError
        if self._is("frozen"):
            await self._end()
        found = await self.handler(request)
        if self._is("late_answers"):
            await asyncio.sleep(self.late_s)
        if self._is("frozen"):
            await self._end()
        return found

    async def changes(self, kind, version, wait_s):
        """Reads the store's changes."""
        return await self._read(
            self.read_changes(kind, version, wait_s), wait_s
        )

    async def list(self, kind, labels=None):
        """Reads a list of the store."""
        return await self._read(self.read_list(kind, labels), 0.0)

    async def _read(self, reading, wait_s):
        if self._is("cut_from_store"):
            reading.close()
            await asyncio.sleep(wait_s + 0.8)
            return interface.Unavailable("no answer")
        if self._is("turned_away"):
            reading.close()
            return interface.Unavailable("status 429")
        found = await reading
        if self._is("store_is_late"):
            await asyncio.sleep(min(self.late_s, 0.7))
        if self._is("frozen"):
            await self._end()
        if self._is("cut_from_store"):
            # It was cut off while the answer was awaited.
            await asyncio.sleep(0.8)
            return interface.Unavailable("no answer")
        return found

    def _is(self, name):
        return self.name == name and self.loop.time() < self.until

    async def _end(self):
        await asyncio.sleep(self.until - self.loop.time())


FAULTS = (
    "silent",
    "refusing",
    "frozen",
    "late_answers",
    "cut_from_store",
    "turned_away",
    "store_is_late",
    "none",
)


class Lag(NamedTuple):
    """The longest time for which a daemon missed a change.

    Attributes:
        lag_s: That time, in seconds.
        daemon: Its name.
        faults: Faults of the daemons that are asked.
    """

    lag_s: float
    daemon: str
    faults: tuple[str, ...]


async def play(seed, faults=None, duration_s=(1.0, 6.0)):
    """Returns the longest lag of daemons that are not disturbed."""
    rng = random.Random(seed)
    async with harness.GatewayHarness(seed) as place:
        alone = place.gateway
        asked, others = [], []
        for number, port in enumerate(PORTS):
            place.seed += 1
            await place.start_gateway(SEEDS, f"seed{number}", port)
            asked.append(place.gateway)
        for number in range(OTHERS):
            place.seed += 1
            await place.start_gateway(SEEDS, f"more{number}")
            others.append(place.gateway)
        await asyncio.sleep(SETTLE_S)
        try:
            return await _disturb(place, asked, others, rng, faults, duration_s)
        finally:
            place.gateway = alone
            for one in asked + others:
                one.listener.close()
                await one.close()


async def _disturb(place, asked, others, rng, faults, duration_s):
    loop = asyncio.get_running_loop()
    begins = loop.time()
    chosen = faults or tuple(rng.choice(FAULTS) for _ in PORTS)
    starts = []
    for daemon, name in zip(asked, chosen, strict=True):
        at = begins + rng.uniform(0, 3)
        ends = at + rng.uniform(*duration_s)
        starts.append((at, daemon, name, ends, rng.uniform(0.2, 1.0)))
    calm = others + [
        one for one, name in zip(asked, chosen, strict=True) if name == "none"
    ]
    puts = []
    worst = Lag(0.0, "", chosen)
    next_put = begins + rng.uniform(0, CHANGE_GAP_S)
    while loop.time() < begins + CHANGES * CHANGE_GAP_S:
        now = loop.time()
        for one in [one for one in starts if one[0] <= now]:
            starts.remove(one)
            _, daemon, name, ends, late_s = one
            if name != "none":
                FaultyDaemon(daemon, name, ends, late_s)
        if now >= next_put:
            next_put += CHANGE_GAP_S
            place.put_document()
            puts.append((now, place.version))
        for one in calm:
            missing = [
                at for at, version in puts if version > one.store_view.version
            ]
            if missing and now - missing[0] > worst.lag_s:
                worst = Lag(now - missing[0], one.settings.daemon, chosen)
        await asyncio.sleep(STEP_S)
    return worst
