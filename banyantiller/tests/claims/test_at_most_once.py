"""Counts runs while daemons crash, pause or lose responses at any await."""

import asyncio
import collections
import itertools
from typing import NamedTuple

import hypothesis
from hypothesis import strategies

from banyantiller.claims import types
from banyantiller.errors import Ran
from banyantiller.tests import base
from banyantiller.tests.claims import faulty

DAY_S = 86400.0
REQUEST = types.ClaimRequest("orders", "k1", "f1", 30 * DAY_S)
FOREVER_S = 80000.0
LOST = faulty.Step(fault="lost")
LATE = faulty.Step(fault="late")
STALE = faulty.Step(fault="stale")
# Store schedules that lead to more calls than a create and an update.
SCHEDULES = (
    (),
    (LOST,),
    (LATE,),
    (LOST, STALE),
    (faulty.Step(), LOST),
    (faulty.Step(), LATE),
)


class PausePoint:
    """Stops a daemon at one await point.

    Attributes:
        reached: Whether the daemon reached the point.
        resumed: Set to let a paused daemon continue.
    """

    def __init__(self, at: int) -> None:
        self.at = at
        self.passed = 0
        self.reached = False
        self.resumed = asyncio.Event()

    async def gate(self, point: str) -> None:
        self.passed += 1
        if self.passed == self.at:
            self.reached = True
            await self.resumed.wait()


async def run_stopped(
    at: int,
    steps: tuple[faulty.Step, ...],
    refused: bool,
    resume: bool,
) -> tuple[bool, int]:
    """Runs a daemon up to a point, then its peers, then may resume it.

    The first daemon's timers are frozen while the wall clock advances by
    days. Meanwhile a new daemon of the same name replaces it.

    Returns:
        Whether the point was reached, and the number of runs.
    """
    fleet = faulty.Fleet()
    stop = PausePoint(at)
    first = fleet.daemon("d1", stop.gate, steps)
    loop = asyncio.get_running_loop()
    serving = asyncio.create_task(
        fleet.serve(first, REQUEST, FOREVER_S, refused)
    )
    await asyncio.sleep(1)
    if stop.reached:
        await asyncio.sleep(20)
        fleet.skipped_s += 10 * DAY_S
    for name in ("d2", "d1"):
        await fleet.serve(fleet.daemon(name), REQUEST, loop.time() + 5)
        await asyncio.sleep(50)
    if resume:
        stop.resumed.set()
        await serving
        settling = asyncio.create_task(first.settler.run())
        await asyncio.sleep(20)
        settling.cancel()
        await fleet.serve(first, REQUEST, loop.time() + 5)
    serving.cancel()
    await fleet.serve(fleet.daemon("d4"), REQUEST, loop.time() + 5)
    return stop.reached, fleet.runs["k1"]


