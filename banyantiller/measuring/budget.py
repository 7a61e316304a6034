"""The fleet's budget for probes, stored in the object API.

The task here reads and acquires permits for services that want to send probes;
`banyantiller.measuring.permits` decides. Without the object API no permits are
acquired, so no probes are sent. See docs/design/measuring-budget.md.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import structlog

from banyantiller.bundle import options
from banyantiller.measuring import objects, permits
from banyantiller.store import interface, nonces

log = structlog.get_logger("banyantiller.measuring")

OBJECT_KIND = "probebudgets"
FETCH_PAUSE_S = 0.25

Charger = Callable[[float], bool]


class Budget:
    """One daemon's view of the probe budgets of all services.

    Attributes:
        ledgers: Permits observed and held, by service.
        permits_wanted: Set when a probe was denied for lack of a permit.
    """

    def __init__(
        self,
        store: interface.ObjectStore,
        deployment: str,
        wall: Callable[[], float],
        rng: random.Random,
        nonce: nonces.NonceSource = nonces.random_64_bits,
    ) -> None:
        self.store = store
        self.deployment = deployment
        self.wall = wall
        self.random = rng
        self.nonce = nonce
        self.ledgers: dict[str, permits.Ledger] = {}
        self.permits_wanted = asyncio.Event()

    @classmethod
    def from_settings(
        cls,
        store: interface.ObjectStore,
        deployment: str,
        daemon: str,
        wall: Callable[[], float],
        nonce: nonces.NonceSource = nonces.random_64_bits,
    ) -> "Budget":
        """Builds the budgets of one daemon.

        Args:
            store: The object API.
            deployment: Name of the fleet.
            daemon: Name of this daemon; seeds its random pauses.
            wall: Returns wall-clock time in seconds.
            nonce: Returns a text that is unique over all daemons and calls.
        """
        return cls(store, deployment, wall, random.Random(daemon), nonce)

    def configure(self, services: Iterable[options.Service]) -> None:
        """Applies the budgets of the bundle in force."""
        before = self.ledgers
        self.ledgers = {}
        for service in services:
            rate = service.measuring.probes_per_second
            ledger = before.get(service.name)
            if ledger is None:
                ledger = permits.Ledger(rate, self.random)
            else:
                ledger.configure(rate)
            self.ledgers[service.name] = ledger

    def charger(self, service: str) -> Charger:
        """Returns the function that charges a service's probes.

        The function takes the loop time and returns whether one probe may be
        sent now. After a denial, permits are acquired within seconds, so a
        prober that still wants to probe calls it again about once a second.
        """

        def charge(now: float) -> bool:
            ledger = self.ledgers.get(service)
            if ledger is None:
                return False
            if ledger.charge(now, self.wall()):
                return True
            self.permits_wanted.set()
            return False

        return charge

    async def run(self) -> None:
        """Acquires permits for services that want probes, one after another."""
        while True:
            await self.permits_wanted.wait()
            await asyncio.sleep(FETCH_PAUSE_S * self.random.uniform(0.5, 1.5))
            now = asyncio.get_running_loop().time()
            wanting = [
                name
                for name, ledger in self.ledgers.items()
                if ledger.wants_permits(now)
            ]
            if not wanting:
                self.permits_wanted.clear()
                continue
            due = [n for n in wanting if self.ledgers[n].next_read_at <= now]
            if due:
                name = min(due, key=lambda n: self.ledgers[n].next_read_at)
                await self.fetch_permits(name)

    async def fetch_permits(self, service: str) -> None:
        """Reads a service's permits and acquires free ones, if any."""
        ledger = self.ledgers[service]
        loop = asyncio.get_running_loop()
        name = f"{self.deployment}-{service}"
        got = await self.store.get(OBJECT_KIND, name)
        if isinstance(got, interface.Missing):
            reset = ledger.plan_reset(self.nonce())
            await self.store.create(OBJECT_KIND, name, reset.value)
            ledger.record_failure(loop.time())
            return
        if isinstance(got, interface.Unavailable):
            ledger.record_failure(loop.time())
            return
        ledger.observe(got.item.value, loop.time())
        sent_at = loop.time()
        wall = self.wall()
        write = ledger.plan_write(sent_at, self.nonce())
        if write is None:
            return
        written = await self.store.update(got.item, write.value)
        is_taken = isinstance(written, interface.Found)
        if isinstance(write, objects.YieldRequest):
            return
        if is_taken and isinstance(write, objects.TakeWrite):
            ledger.record_take(write, sent_at, wall)
        else:
            ledger.record_failure(loop.time())
