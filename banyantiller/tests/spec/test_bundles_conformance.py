"""Traces of real rolls and replicas, checked against the specifications."""

import asyncio
import random

from banyantiller.bundle import acceptance as rolling
from banyantiller.bundle import outcomes, reading
from banyantiller.replica import state as replica_state
from banyantiller.store import table
from banyantiller.tests import base
from banyantiller.tests.bundle import samples
from banyantiller.tests.claims import faulty
from banyantiller.tests.faults import seeds
from banyantiller.tests.replica import support
from spec import acceptance, conformance, spread

FAULTS = ("", "", "", "lost", "late", "unavailable", "stale")
ROLL_SEEDS = 15
SPREAD_SEEDS = 6
VERSIONS = 4
ROLL_LABELS = {"write", "tell_accepted", "tell_lost"}
SPREAD_LABELS = {"accept", "apply", "restart"}


class HeadTable(table.ObjectTable):
    """Calls `note` with the digest of each head that is written."""

    def __init__(self, note):
        super().__init__()
        self.note = note

    def _write(self, kind, name, value, labels, created):
        written = super()._write(kind, name, value, labels, created)
        if kind == reading.HEADS:
            head = reading.decode_head(self.get(kind, name).item)
            self.note(head.digest)
        return written


def random_steps(rng, count=12):
    return tuple(
        faulty.Step(rng.choice((0, 0.1, 0.4)), 0, rng.choice(FAULTS))
        for _ in range(count)
    )


async def record_rolls(seed):
    """Lets operators race with conflicting bundles; returns the trace."""
    rng = random.Random(seed)
    trace = []
    owners = {}
    objects = HeadTable(lambda digest: trace.append(f"write({owners[digest]})"))
    plain = faulty.FaultyStore(objects)

    async def operate(index):
        await asyncio.sleep(rng.choice((0, 0, 1, 8)))
        text = samples.BUNDLE.replace("First", f"Bundle {index}")
        digest = await samples.prepare(plain, text)
        owners[digest] = index
        store = faulty.FaultyStore(objects, steps=random_steps(rng))
        for _ in range(2):
            outcome = await samples.roll(store, digest)
            if isinstance(outcome, outcomes.Rolled):
                trace.append(f"tell_accepted({index})")
                return
            if isinstance(outcome, outcomes.Lost):
                trace.append(f"tell_lost({index})")
                return

    await asyncio.gather(*(operate(i) for i in range(acceptance.OPERATORS)))
    await asyncio.sleep(10)
    return trace


async def record_spread(seed):
    """Rolls bundles while daemons fail and restart; returns the trace."""
    rng = random.Random(seed)
    trace = []
    fleet = support.Fleet(spread.DAEMONS)
    objects = HeadTable(lambda _: trace.append("accept"))
    fleet.table = objects
    fleet.operators.table = objects
    for daemon in fleet.daemons:
        daemon.store.table = objects
        watch_applied(daemon, trace)
    await fleet.start(settle_s=1.0)
    for _ in range(VERSIONS):
        await fail_somehow(fleet, rng, trace)
        await fleet.roll()
        await asyncio.sleep(rng.choice((0, 0.3, 2)))
    for daemon in fleet.daemons:
        daemon.store.faults.down = False
        daemon.store.serve_stale(False)
    await asyncio.sleep(20)
    versions = fleet.versions()
    await fleet.close()
    return trace, versions


def watch_applied(daemon, trace):
    record_in_force = daemon._record_in_force

    def note(held):
        record_in_force(held)
        trace.append(f"apply({daemon.index},{held.version})")

    daemon._record_in_force = note


async def fail_somehow(fleet, rng, trace):
    daemon = rng.choice(fleet.daemons)
    match rng.randrange(4):
        case 0:
            daemon.store.faults.down = not daemon.store.faults.down
        case 1:
            daemon.store.serve_stale(True)
        case 2:
            daemon.store.faults.silent_watches = True
        case _:
            if daemon.version:
                trace.append(f"restart({daemon.index})")
            await daemon.restart()


def shown(labels):
    return lambda label: conformance.kind_of(label) in labels


class BundlesConformanceTest(base.TestCase):
    def test_racing_rolls_are_a_run_of_the_specification(self):
        kinds = set()
        follower = conformance.Follower(
            acceptance.ACCEPTANCE, shown(ROLL_LABELS)
        )
        for seed in seeds.seeds(ROLL_SEEDS):
            trace = self.run_paused(record_rolls(seed))
            kinds |= {conformance.kind_of(label) for label in trace}
            found = follower.follow(trace)
            self.assertIsNone(found, f"seed {seed}: {trace}: {found}")
        self.assertEqual(ROLL_LABELS, kinds)

    def test_spread_is_a_run_of_the_specification(self):
        self.patch(spread, "VERSIONS", VERSIONS)
        follower = conformance.Follower(spread.SPREAD, shown(SPREAD_LABELS))
        for seed in seeds.seeds(SPREAD_SEEDS):
            trace, versions = self.run_paused(record_spread(seed))
            found = follower.follow(trace)
            self.assertIsNone(found, f"seed {seed}: {trace}: {found}")
            self.assertEqual([VERSIONS] * spread.DAEMONS, versions, trace)

    def test_code_that_takes_an_unchanged_head_for_lost_is_found(self):
        async def read_back(request):
            return outcomes.Lost("another", 0, "")

        self.patch(rolling, "_read_back", read_back)
        follower = conformance.Follower(
            acceptance.ACCEPTANCE, shown(ROLL_LABELS)
        )
        traces = [self.run_paused(record_rolls(seed)) for seed in range(10)]
        self.assertNotEqual([], [t for t in traces if follower.follow(t)])

    def test_code_that_goes_back_is_found(self):
        self.patch(replica_state.Replica, "version", 0)
        self.patch(spread, "VERSIONS", VERSIONS)
        follower = conformance.Follower(spread.SPREAD, shown(SPREAD_LABELS))
        found = []
        for seed in range(SPREAD_SEEDS):
            trace, _ = self.run_paused(record_spread(seed))
            found.append(follower.follow(trace))
        self.assertNotEqual([None], sorted({str(f) for f in found}))

    def test_traces_that_no_run_explains_are_found(self):
        wrong = (
            (acceptance.ACCEPTANCE, ROLL_LABELS, ["tell_accepted(0)"]),
            (acceptance.ACCEPTANCE, ROLL_LABELS, ["write(0)", "tell_lost(0)"]),
            (spread.SPREAD, SPREAD_LABELS, ["accept", "apply(0,2)"]),
            (
                spread.SPREAD,
                SPREAD_LABELS,
                ["accept", "accept", "apply(0,2)", "apply(0,1)"],
            ),
        )
        for specification, labels, trace in wrong:
            follower = conformance.Follower(specification, shown(labels))
            found = follower.follow(trace)
            self.assertEqual(len(trace) - 1, found.position)
