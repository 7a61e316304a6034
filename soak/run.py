"""Plays one seed from its plan to its findings."""

import asyncio
import pathlib
import signal
from typing import NamedTuple

from soak import callers, checks, faults, organisations
from soak import plan as plans
from soak import record as records
from soak.world import World

# After the last fault daemons start, servers come back to the list, and
# beliefs are forgotten.
SETTLE_S = 3.0


class Result(NamedTuple):
    """What one seed gave.

    Attributes:
        seed: The seed.
        steps: Faults and changes that were made.
        attempts: Requests that were sent.
        served: Requests that were answered with success.
        findings: What was broken.
    """

    seed: int
    steps: int
    attempts: int
    served: int
    findings: list[records.Finding]


async def play(folder: pathlib.Path, plan: plans.Plan, timed: bool) -> Result:
    """Plays a plan.

    Args:
        folder: Where settings and logs are written.
        plan: What happens.
        timed: Whether promises with a time limit are checked as well.
    """
    world = World(folder, plan.sizes)
    if plans.has_organisations(plan.seed):
        world.organisations = organisations.content
    task = asyncio.current_task()
    assert task is not None
    # Else its processes would outlive it.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await world.start()
        began = world.loop.time()
        for number in range(plan.sizes.callers):
            caller = callers.Caller(world, number, plan.seed)
            world.begin(caller.run())
        for daemon in world.daemons:
            world.begin(callers.probe(world, daemon))
        world.begin(faults.watch_lag(world))
        await faults.play(world, plan.steps)
        world.seen.calm_from = world.loop.time() + SETTLE_S
        left_s = began + plan.sizes.seconds - world.loop.time()
        await asyncio.sleep(max(left_s, plans.QUIET_S))
    finally:
        await world.close()
    seen = world.collect()
    return Result(
        plan.seed,
        len(plan.steps),
        len(seen.attempts),
        sum(a.status == records.OK for a in seen.attempts),
        checks.judge(seen, timed),
    )
