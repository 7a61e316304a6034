"""Measures a fleet of real daemons: `python -m bench.fleet --json`.

Starts daemons on the loopback address with the stand-in of the object API,
rolls bundles and prints a table and one JSON line. No calls of callers run,
so all that a daemon uses is control: links, watches and reads, probes,
evidence and status. Bytes are those of WebSocket frames and of the object
API's connections, both ways, without TCP and IP headers. A change is in
force when a daemon logs it; its time counts from the moment the acceptance
was being written. Times are taken on one machine that all daemons share.
"""

import asyncio
import json
import pathlib
import signal
import statistics
import sys
import tempfile
import time
from typing import Any, NamedTuple

import defopt

from bench import fleet_world
from bench.fleet_processes import Usage
from standins import processes

PAUSE_S = 1.0
SETTLE_S = 3.0
OUTAGE_PAUSE_S = 2.0
FAULT_ROLLS = 5
RESTARTED = 3
CHANGES_A_DAY = 1800
DAY_S = 86400


class Spent(NamedTuple):
    """What control took during a time, for each daemon on average.

    Attributes:
        core_percent: Processor time over wall time.
        most_core_percent: The same for the busiest daemon.
        peer_kb_per_s: Frames on links, in and out.
        store_kb_per_s: Bytes to and from the object API.
        calls_per_s: Calls of the object API by the whole fleet.
        messages_per_s: Messages on links, in and out.
    """

    core_percent: float
    most_core_percent: float
    peer_kb_per_s: float
    store_kb_per_s: float
    calls_per_s: float
    messages_per_s: float = 0.0

    @property
    def kb_per_s(self) -> float:
        """All bytes."""
        return self.peer_kb_per_s + self.store_kb_per_s


class Meter:
    """Reads usage at the start and the end of a time."""

    def __init__(self, world: fleet_world.World) -> None:
        self.world = world

    async def __aenter__(self) -> "Meter":
        self.before = await self._read()
        return self

    async def __aexit__(self, *_: object) -> None:
        at, usages, moved, calls = await self._read()
        at0, usages0, moved0, calls0 = self.before
        length = self.length_s = at - at0
        pairs = list(zip(usages0, usages, strict=True))
        cores = [100 * (b.cpu_s - a.cpu_s) / length for a, b in pairs]
        frames = [b.peer_bytes - a.peer_bytes for a, b in pairs]
        messages = [b.peer_messages - a.peer_messages for a, b in pairs]
        count = len(usages)
        self.spent = Spent(
            core_percent=statistics.mean(cores),
            most_core_percent=max(cores),
            peer_kb_per_s=statistics.mean(frames) / length / 1000,
            store_kb_per_s=(moved - moved0) / length / 1000 / count,
            calls_per_s=(calls - calls0) / length,
            messages_per_s=statistics.mean(messages) / length,
        )

    async def _read(self) -> tuple[float, list[Usage], int, int]:
        usages = await self.world.usages()
        calls = await self.world.calls()
        return time.monotonic(), usages, self.world.relay.moved, calls


async def roll_many(world: fleet_world.World, count: int) -> list[float]:
    """Rolls in quiet; returns the seconds to in force for each daemon."""
    took = []
    for _ in range(count):
        accepted_at = await world.roll()
        took += [at - accepted_at for at in await world.wait_in_force()]
        await asyncio.sleep(PAUSE_S)
    return took


async def roll_before_outages(
    world: fleet_world.World, count: int
) -> tuple[list[float], list[float]]:
    """Rolls with the object API down right after each acceptance.

    While it is down, some daemons are killed and started again.

    Returns:
        Seconds to in force for each daemon; seconds from the start of each
        restarted process until it has the bundle in force, from peers.
    """
    took: list[float] = []
    restarted: list[float] = []
    for number in range(count):
        accepted_at = await world.roll()
        await world.set_faults(down=True)
        took += [at - accepted_at for at in await world.wait_in_force()]
        restarted += await _restart(world, number * RESTARTED)
        await world.set_faults(down=False)
        await asyncio.sleep(OUTAGE_PAUSE_S)
    return took, restarted


async def roll_amid_restarts(
    world: fleet_world.World, count: int
) -> list[float]:
    """Rolls while some daemons are being started again.

    Returns:
        Seconds to in force for each daemon, restarted ones too.
    """
    took: list[float] = []
    for number in range(count):
        chosen = _choose(world, number * RESTARTED)
        for daemon in chosen:
            await daemon.kill()
        for daemon in chosen:
            await daemon.start(world.children)
        accepted_at = await world.roll()
        took += [at - accepted_at for at in await world.wait_in_force()]
        await asyncio.sleep(OUTAGE_PAUSE_S)
    return took


def _choose(
    world: fleet_world.World, first: int
) -> list[fleet_world.DaemonProcess]:
    count = min(RESTARTED, len(world.daemons) - 1)
    return [
        world.daemons[(first + n) % len(world.daemons)] for n in range(count)
    ]


