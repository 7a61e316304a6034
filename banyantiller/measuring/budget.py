"""The fleet's budget for probes, kept in the object API.

The task here reads and takes permits for services that want probes; the
decisions are in `banyantiller.measuring.permits`. Without the object API
nothing is taken, so no probes are sent. See docs/design/measuring-budget.md.
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
    """One daemon's part in the budgets of all services.

    Attributes:
        ledgers: Permits known and held, by service.
        wished: Set when a probe was wanted and none was left.
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
        """Constructs the budgets of one daemon.

        Args:
            store: The object API.
            deployment: Name of the fleet.
            daemon: Name of this daemon; seeds its waiting times.
            wall: Returns wall-clock seconds.
            nonce: Returns a text that no other call of it anywhere returns.
        """
        return cls(store, deployment, wall, random.Random(daemon), nonce)

    def configure(self, services: Iterable[options.Service]) -> None:
        """Takes the budgets of the bundle in force."""
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

        It is called with the loop's time, and answers whether one probe may
        be sent at once. A refusal is noted as a wish, and permits are then
        taken within seconds, so a caller that still wants the probe asks
        again about once a second.
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
        """Takes permits for services that want probes, one call at a time."""
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
        """Reads a service's permits and takes some if any are free."""
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
