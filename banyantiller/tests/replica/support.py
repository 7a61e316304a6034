"""Runs the membership and replicas of several daemons in one process.

All daemons use one object table, each through a store with its own faults.
Every version that a daemon puts in force is recorded, also across restarts.
"""

import asyncio
import dataclasses

from banyantiller.bundle import canonical
from banyantiller.bundle.manifest import AcceptedBundle
from banyantiller.config import defaults
from banyantiller.kernel import events
from banyantiller.replica import replicator
from banyantiller.store import memory
from banyantiller.store import table as tables
from banyantiller.tests.bundle import samples
from banyantiller.tests.membership import support


def bundle_text(number: int) -> str:
    """Returns a bundle whose second service depends on the number."""
    return samples.BUNDLE.replace("9003", str(9100 + number))


def settings(index: int, **changes: object) -> defaults.Settings:
    base = support.settings(index)
    return base._replace(
        deployment=samples.DEPLOYMENT, trusted_keys=samples.TRUSTED, **changes
    )


@dataclasses.dataclass
class Daemon:
    """One daemon with its membership and replicator.

    Attributes:
        history: Versions put in force by all incarnations of the daemon.
        refusals: Refusals that were reported.
        store_states: Reported changes of the object API's reachability.
        in_force_at: Loop time at which each version first came in force.
    """

    index: int
    table: tables.ObjectTable
    settings: defaults.Settings
    history: list[int] = dataclasses.field(default_factory=list)
    refusals: list[events.BundleRefused] = dataclasses.field(
        default_factory=list
    )
    store_states: list[bool] = dataclasses.field(default_factory=list)
    in_force_at: dict[int, float] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.store = memory.MemoryStore(self.table)

    async def start(self) -> None:
        self.node = support.node(self.settings, seed=self.index)
        kernel = self.node.kernel
        self.replicator = replicator.BundleReplicator.from_settings(
            self.settings,
            self.store,
            self.node.peers,
            kernel,
            support.wall,
            self.index,
        )
        kernel.subscribe(events.BundleRefused, self.refusals.append)
        kernel.subscribe(
            events.StoreState, lambda e: self.store_states.append(e.reachable)
        )
        self.replicator.subscribe(self._record_in_force)
        await self.node.start()
        kernel.start("spread", self.replicator.run)

    async def kill(self) -> None:
        self.replicator.status.stored_object = None
        await self.node.kill()

    async def restart(self) -> None:
        await self.kill()
        await self.start()

    async def close(self) -> None:
        await self.node.close()

    @property
    def version(self) -> int:
        return self.replicator.replica.version

    def _record_in_force(self, in_force: replicator.InForceBundle) -> None:
        self.history.append(in_force.version)
        now = asyncio.get_running_loop().time()
        self.in_force_at.setdefault(in_force.version, now)


class Fleet:
    """Daemons that share an object table with a store of the operators."""

    def __init__(self, count: int, **changes: object) -> None:
        self.table = tables.ObjectTable()
        self.operators = memory.MemoryStore(self.table)
        self.daemons = [
            Daemon(index, self.table, settings(index, **changes))
            for index in range(count)
        ]
        self.version = 0

    async def start(self, settle_s: float = 5.0) -> None:
        for daemon in self.daemons:
            await daemon.start()
        await asyncio.sleep(settle_s)

    async def close(self) -> None:
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))

    async def roll(self) -> int:
        """Proposes, signs and rolls the next version."""
        digest = await self.propose()
        await samples.roll(self.operators, digest)
        self.version += 1
        return self.version

    async def propose(self) -> str:
        return await samples.prepare(
            self.operators, bundle_text(self.version + 1)
        )

    def set_store_down(self, down: bool) -> None:
        for daemon in self.daemons:
            daemon.store.faults.down = down

    async def wait_in_force(self, version: int, within_s: float) -> float:
        """Waits until a version is in force everywhere.

        Returns:
            Seconds until then, or infinity if longer than `within_s`.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() - start <= within_s:
            if all(daemon.version >= version for daemon in self.daemons):
                return loop.time() - start
            await asyncio.sleep(0.01)
        return float("inf")

    def downgrades(self) -> list[tuple[str, list[int]]]:
        """Returns name and history of daemons that went to a lower version."""
        return [
            (daemon.settings.daemon, daemon.history)
            for daemon in self.daemons
            if daemon.history != sorted(daemon.history)
        ]

    def versions(self) -> list[int]:
        return [daemon.version for daemon in self.daemons]

    def accepted(self) -> AcceptedBundle:
        item = self.table.get("bundleheads", samples.DEPLOYMENT).item
        return canonical.decode_accepted(item.value["accepted"].encode())
