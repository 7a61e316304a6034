"""Traces of the real probe budgets, checked against `spec.measuring`."""

import asyncio
import itertools
import random

from banyantiller.bundle import options
from banyantiller.measuring import budget, objects, permits
from banyantiller.store import table
from banyantiller.tests import base
from banyantiller.tests.claims import faulty
from banyantiller.tests.faults import seeds
from spec import conformance, measuring

SERVICE = options.Service(
    "desk", (), measuring=options.MeasuringPolicy(probes_per_second=0.2)
)
FAULTS = ("", "", "", "lost", "late", "unavailable", "stale")
VISIBLE = {"take", "probe", "restart"}
SEEDS = 12
LASTS_S = 120
WALL = 1e9


def visible(label):
    return conformance.kind_of(label) in VISIBLE


class PermitTable(table.ObjectTable):
    """Notes who took the permit, by its nonce."""

    def __init__(self, trace):
        super().__init__()
        self.trace = trace
        self.owner = ""

    def _write(self, kind, name, value, labels, created):
        written = super()._write(kind, name, value, labels, created)
        ((nonce, _),) = objects.read_permits(value)
        if nonce != self.owner and not created:
            self.trace.append(f"take({nonce.partition('-')[0]})")
        self.owner = nonce
        return written


class Prober:
    """A daemon that wants a probe all the time, and is restarted at times."""

    def __init__(self, index, trace, objects_table, rng):
        self.index = index
        self.trace = trace
        self.table = objects_table
        self.rng = rng
        self.count = 0
        self.times = []

    def nonce(self):
        self.count += 1
        return f"{self.index}-{self.count}"

    async def live(self):
        while True:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.one_run(self.rng.uniform(5, 60)))
            self.trace.append(f"restart({self.index})")

    async def one_run(self, seconds):
        steps = tuple(
            faulty.Step(
                self.rng.choice((0, 0.2, 1.5)),
                self.rng.choice((0, 0.5)),
                self.rng.choice(FAULTS),
            )
            for _ in range(20)
        )
        loop = asyncio.get_running_loop()
        part = budget.Budget(
            faulty.FaultyStore(self.table, steps=steps),
            "fleet",
            lambda: WALL + loop.time(),
            random.Random(self.rng.random()),
            self.nonce,
        )
        part.configure((SERVICE,))
        charge = part.charger("desk")
        running = asyncio.create_task(part.run())
        try:
            await self.probe(charge, loop.time() + seconds)
        finally:
            running.cancel()

    async def probe(self, charge, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            if charge(loop.time()):
                self.trace.append(f"probe({self.index})")
                self.times.append(loop.time())
            await asyncio.sleep(self.rng.choice((0.1, 0.5, 4)))


async def record(seed):
    rng = random.Random(seed)
    trace = []
    objects_table = PermitTable(trace)
    probers = [
        Prober(index, trace, objects_table, rng)
        for index in range(measuring.DAEMONS)
    ]
    living = [asyncio.create_task(prober.live()) for prober in probers]
    await asyncio.sleep(LASTS_S)
    for task in living:
        task.cancel()
    await asyncio.gather(*living, return_exceptions=True)
    return trace, sorted(time for prober in probers for time in prober.times)


class MeasuringConformanceTest(base.TestCase):
    def test_every_trace_is_a_run_of_the_specification(self):
        probes = 0
        follower = conformance.Follower(measuring.MEASURING, visible)
        for seed in seeds.seeds(SEEDS):
            trace, times = self.run_paused(record(seed))
            probes += len(times)
            found = follower.follow(trace)
            self.assertIsNone(found, f"seed {seed}: {trace}: {found}")
            gaps = [b - a for a, b in itertools.pairwise(times)]
            spacing = 1 / SERVICE.measuring.probes_per_second
            self.assertEqual([], [gap for gap in gaps if gap < spacing], seed)
        self.assertGreater(probes, SEEDS)

    def test_code_that_does_not_wait_for_the_last_holder_is_found(self):
        self.patch(permits.Ledger, "free_at", lambda ledger, index: 0.0)
        follower = conformance.Follower(measuring.MEASURING, visible)
        traces = [self.run_paused(record(seed))[0] for seed in range(4)]
        self.assertNotEqual([], [t for t in traces if follower.follow(t)])

    def test_traces_that_no_run_explains_are_found(self):
        wrong = (
            ["probe(0)"],
            ["take(0)", "probe(0)", "take(1)", "probe(0)"],
            ["take(0)", "restart(0)", "probe(0)"],
        )
        follower = conformance.Follower(measuring.MEASURING, visible)
        for trace in wrong:
            found = follower.follow(trace)
            self.assertEqual(len(trace) - 1, found.position)
