"""Traces of the real claims under faults, checked against `spec.claims`."""

import asyncio
import collections
import contextvars
import random
from typing import NamedTuple

from banyantiller.claims import attempts, records, types
from banyantiller.errors import ErrorKind, Ran
from banyantiller.store import table
from banyantiller.tests import base
from banyantiller.tests.claims import faulty
from banyantiller.tests.faults import seeds
from spec import claims as spec_claims
from spec import conformance

REQUEST = types.ClaimRequest("orders", "k1", "f1", 86400.0)
VISIBLE = {
    "claim",
    "released",
    "ended",
    "grant",
    "run",
    "tell_not_run",
    "tell_repeated",
    "tell_unknown",
    "fenced",
}
LABELS = {
    records.State.CLAIMED: "claim",
    records.State.RELEASED: "released",
    records.State.DONE: "ended",
    records.State.UNKNOWN: "ended",
    records.State.FENCED: "fenced",
}
FAULTS = ("", "", "lost", "late", "unavailable", "stale")
SEEDS = 40


class Pace(NamedTuple):
    """When callers start, how long they wait, and how long a run takes."""

    starts_s: tuple[float, ...] = (0, 0.2, 1, 8)
    patience_s: float = 20.0
    work_s: float = 0.7


# Claims outlast what their callers wait for, so that other tries fence them.
OVERDUE = Pace((0, 6), 3.0, 10.0)
USUAL = Pace()

NONCES = contextvars.ContextVar("nonces")


def visible(label):
    return conformance.kind_of(label) in VISIBLE


class ObservedTable(table.ObjectTable):
    """Notes each write of a claim as a step of the specification."""

    def __init__(self, note):
        super().__init__()
        self.note = note

    def _write(self, kind, name, value, labels, created):
        written = super()._write(kind, name, value, labels, created)
        if kind == records.OBJECT_KIND:
            self.note(LABELS[value["state"]], value["nonce"])
        return written


class ObservedFleet(faulty.Fleet):
    """Daemons whose claims leave a trace.

    Attributes:
        trace: Labels of the observed steps.
    """

    def __init__(self):
        super().__init__()
        self.trace = []
        self.table = ObservedTable(self.note)

    def note(self, label, nonce):
        self.trace.append(f"{label}({nonce})")

    def daemon(self, name, gate=faulty.no_gate, steps=()):
        daemon = super().daemon(name, gate, steps)
        daemon.nonce = self.nonce
        return daemon

    def nonce(self):
        nonce = str(next(self.count))
        NONCES.get().append(nonce)
        return nonce

    async def serve_observed(self, daemon, refused, pace):
        """Does what a proxy does, and notes what the caller is told."""
        nonces = []
        NONCES.set(nonces)
        deadline = asyncio.get_running_loop().time() + pace.patience_s
        outcome = await daemon.claim(REQUEST, deadline)
        if not nonces:
            return
        (nonce,) = nonces
        if not isinstance(outcome, types.Granted):
            self.note(told(outcome), nonce)
            return
        self.note("grant", nonce)
        await asyncio.sleep(pace.work_s)
        if refused:
            self.note("tell_not_run", nonce)
            await daemon.release(REQUEST, nonce)
            return
        self.note("run", nonce)
        await daemon.finish(REQUEST, nonce, faulty.RESPONSE)


def told(outcome):
    """Returns the step by which a caller without a grant is told."""
    if not isinstance(outcome, types.Denied):
        return "tell_repeated"
    if outcome.failure.response.ran is Ran.NO:
        return "tell_not_run"
    if outcome.failure.error_kind is ErrorKind.KEY_OUTCOME_UNKNOWN:
        return "tell_unknown"
    return "tell_repeated"


def random_steps(rng):
    return tuple(
        faulty.Step(
            rng.choice((0, 0.1, 0.5)),
            rng.choice((0, 0.3)),
            rng.choice(FAULTS),
        )
        for _ in range(8)
    )


async def record(seed, pace=USUAL):
    """Lets three tries race over two daemons; returns the trace."""
    rng = random.Random(seed)
    fleet = ObservedFleet()
    daemons = [fleet.daemon(name, steps=random_steps(rng)) for name in "ab"]
    settling = [asyncio.create_task(daemon.run()) for daemon in daemons]

    async def serve():
        await asyncio.sleep(rng.choice(pace.starts_s))
        daemon = rng.choice(daemons)
        await fleet.serve_observed(daemon, rng.random() < 0.5, pace)

    await asyncio.gather(*(serve() for _ in range(spec_claims.TRIES)))
    await asyncio.sleep(30)
    for task in settling:
        task.cancel()
    return fleet.trace


class ClaimsConformanceTest(base.TestCase):
    def setUp(self):
        super().setUp()
        # The bounds keep the search finite; a trace is finite without them.
        self.patch(spec_claims, "WRITES", 50)
        self.patch(spec_claims, "LATE_WRITES", 2)

    def test_every_trace_is_a_run_of_the_specification(self):
        lengths = []
        follower = conformance.Follower(spec_claims.CLAIMS, visible)
        for seed in seeds.seeds(SEEDS):
            trace = self.run_paused(record(seed))
            lengths.append(len(trace))
            found = follower.follow(trace)
            self.assertIsNone(found, f"seed {seed}: {trace}: {found}")
        self.assertGreater(max(lengths), 8)

    def test_every_trace_with_overdue_claims_is_a_run_too(self):
        steps = collections.Counter()
        follower = conformance.Follower(spec_claims.CLAIMS, visible)
        for seed in seeds.seeds(SEEDS):
            trace = self.run_paused(record(seed, OVERDUE))
            steps.update(map(conformance.kind_of, trace))
            found = follower.follow(trace)
            self.assertIsNone(found, f"seed {seed}: {trace}: {found}")
        self.assertGreater(steps["fenced"], 5)
        self.assertGreater(steps["tell_unknown"], 5)

    def test_code_that_tells_without_a_fence_is_found(self):
        self.patch(records, "needs_fence", lambda *_: False)
        follower = conformance.Follower(spec_claims.CLAIMS, visible)
        traces = [self.run_paused(record(seed, OVERDUE)) for seed in range(20)]
        self.assertNotEqual([], [t for t in traces if follower.follow(t)])

    def test_code_that_takes_any_claim_over_is_found(self):
        self.patch(
            attempts.Arbitration,
            "_is_unsent",
            lambda arbitration, record: record.state == records.State.CLAIMED,
        )
        follower = conformance.Follower(spec_claims.CLAIMS, visible)
        traces = [self.run_paused(record(seed)) for seed in range(20)]
        self.assertNotEqual([], [t for t in traces if follower.follow(t)])

    def test_traces_that_no_run_explains_are_found(self):
        wrong = (
            ["claim(0)", "grant(0)", "run(0)", "released(0)"],
            ["claim(0)", "grant(0)", "grant(1)"],
            ["claim(0)", "grant(0)", "run(0)", "tell_not_run(0)"],
            ["grant(0)"],
        )
        follower = conformance.Follower(spec_claims.CLAIMS, visible)
        for trace in wrong:
            found = follower.follow(trace)
            self.assertEqual(len(trace) - 1, found.position)
