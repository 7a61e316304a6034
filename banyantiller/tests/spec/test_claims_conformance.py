"""Traces of the real claims under faults, checked against `spec.claims`."""

import asyncio
import contextvars
import random

from banyantiller.claims import attempts, records, types
from banyantiller.errors import Ran
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
}
LABELS = {
    records.State.CLAIMED: "claim",
    records.State.RELEASED: "released",
    records.State.DONE: "ended",
    records.State.UNKNOWN: "ended",
}
FAULTS = ("", "", "lost", "late", "unavailable", "stale")
SEEDS = 40
WORK_S = 0.7

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
        if kind == records.KIND:
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

    async def serve_observed(self, daemon, refused):
        """Does what a proxy does, and notes what the caller is told."""
        nonces = []
        NONCES.set(nonces)
        deadline = asyncio.get_running_loop().time() + 20
        outcome = await daemon.claim(REQUEST, deadline)
        if not nonces:
            return
        (nonce,) = nonces
        if not isinstance(outcome, types.Granted):
            not_run = (
                isinstance(outcome, types.Denied)
                and outcome.failure.answer.ran is Ran.NO
            )
            self.note("tell_not_run" if not_run else "tell_repeated", nonce)
            return
        self.note("grant", nonce)
        await asyncio.sleep(WORK_S)
        if refused:
            self.note("tell_not_run", nonce)
            await daemon.release(REQUEST, nonce)
            return
        self.note("run", nonce)
        await daemon.finish(REQUEST, nonce, faulty.ANSWER)


def random_steps(rng):
    return tuple(
        faulty.Step(
            rng.choice((0, 0.1, 0.5)),
            rng.choice((0, 0.3)),
            rng.choice(FAULTS),
        )
        for _ in range(8)
    )


async def record(seed):
    """Lets three tries race over two daemons; returns the trace."""
    rng = random.Random(seed)
    fleet = ObservedFleet()
    daemons = [fleet.daemon(name, steps=random_steps(rng)) for name in "ab"]
    settling = [asyncio.create_task(daemon.run()) for daemon in daemons]

    async def serve():
        await asyncio.sleep(rng.choice((0, 0.2, 1, 8)))
        daemon = rng.choice(daemons)
        await fleet.serve_observed(daemon, rng.random() < 0.5)

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
