"""Measures claims of idempotency keys: writes, latency and conflicts.

    python -m bench.claims --json

All daemons run on a paused clock against one object API in memory, each call
of which takes a fixed time. Arrivals are open loop. One object a key, which
the product uses, is compared with shared pages.
"""

import asyncio
import json as json_lib
import random
from typing import NamedTuple

import async_solipsism
import defopt

from banyantiller.claims import arbiter, sweeping, types
from banyantiller.store import memory, table
from bench import claims_pages

STORE_S = 0.003
RUN_S = 0.05
DAEMONS = (1, 2, 4, 8, 14)
PAGES = (16, 256, 4096)
RETENTION_S = 600.0
DAY_S = 86400
START = 1e9
REPEAT_SHARE = 0.05
WRITES = ("create", "update", "delete")
READS = ("get", "list")
ANSWER = types.RecordedResponse(
    201, (("content-type", "application/json"),), b"x" * 200
)


class Row(NamedTuple):
    """Figures of one way at one number of daemons.

    Attributes:
        way: "object" or "pages-N".
        daemons: Daemons that claim.
        keys: Keys used.
        writes_per_key: Creates, updates and deletes over keys.
        reads_per_key: Gets and lists over keys.
        conflicts_per_key: Conditional writes that lost, over keys.
        p50_ms: Median time to the grant.
        p99_ms: Time to the grant that 99 in 100 stay below.
        bytes_per_key: Bytes at rest in the object API for a finished key.
        keys_per_second: Keys that the platform's writes carry.
    """

    way: str
    daemons: int
    keys: int
    writes_per_key: float
    reads_per_key: float
    conflicts_per_key: float
    p50_ms: float
    p99_ms: float
    bytes_per_key: int
    keys_per_second: float


