"""Measures the slopes behind docs/CAPACITY.md: `python -m bench.slopes`.

Each step varies one size, runs real processes or the real parts, and fits a
line. With `--write` the result goes to docs/capacity.json and into the table
of docs/CAPACITY.md; steps that were not run keep their last result. At most
60 processes run at once.
"""

import asyncio
import datetime
import json
import os
import platform
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import defopt

from bench import (
    slopes_bundle,
    slopes_call,
    slopes_claims,
    slopes_memory,
    slopes_sizes,
    slopes_table,
    slopes_world,
)
from bench.slopes_fit import Line, fit, line_data, rounded
from standins import processes

DAEMONS = (2, 8, 14, 28, 56)
SERVICES = (1, 30, 120)
FEW_SERVICES = 4
IDLE_S = 30.0
ROLLS = 5
TARGET_MS = 0.37
OVERHEAD_S = 60

Measured = tuple[list[Line], dict[str, float]]


def measure_call() -> Measured:
    """Processor time of a call over its size."""
    return asyncio.run(slopes_call.measure())


def measure_overhead() -> Measured:
    """Latency that a data path adds, over its utilisation."""
    command = [
        sys.executable,
        "-m",
        "bench.overhead",
        "--seconds",
        str(OVERHEAD_S),
        "--json",
    ]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    found = json.loads(done.stdout.splitlines()[-1])
    curve = found["curve"]
    p99 = [(p["busy"], p["added_p99_ms"]) for p in curve]
    p50 = [(p["busy"], p["added_p50_ms"]) for p in curve]
    lines = [
        fit("added p50 (ms)", "utilisation of a core", p50),
        fit("added p99 (ms)", "utilisation of a core", p99),
    ]
    within = [busy for busy, added in p99 if added <= TARGET_MS]
    least = min(added for _, added in p99)
    return lines, {
        "data_path_cpu_us": rounded(1e6 / found["calls_per_core_second"]),
        "least_added_p99_ms": least,
        "utilisation_within_target": max(within, default=0.0),
        "lost": found["lost"],
    }


def measure_memory() -> Measured:
    """Memory of what a daemon holds."""
    return slopes_memory.measure(), {}


def measure_daemons() -> Measured:
    """Control over the number of daemons."""
    found = _worlds([(daemons, FEW_SERVICES) for daemons in DAEMONS])
    return _control(found, "daemons"), {
        "fresh_daemon_max_s": rounded(max(item.fresh_s for item in found)),
        "in_force_max_s": rounded(max(item.in_force_max_s for item in found)),
    }


def measure_services() -> Measured:
    """Control over the number of services, of ten servers each."""
    found = _worlds([(slopes_sizes.FEW_DAEMONS, n) for n in SERVICES])
    return _control(found, "services"), {
        "fresh_daemon_max_s": rounded(max(item.fresh_s for item in found)),
        "in_force_max_s": rounded(max(item.in_force_max_s for item in found)),
    }


def measure_bundle() -> Measured:
    """Time to take a bundle."""
    return slopes_bundle.measure()


def measure_claims() -> Measured:
    """Calls of the object API for keyed requests."""
    return asyncio.run(slopes_claims.measure())


STEPS: dict[str, Callable[[], Measured]] = {
    "call": measure_call,
    "overhead": measure_overhead,
    "memory": measure_memory,
    "daemons": measure_daemons,
    "services": measure_services,
    "bundle": measure_bundle,
    "claims": measure_claims,
}


def _worlds(sizes: list[tuple[int, int]]) -> list[slopes_world.Usage]:
    """Measures fleets; one whose ports were taken is tried once more."""
    found = []
    for daemons, services in sizes:
        say(f"{daemons} daemons, {services} services")
        try:
            found.append(_world(daemons, services))
        except (processes.DemoError, ValueError, OSError) as error:
            say(f"failed, tried once more: {error}")
            found.append(_world(daemons, services))
    return found


def _world(daemons: int, services: int) -> slopes_world.Usage:
    return asyncio.run(slopes_world.usage_of(daemons, services, IDLE_S, ROLLS))


def _control(found: list[slopes_world.Usage], over: str) -> list[Line]:
    """Fits every figure of control over one size of the fleet."""
    names = {
        "idle_core_percent": "control, no rolls (% of a core a daemon)",
        "idle_kb_per_s": "control, no rolls (KB/s a daemon)",
        "idle_messages_per_s": "messages on links, no rolls (1/s a daemon)",
        "idle_calls_per_s": "object API, no rolls (calls/s, fleet)",
        "idle_writes_per_s": "object API, no rolls (writes/s, fleet)",
        "roll_core_ms": "one roll (ms of processor time a daemon)",
        "roll_kb": "one roll (KB a daemon)",
        "roll_calls": "one roll (calls of the object API, fleet)",
        "daemon_mb": "resident memory (MB a daemon)",
        "in_force_max_s": "acceptance to force, longest of five rolls (s)",
        "fresh_s": "fresh daemon, process start to bundle in force (s)",
    }
    return [
        fit(
            label,
            over,
            [(getattr(item, over), getattr(item, field)) for item in found],
        )
        for field, label in names.items()
    ]


def say(text: str) -> None:
    """Prints a line of progress."""
    print(text, file=sys.stderr, flush=True)


def run(steps: list[str]) -> dict[str, Any]:
    """Runs steps and returns the last result with theirs in place."""
    last = slopes_table.read_result()["steps"]
    for name in steps:
        say(f"step {name}")
        lines, figures = STEPS[name]()
        now = datetime.datetime.now(datetime.UTC)
        last[name] = {
            "measured": f"{now:%Y-%m-%d %H:%M}",
            "lines": [line_data(line) for line in lines],
            "figures": figures,
        }
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "steps": last,
    }


def main(
    *,
    only: list[str] | None = None,
    write: bool = False,
    json_line: bool = False,
) -> int:
    """Measures slopes and prints them as a table.

    Args:
        only: Steps to run; all of them if not given.
        write: Write the result into docs.
        json_line: Whether the last line is JSON.
    """
    unknown = set(only or ()) - set(STEPS)
    if unknown:
        say(f"No such step: {', '.join(sorted(unknown))}.")
        return 2
    result = run(list(only or STEPS))
    if write:
        slopes_table.write_result(result)
    print(slopes_table.table(result))
    if json_line:
        print(json.dumps(result))
    return 0


if __name__ == "__main__":
    arguments = [
        "--json-line" if item == "--json" else item for item in sys.argv[1:]
    ]
    sys.exit(defopt.run(main, argv=arguments))