async def _restart(world: fleet_world.World, first: int) -> list[float]:
    chosen = _choose(world, first)
    since = {}
    for daemon in chosen:
        await daemon.kill()
        since[daemon.name] = time.time()
        await daemon.start(world.children)
    times = await world.wait_in_force(since)
    by_name = zip(world.daemons, times, strict=True)
    return [at - since[d.name] for d, at in by_name if d.name in since]


async def measure(
    folder: pathlib.Path, daemons: int, services: int, rolls: int, idle_s: float
) -> dict[str, Any]:
    """Runs all steps and returns the figures."""
    world = fleet_world.World(folder, daemons, services)
    try:
        say(f"starting {daemons} daemons")
        await world.start()
        await world.roll()
        await world.wait_in_force()
        await asyncio.sleep(SETTLE_S)
        say(f"idle for {idle_s:g} s")
        async with Meter(world) as idle:
            await asyncio.sleep(idle_s)
        memory = [usage.rss_mb for usage in await world.usages()]
        plain = await world.plain_proxy_mb()
        say(f"{rolls} rolls")
        async with Meter(world) as rolling:
            took = await roll_many(world, rolls)
        say(f"{FAULT_ROLLS} rolls, the object API down right after each")
        down, restarted = await roll_before_outages(world, FAULT_ROLLS)
        say(f"{FAULT_ROLLS} rolls amid restarts")
        amid = await roll_amid_restarts(world, FAULT_ROLLS)
        return {
            "daemons": daemons,
            "services": services,
            "rolls": rolls,
            "in_force_p50_s": round(statistics.median(took), 4),
            "in_force_max_s": round(max(took), 4),
            "down_in_force_p50_s": round(statistics.median(down), 4),
            "down_in_force_max_s": round(max(down), 4),
            "restarted_in_outage_max_s": round(max(restarted), 4),
            "amid_restarts_in_force_max_s": round(max(amid), 4),
            **cost(idle.spent, rolling.spent, rolls / rolling.length_s),
            "control_mb": round(statistics.mean(memory) - plain, 1),
            "daemon_mb": round(statistics.mean(memory), 1),
            "plain_proxy_mb": round(plain, 1),
            "reverted": world.reverted(),
            "logged_errors": sum(d.errors for d in world.daemons),
        }
    finally:
        await world.close()


def cost(idle: Spent, rolling: Spent, rolls_per_s: float) -> dict[str, Any]:
    """Returns what control costs without rolls, amid rolls, and at a rate.

    The plain names are for `CHANGES_A_DAY`: the cost without rolls, and for
    each change what the measured rolls cost above that.
    """
    share = CHANGES_A_DAY / DAY_S / rolls_per_s
    figures: dict[str, Any] = {"rolls_per_s": round(rolls_per_s, 3)}
    names = {
        "control_core_percent": "core_percent",
        "control_core_percent_most": "most_core_percent",
        "control_kb_per_s": "kb_per_s",
        "peer_kb_per_s": "peer_kb_per_s",
        "object_api_calls_per_s": "calls_per_s",
    }
    for name, field in names.items():
        quiet, busy = getattr(idle, field), getattr(rolling, field)
        figures[name] = round(quiet + (busy - quiet) * share, 3)
        figures[f"{name}_idle"] = round(quiet, 3)
        figures[f"{name}_rolling"] = round(busy, 3)
    return figures


async def run(*arguments: Any) -> dict[str, Any]:
    """Runs `measure`; SIGTERM ends every process as an error does."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await measure(*arguments)


def table(figures: dict[str, Any]) -> str:
    """Returns the figures as lines of name and value."""
    width = max(map(len, figures))
    return "\n".join(f"{k:<{width}}  {v:>10}" for k, v in figures.items())


def say(text: str) -> None:
    """Prints a line of progress."""
    print(text, file=sys.stderr, flush=True)


def main(
    *,
    daemons: int = 14,
    services: int = 4,
    rolls: int = 20,
    idle_s: float = 60.0,
    json_line: bool = False,
) -> int:
    """Measures how bundles come into force and what control costs.

    Args:
        daemons: Daemons to start.
        services: Services in the bundle, of 10 servers each.
        rolls: Rolls without faults.
        idle_s: Seconds without a roll over which the cost is measured.
        json_line: Whether the last line is JSON.
    """
    with tempfile.TemporaryDirectory(prefix="banyantiller-fleet-") as folder:
        path = pathlib.Path(folder)
        try:
            figures = asyncio.run(run(path, daemons, services, rolls, idle_s))
        except processes.DemoError as error:
            say(f"failed: {error}")
            return 1
        except asyncio.CancelledError:
            say("ended before its time")
            return 1
    print(table(figures))
    if json_line:
        print(json.dumps(figures))
    return 1 if figures["reverted"] or figures["logged_errors"] else 0


if __name__ == "__main__":
    arguments = [
        "--json-line" if item == "--json" else item for item in sys.argv[1:]
    ]
    sys.exit(defopt.run(main, argv=arguments))
