"""Several daemons' membership and replicas in one process.

Each daemon reaches one object table through a store with faults of its own.
Every version that a daemon puts in force is recorded, across restarts too.
"""

import asyncio
import dataclasses

from banyantiller.bundle import canonical
from banyantiller.bundle.manifest import AcceptedBundle
from banyantiller.config import defaults
from banyantiller.kernel import events
from banyantiller.replica import spread as spreading
from banyantiller.store import memory
from banyantiller.store import table as tables
from banyantiller.tests.bundle import samples
from banyantiller.tests.membership import support


def text(number: int) -> str:
    """A bundle whose second service differs with the number."""
    return samples.BUNDLE.replace("9003", str(9100 + number))


def settings(index: int, **others: object) -> defaults.Settings:
    base = support.settings(index)
    return base._replace(
        deployment=samples.DEPLOYMENT, trusted_keys=samples.TRUSTED, **others
    )


@dataclasses.dataclass
class Daemon:
    """One daemon.

    Attributes:
        history: Versions put in force, over all runs of this name.
        refused: Refusals that were reported.
    """

    index: int
    table: tables.ObjectTable
    chosen: defaults.Settings
    history: list[int] = dataclasses.field(default_factory=list)
    refused: list[events.BundleRefused] = dataclasses.field(
        default_factory=list
    )
    states: list[bool] = dataclasses.field(default_factory=list)
    in_force_at: dict[int, float] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.store = memory.MemoryStore(self.table)

    async def start(self) -> None:
        self.node = support.node(self.chosen, seed=self.index)
        kernel = self.node.kernel
        self.spread = spreading.BundleSpread.from_settings(
            self.chosen,
            self.store,
            self.node.peers,
            kernel,
            support.wall,
            self.index,
        )
        kernel.subscribe(events.BundleRefused, self.refused.append)
        kernel.subscribe(
            events.StoreState, lambda e: self.states.append(e.reachable)
        )
        self.spread.subscribe(self._note)
        await self.node.start()
        kernel.start("spread", self.spread.run)

    async def kill(self) -> None:
        self.spread.status.item = None
        await self.node.kill()

    async def restart(self) -> None:
        await self.kill()
        await self.start()

    async def close(self) -> None:
        await self.node.close()

    @property
    def version(self) -> int:
        return self.spread.replica.version

    def _note(self, held: spreading.Held) -> None:
        self.history.append(held.version)
        now = asyncio.get_running_loop().time()
        self.in_force_at.setdefault(held.version, now)


class Fleet:
    """Daemons that share an object table, and an operators' store."""

    def __init__(self, count: int, **others: object) -> None:
        self.table = tables.ObjectTable()
        self.operators = memory.MemoryStore(self.table)
        self.daemons = [
            Daemon(index, self.table, settings(index, **others))
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
        return await samples.prepare(self.operators, text(self.version + 1))

    def set_down(self, down: bool) -> None:
        for daemon in self.daemons:
            daemon.store.faults.down = down

    async def until(self, version: int, within_s: float) -> float:
        """Waits until a version is in force everywhere.

        Returns:
            Seconds that it took, or infinity after `within_s`.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() - start <= within_s:
            if all(daemon.version >= version for daemon in self.daemons):
                return loop.time() - start
            await asyncio.sleep(0.01)
        return float("inf")

    def reverted(self) -> list[tuple[str, list[int]]]:
        """Daemons that ever put a lower version in force, with history."""
        return [
            (daemon.chosen.daemon, daemon.history)
            for daemon in self.daemons
            if daemon.history != sorted(daemon.history)
        ]

    def versions(self) -> list[int]:
        return [daemon.version for daemon in self.daemons]

    def accepted(self) -> AcceptedBundle:
        item = self.table.get("bundleheads", samples.DEPLOYMENT).item
        return canonical.decode_accepted(item.value["accepted"].encode())