class World:
    """Daemons' stores over one table, and the times of grants.

    Attributes:
        skipped_s: Wall-clock time that passed besides the loop's.
    """

    def __init__(self, daemons: int) -> None:
        self.table = table.ObjectTable()
        self.stores = [memory.MemoryStore(self.table) for _ in range(daemons)]
        for store in self.stores:
            store.faults.slow_s = STORE_S
        self.random = random.Random(daemons)
        self.grants: list[float] = []
        self.runs: dict[str, int] = {}
        self.skipped_s = 0.0

    def wall(self) -> float:
        """Returns wall-clock seconds."""
        return START + self.skipped_s + asyncio.get_running_loop().time()

    def count(self, verbs: tuple[str, ...]) -> int:
        """Returns the calls of all daemons by these verbs."""
        return sum(s.calls[verb] for s in self.stores for verb in verbs)

    def note_run(self, key: str, begun: float) -> None:
        """Notes a grant and the run that follows it."""
        self.grants.append(asyncio.get_running_loop().time() - begun)
        self.runs[key] = self.runs.get(key, 0) + 1

    def size(self) -> int:
        """Returns the bytes at rest."""
        return sum(len(record.data) for record in self.table.records.values())

    async def arrive(self, rate: float, duration_s: float, call) -> None:
        """Sends keyed calls to random daemons; some send a key again."""
        keys = 0
        async with asyncio.TaskGroup() as group:
            end = asyncio.get_running_loop().time() + duration_s
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(self.random.expovariate(rate))
                repeats = keys and self.random.random() < REPEAT_SHARE
                keys += not repeats
                number = keys - self.random.randrange(5) if repeats else keys
                daemon = self.random.randrange(len(self.stores))
                group.create_task(call(daemon, f"key-{number}"))

    def row(self, way: str, conflicts: int, size: int, most: float) -> Row:
        """Returns the figures."""
        keys = len(self.runs)
        times = sorted(self.grants)
        writes = self.count(WRITES) / keys
        return Row(
            way,
            len(self.stores),
            keys,
            round(writes, 3),
            round(self.count(READS) / keys, 3),
            round(conflicts / keys, 3),
            round(times[len(times) // 2] * 1000, 2),
            round(times[int(len(times) * 0.99)] * 1000, 2),
            round(size / keys),
            round(most / writes, 1),
        )


async def measure_objects(
    daemons: int, rate: float, duration_s: float, most: float
) -> tuple[Row, World]:
    """Measures one object a key, from the claim to its deletion."""
    world = World(daemons)
    claims = [
        arbiter.StoreClaims.from_settings(store, "bench", f"d{n}", world.wall)
        for n, store in enumerate(world.stores)
    ]
    sweeper = sweeping.Sweeper(
        world.stores[0], "bench", world.wall, random.Random(1)
    )
    await sweeper.sweep()

    async def call(daemon: int, key: str) -> None:
        begun = asyncio.get_running_loop().time()
        request = types.ClaimRequest("desk", key, "f" * 64, RETENTION_S)
        outcome = await claims[daemon].claim(request, begun + 5)
        if isinstance(outcome, types.Granted):
            world.note_run(key, begun)
            await asyncio.sleep(world.random.expovariate(1 / RUN_S))
            await claims[daemon].finish(request, outcome.nonce, ANSWER)

    await world.arrive(rate, duration_s, call)
    size = world.size()
    created = world.count(("create",)) - 1
    world.skipped_s = RETENTION_S + sweeping.EXPIRY_MARGIN_S + duration_s + 120
    while sweeper.deleted < len(world.runs):
        await sweeper.sweep()
    conflicts = created - len(world.runs)
    return world.row("object", conflicts, size, most), world


async def measure_pages(
    daemons: int, pages: int, rate: float, duration_s: float, most: float
) -> tuple[Row, World]:
    """Measures shared pages; dropping expired keys is free there."""
    world = World(daemons)
    claims = [claims_pages.PagedClaims(store, pages) for store in world.stores]

    async def call(daemon: int, key: str) -> None:
        begun = asyncio.get_running_loop().time()
        if await claims[daemon].claim(key):
            world.note_run(key, begun)
            await asyncio.sleep(world.random.expovariate(1 / RUN_S))
            await claims[daemon].finish(key)

    await world.arrive(rate, duration_s, call)
    conflicts = sum(paged.conflicts() for paged in claims)
    for paged in claims:
        paged.stop()
    row = world.row(f"pages-{pages}", conflicts, world.size(), most)
    return row, world


def run(coroutine) -> tuple[Row, World]:
    """Runs a measurement on a paused clock."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)


def main(
    *,
    json: bool = False,
    rate: float = 100.0,
    duration_s: float = 20.0,
    writes: float = 400.0,
    calls_today: float = 800.0,
    calls_target: float = 270_000.0,
) -> None:
    """Measures claims for several numbers of daemons.

    Args:
        json: End in one JSON line.
        rate: Keyed calls a second over all daemons.
        duration_s: Length of each measurement on the paused clock.
        writes: Writes a second that the platform spares for claims.
        calls_today: Assumed calls a second of the order desk today, 40 slots
            at 50 ms.
        calls_target: Calls a second at the target size.
    """
    rows: list[Row] = []
    run_twice = 0
    for daemons in DAEMONS:
        ways = [measure_objects(daemons, rate, duration_s, writes)]
        ways += [
            measure_pages(daemons, pages, rate, duration_s, writes)
            for pages in PAGES
        ]
        for way in ways:
            row, world = run(way)
            rows.append(row)
            run_twice += sum(runs > 1 for runs in world.runs.values())
            print(*(f"{n}={v}" for n, v in row._asdict().items()))
    last = next(r for r in reversed(rows) if r.way == "object")
    paged = [row for row in rows if row.way != "object"]
    per_day = last.keys_per_second * DAY_S
    figures = {
        "rows": [row._asdict() for row in rows],
        "run_twice": run_twice,
        "keys_per_second": last.keys_per_second,
        "share_today": round(last.keys_per_second / calls_today, 4),
        "share_target": round(last.keys_per_second / calls_target, 6),
        "object_gb_a_day": round(per_day * last.bytes_per_key / 1e9, 2),
        "pages_of_1_mb_a_day": round(per_day * paged[-1].bytes_per_key / 1e6),
    }
    print(json_lib.dumps(figures) if json else _summary(figures))


def _summary(figures: dict[str, object]) -> str:
    return " ".join(f"{n}={v}" for n, v in figures.items() if n != "rows")


if __name__ == "__main__":
    defopt.run(main)