class StoppedDaemonTest(base.TestCase):
    def test_crash_and_pause_at_each_await_point(self) -> None:
        seen = collections.Counter()
        for steps, refused, resume in itertools.product(
            SCHEDULES, (False, True), (False, True)
        ):
            for at in itertools.count(1):
                reached, runs = self.run_paused(
                    run_stopped(at, steps, refused, resume)
                )
                note = f"{steps} refused={refused} resume={resume} at={at}"
                self.assertTrue(runs <= 1, note)
                seen[reached, runs] += 1
                if not reached:
                    self.assertEqual(1, runs, note)
                    break
        # Both kinds of stopped scenarios occur: the key ran or never ran.
        self.assertTrue(seen[True, 1] > 50, seen)
        self.assertTrue(seen[True, 0] > 10, seen)

    def test_cancelled_caller_at_each_await_point(self) -> None:
        for steps in SCHEDULES:
            for at in range(1, 12):
                runs = self.run_paused(self.cancel_and_retry(at, steps))
                self.assertEqual(1, runs, f"{steps} at={at}")

    async def cancel_and_retry(
        self, at: int, steps: tuple[faulty.Step, ...]
    ) -> int:
        """Cancels a claim; its daemon settles it, so that a peer may run."""
        fleet = faulty.Fleet()
        stop = PausePoint(at)
        first = fleet.daemon("d1", stop.gate, steps)
        claiming = asyncio.create_task(first.claim(REQUEST, FOREVER_S))
        await asyncio.sleep(1)
        claiming.cancel()
        stop.resumed.set()
        await asyncio.gather(claiming, return_exceptions=True)
        if not claiming.cancelled():
            await first.release(REQUEST, claiming.result().nonce)
        settling = asyncio.create_task(first.settler.run())
        await asyncio.sleep(30)
        settling.cancel()
        deadline = asyncio.get_running_loop().time() + 5
        await fleet.serve(fleet.daemon("d2"), REQUEST, deadline)
        return fleet.runs["k1"]

    def test_claim_races_with_the_release_of_its_orphan(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            # Create, read of the legacy record, then read and update of the
            # release.
            slow_release = (
                faulty.Step(after_s=1.0),
                faulty.Step(),
                faulty.Step(),
                faulty.Step(before_s=2.0),
            )
            first = fleet.daemon("d1", steps=slow_release)
            settling = asyncio.create_task(first.settler.run())
            denied = await fleet.serve(first, REQUEST, 0.5)
            self.assertTrue(reports_ran(denied, Ran.NO))
            await asyncio.sleep(1)
            self.assertEqual(1, first.store.calls["update"])
            granted = await first.claim(REQUEST, 5)
            self.assertIsInstance(granted, types.Granted)
            await asyncio.sleep(4)
            await fleet.serve(fleet.daemon("d2"), REQUEST, 20)
            self.assertEqual(0, fleet.runs["k1"])
            settling.cancel()

        self.run_paused(scenario())


class Caller(NamedTuple):
    """One caller of a random interleaving.

    Attributes:
        daemon: Index of the daemon that it connects to.
        starts_s: Start time in seconds.
        timeout_s: Seconds from its start to its deadline.
        disconnects_s: Seconds from its start until it disconnects.
        refused: Whether the backend server refuses its connection.
        retries: Whether it retries at another daemon after "not run".
    """

    daemon: int
    starts_s: float
    timeout_s: float
    disconnects_s: float
    refused: bool
    retries: bool


DELAYS = strategies.sampled_from((0.0, 0.001, 0.5, 3.0, 30.0))
STEPS = strategies.builds(
    faulty.Step,
    DELAYS,
    DELAYS,
    strategies.sampled_from(("", "", "lost", "late", "unavailable", "stale")),
)
CALLERS = strategies.builds(
    Caller,
    strategies.integers(0, 2),
    strategies.sampled_from((0.0, 0.001, 1.0, 4.0, 60.0)),
    strategies.sampled_from((0.5, 5.0, 1000.0)),
    strategies.sampled_from((0.0005, 0.5, 2.0, 1000.0, 1000.0)),
    strategies.booleans(),
    strategies.booleans(),
)


def reports_ran(outcome: types.ClaimOutcome, ran: Ran) -> bool:
    """Returns whether an outcome reports this `ran` to the caller."""
    if isinstance(outcome, types.Denied):
        return outcome.failure.response.ran == ran
    return isinstance(outcome, types.Finished) and ran == Ran.YES


async def interleave(
    callers: list[Caller], schedules: list[list[faulty.Step]]
) -> tuple[int, int]:
    """Runs callers over three daemons.

    Returns:
        Number of runs, and of responses that report a run that never was.
    """
    fleet = faulty.Fleet()
    daemons = [
        fleet.daemon(f"d{index}", steps=tuple(steps))
        for index, steps in enumerate(schedules)
    ]
    loop = asyncio.get_running_loop()
    false_reports = 0

    async def call(caller: Caller, index: int) -> None:
        nonlocal false_reports
        outcome = await fleet.serve(
            daemons[index],
            REQUEST,
            loop.time() + caller.timeout_s,
            caller.refused,
        )
        false_reports += reports_ran(outcome, Ran.YES) and not fleet.runs["k1"]
        if caller.retries and reports_ran(outcome, Ran.NO):
            await call(caller._replace(retries=False), (index + 1) % 3)

    async def follow(caller: Caller) -> None:
        await asyncio.sleep(caller.starts_s)
        try:
            async with asyncio.timeout(caller.disconnects_s):
                await call(caller, caller.daemon)
        except TimeoutError:
            pass

    settling = [asyncio.create_task(daemon.settler.run()) for daemon in daemons]
    await asyncio.gather(*map(follow, callers))
    await asyncio.sleep(200)
    for index in range(3):
        await call(Caller(index, 0, 5, 1000, False, False), index)
    for task in settling:
        task.cancel()
    return fleet.runs["k1"], false_reports


class InterleavingTest(base.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=300, database=None
    )
    @hypothesis.given(
        strategies.lists(CALLERS, min_size=2, max_size=5),
        strategies.lists(
            strategies.lists(STEPS, max_size=8), min_size=3, max_size=3
        ),
    )
    def test_random_faults_never_run_a_key_twice(
        self, callers: list[Caller], schedules: list[list[faulty.Step]]
    ) -> None:
        runs, false_reports = self.run_paused(interleave(callers, schedules))
        self.assertTrue(runs <= 1, f"{runs} runs")
        self.assertEqual(0, false_reports)
