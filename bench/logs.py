"""Measures what the log of a gateway costs: `python -m bench.logs`.

One gateway process with servers and a store around it gets calls at a fixed
rate, with logs as they are by default and with logs of errors only, in turn.
"""

import asyncio
import json
import os
import pathlib
import random
import tempfile
from typing import NamedTuple

import defopt

from soak import plan as plans
from soak import world as worlds
from soak.callers import Connection
from soak.record import READ

# Calls a second: of one daemon at the usual load, at a burst, and at ten times
# the usual load.
RATES = {"usual": 8.0, "burst": 32.0, "ten times": 80.0}
SECONDS = 10.0
# Alternating runs, whose medians are compared.
ROUNDS = 3
SIZES = plans.Sizes(daemons=1, servers=4, callers=0)
KEPT = 8
TICKS_S = 1 / os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat behind the name: processor time in user and system
# mode.
CPU_FIELDS = slice(11, 13)


class Cost(NamedTuple):
    """What one run cost.

    Attributes:
        calls: Calls that were answered.
        cpu_s: Processor time of the daemon, in seconds.
        lines: Lines that it logged.
        size: Bytes that it logged.
    """

    calls: int
    cpu_s: float
    lines: int
    size: int


def main(*, seconds: float = SECONDS, rounds: int = ROUNDS) -> None:
    """Prints one line of JSON for each rate.

    Args:
        seconds: Length of a run, in seconds.
        rounds: Runs with and without logs at each rate.
    """
    for name, rate in RATES.items():
        runs: dict[str, list[Cost]] = {"info": [], "error": []}
        for number in range(rounds):
            for level, each in runs.items():
                each.append(asyncio.run(_run(rate, seconds, level, number)))
        print(
            json.dumps({"load": name, "rate": rate} | _compare(runs, seconds))
        )


def _compare(runs: dict[str, list[Cost]], seconds: float) -> dict[str, float]:
    per_call = {
        level: _median([run.cpu_s / run.calls * 1e6 for run in found])
        for level, found in runs.items()
    }
    logged = runs["info"]
    return {
        "cpu_us_a_call": round(per_call["info"]),
        "cpu_us_a_call_without_logs": round(per_call["error"]),
        "lines_a_second": _median([run.lines / seconds for run in logged]),
        "bytes_a_second": _median([run.size / seconds for run in logged]),
    }


def _median(values: list[float]) -> float:
    return round(sorted(values)[len(values) // 2], 1)


async def _run(rate: float, seconds: float, level: str, seed: int) -> Cost:
    with tempfile.TemporaryDirectory(prefix="banyantiller-logs-") as name:
        world = worlds.World(
            pathlib.Path(name), SIZES, {"log": {"level": level}}
        )
        try:
            await world.start()
            (daemon,) = world.daemons
            assert daemon.child is not None
            before_s = _cpu_s(daemon.child.process.pid)
            before = daemon.child.log.read_bytes()
            answered = await _call(world, rate, seconds, seed)
            cpu_s = _cpu_s(daemon.child.process.pid) - before_s
            written = daemon.child.log.read_bytes()[len(before) :]
        finally:
            await world.close()
    return Cost(answered, cpu_s, written.count(b"\n"), len(written))


async def _call(
    world: worlds.World, rate: float, seconds: float, seed: int
) -> int:
    """Sends calls at random times over kept connections."""
    rng = random.Random(seed)
    daemon = world.daemons[0]
    kept = [await Connection.to(world, daemon) for _ in range(KEPT)]
    free = asyncio.Queue[Connection]()
    for connection in kept:
        free.put_nowait(connection)
    ends = world.loop.time() + seconds
    running = []
    while world.loop.time() < ends:
        await asyncio.sleep(rng.expovariate(rate))
        running.append(asyncio.ensure_future(_one(free, f"l{len(running)}")))
    answered = sum(await asyncio.gather(*running))
    for connection in kept:
        connection.close()
    return answered


async def _one(free: "asyncio.Queue[Connection]", request_id: str) -> bool:
    connection = await free.get()
    try:
        sent = connection.send(request_id, READ, "/read/x")
        await connection.read([sent])
        return sent.status == 200
    finally:
        free.put_nowait(connection)


def _cpu_s(pid: int) -> float:
    """Returns the processor time of a process so far, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return sum(int(field) for field in fields[CPU_FIELDS]) * TICKS_S


if __name__ == "__main__":
    defopt.run(main)
