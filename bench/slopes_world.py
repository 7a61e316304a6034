"""Fleets of real daemons for the slopes, on the world of `bench.fleet`."""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import yaml

from bench import fleet, fleet_world, overhead_roles

T = TypeVar("T")

SETTLE_S = 4.0
WRITES = ("create", "update", "delete")


class Usage(NamedTuple):
    """What control took, for each daemon unless said otherwise.

    Attributes:
        daemons: Daemons of the fleet.
        services: Services of the bundle, of ten servers each.
        idle_core_percent: Processor time without rolls.
        idle_kb_per_s: Bytes without rolls, links and object API.
        idle_messages_per_s: Messages on links without rolls.
        idle_calls_per_s: Calls of the object API by the whole fleet.
        idle_writes_per_s: Of these, writes.
        roll_core_ms: Processor time for one roll, above idle.
        roll_kb: Bytes for one roll, above idle.
        roll_calls: Calls of the object API for one roll by the whole fleet.
        daemon_mb: Resident memory.
        in_force_max_s: Longest time from acceptance to force.
        fresh_s: From the start of a process to its bundle in force.
    """

    daemons: int
    services: int
    idle_core_percent: float
    idle_kb_per_s: float
    idle_messages_per_s: float
    idle_calls_per_s: float
    idle_writes_per_s: float
    roll_core_ms: float
    roll_kb: float
    roll_calls: float
    daemon_mb: float
    in_force_max_s: float
    fresh_s: float


class LoadWorld(fleet_world.World):
    """One daemon whose backend servers answer as `overhead_roles.ANSWER`."""

    def caller_port(self) -> int:
        """Returns the port on which the daemon listens for callers."""
        text = pathlib.Path(self.daemons[0].path).read_text()
        return yaml.safe_load(text)["callers"]["listen"]["port"]


async def in_world(
    world_type: type[fleet_world.World],
    daemons: int,
    services: int,
    body: Callable[[fleet_world.World], Awaitable[T]],
) -> T:
    """Runs a body in a world that has one bundle in force."""
    with tempfile.TemporaryDirectory(prefix="banyantiller-slopes-") as folder:
        world = world_type(pathlib.Path(folder), daemons, services)
        try:
            await world.start()
            await world.roll()
            await world.wait_in_force()
            await asyncio.sleep(SETTLE_S)
            return await body(world)
        finally:
            await world.close()


async def usage_of(
    daemons: int, services: int, idle_s: float, rolls: int
) -> Usage:
    """Measures one fleet without calls of callers."""

    async def body(world: fleet_world.World) -> Usage:
        writes = await _writes(world)
        async with fleet.Meter(world) as idle:
            await asyncio.sleep(idle_s)
        written = await _writes(world) - writes
        memory = [usage.rss_mb for usage in await world.usages()]
        async with fleet.Meter(world) as rolling:
            took = await fleet.roll_many(world, rolls)
        fresh_s = await _fresh(world)
        quiet, busy = idle.spent, rolling.spent
        each_s = rolling.length_s / rolls
        return Usage(
            daemons,
            services,
            quiet.core_percent,
            quiet.kb_per_s,
            quiet.messages_per_s,
            quiet.calls_per_s,
            written / idle.length_s,
            (busy.core_percent - quiet.core_percent) * 10 * each_s,
            (busy.kb_per_s - quiet.kb_per_s) * each_s,
            (busy.calls_per_s - quiet.calls_per_s) * each_s,
            statistics.mean(memory),
            max(took),
            fresh_s,
        )

    return await in_world(fleet_world.World, daemons, services, body)


async def _writes(world: fleet_world.World) -> int:
    outcome = await world.control.request("GET", "/standin/calls", 5.0)
    by_verb = json.loads(outcome.body)["by_verb"]
    return sum(by_verb.get(verb, 0) for verb in WRITES)


async def _fresh(world: fleet_world.World) -> float:
    """Kills a daemon and starts it again; returns the time to its bundle."""
    daemon = world.daemons[-1]
    await daemon.kill()
    started_at = time.time()
    await daemon.start(world.children)
    times = await world.wait_in_force({daemon.name: started_at})
    return times[-1] - started_at


def set_answer(answer_bytes: int, extra_headers: int) -> None:
    """Sets what backend servers in this process answer."""
    fields = b"".join(
        b"X-Extra-%d: value-%d\r\n" % (n, n) for n in range(extra_headers)
    )
    overhead_roles.ANSWER = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"endpoint-load-metrics: TEXT named_metrics.in_flight=1\r\n"
        b"%bContent-Length: %d\r\n\r\n%b"
    ) % (fields, answer_bytes, b"y" * answer_bytes)
