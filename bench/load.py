"""Open load on real daemons: `python -m bench.load --json`.

Daemons, backend servers, object API and VM list are real processes on the
loopback address. Calls are sent at random times of a fixed rate whether or
not earlier ones were answered, and latency counts from the intended time.
Every call has ids and a body of its own; what callers saw is compared with
what the servers counted. The exit status is 0 only if nothing was lost,
exchanged, run twice or wrongly told not to have run, nothing was cut but by
a kill or a pause, no process logged a traceback, and 99% of calls were
answered in time.
"""

import asyncio
import json
import math
import pathlib
import random
import selectors
import sys
import tempfile
from typing import Any, NamedTuple

import defopt

from bench import decisions, load_callers, load_compare, load_result
from bench.load_callers import Arrival, Kind
from bench.load_fleet import Fleet, Plan, cores
from bench.load_scenarios import SCENARIOS, Case
from standins import processes


class Defaults(NamedTuple):
    """What a scenario takes unless it is given.

    Attributes:
        load: Share of all slots that the calls' own time takes.
        seconds: How long calls are sent.
    """

    load: float
    seconds: float


KEYED = 0.05
ONCE = 0.05
MOST_PADDING = 4000
SETTLE_S = 1.0
ENDS_S = 60.0
DEFAULTS = {
    "steady": Defaults(0.7, 30.0),
    "slow-server": Defaults(0.7, 60.0),
    "restart": Defaults(0.7, 75.0),
    "kill": Defaults(0.6, 45.0),
    "pause": Defaults(0.6, 45.0),
}
NEVER = ("lost", "exchanged", "run_twice", "wrong_not_run", "tracebacks")
LEAST_GOODPUT = 0.99


def plan_arrivals(rate: float, seconds: float, seed: int) -> list[Arrival]:
    """Returns calls at random times of a fixed rate."""
    source = random.Random(seed)
    found = []
    at = source.expovariate(rate)
    while at < seconds:
        found.append(_plan_call(source, len(found), at))
        at += source.expovariate(rate)
    return found


def _plan_call(source: random.Random, number: int, at: float) -> Arrival:
    size = source.randrange(MOST_PADDING)
    target = f"/records/{number}?size={size}"
    choice = source.random()
    if choice >= KEYED + ONCE:
        name = f"lookup-{number}"
        return Arrival(at, name, Kind.LOOKUP, "GET", target, "", b"")
    body = f'{{"number": {number}, "of": "{source.getrandbits(256):x}"}}'
    if choice < KEYED:
        key = f"key-{number}-{source.getrandbits(64):x}"
        name = f"keyed-{number}"
        return Arrival(at, name, Kind.KEYED, "POST", target, key, body.encode())
    name = f"once-{number}"
    return Arrival(at, name, Kind.ONCE, "POST", target, "", body.encode())


async def play(folder: pathlib.Path, case: Case) -> dict[str, Any]:
    """Runs one scenario and returns its figures."""
    fleet = Fleet(folder, case.plan)
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        before = fleet.processor_s()
        callers, steps_s = await send(fleet, case)
        after = fleet.processor_s()
        for server in fleet.servers:
            await server.count()
        runs = load_result.Runs.from_servers(fleet.servers)
        faults = load_result.find_faults(callers.made, runs)
        tracebacks = show_faults(faults, fleet)
        size = case.plan.size
        deadline_s = size.deadline_s
        took_s = loop.time() - began
        slots_s = size.servers * size.slots * case.seconds
        busy = runs.totals["busy_s"] / slots_s
        return {
            **load_result.summary(callers, runs, faults, deadline_s, took_s),
            "busy": round(busy, 3),
            "cores": cores(before, after, case.seconds),
            "tracebacks": tracebacks,
            "steps_s": round(steps_s, 1),
            "bad_exits": sum(1 for d in fleet.daemons for e in d.exits if e),
            "task_failures": await fleet.task_failures(),
        }
    finally:
        await fleet.close()


async def send(fleet: Fleet, case: Case) -> tuple[load_callers.Callers, float]:
    """Sends all calls while the scenario's steps run.

    Returns:
        The callers and the seconds that the steps took.
    """
    plan = case.plan
    gateways = [daemon.gateway for daemon in fleet.daemons]
    deadline_s = plan.size.deadline_s
    try_s = math.inf if case.scenario.graceful else deadline_s / 2
    callers = load_callers.Callers(gateways, deadline_s, try_s, plan.seed)
    arrivals = plan_arrivals(case.rate, case.seconds, plan.seed)
    say(f"{case.name}: {len(arrivals)} calls over {case.seconds:g} s")
    loop = asyncio.get_running_loop()
    start = loop.time()

    async def disturb() -> float:
        source = random.Random(plan.seed)
        await case.scenario.disturb(fleet, source, case.seconds)
        return loop.time() - start

    async with asyncio.timeout(case.seconds + ENDS_S):
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.send(arrivals))
            steps = group.create_task(disturb())
    return callers, steps.result()


def held(case: Case, figures: dict[str, Any]) -> bool:
    """Tells whether a run broke no promise."""
    broken = sum(figures[name] for name in NEVER)
    if case.scenario.graceful:
        broken += figures["cut"] + figures["bad_exits"]
    return not broken and figures["goodput"] >= LEAST_GOODPUT


def show_faults(faults: load_result.Faults, fleet: Fleet) -> int:
    """Prints the first calls of each kind of fault, and failing logs.

    Returns:
        Number of processes that logged a traceback.
    """
    for name, found in faults._asdict().items():
        for line in found[: load_result.MOST_SHOWN]:
            say(f"{name}: {line}")
    failing = [
        child
        for child in fleet.children.running
        if "Traceback" in child.log.read_text(errors="replace")
    ]
    for child in failing:
        say(f"log of {child.name}:\n{child.tail()}")
    return len(failing)


def run_case(case: Case, compare: bool, keep: str) -> dict[str, Any]:
    """Runs one scenario in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="banyantiller-load-") as made:
        parent = pathlib.Path(keep or made)
        folder = parent / f"{case.name}-{case.plan.policy}"
        folder.mkdir(parents=True, exist_ok=True)
        # Selecting, unlike polling, waits for less than a millisecond.
        with asyncio.Runner(loop_factory=new_loop) as runner:
            figures = runner.run(play(folder, case))
    row = {
        "scenario": case.name,
        "policy": case.plan.policy,
        "held": held(case, figures),
        **figures,
    }
    if compare and case.scenario.like is not None:
        planned = utilisation(case)
        row["paused_clock"] = load_compare.compute(case, planned, planned)
        row["paused_clock_at_busy"] = load_compare.compute(
            case, planned, row["busy"]
        )
    return row


def new_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop whose timers are finer than a millisecond."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def utilisation(case: Case) -> float:
    """Returns the load over what all slots can take."""
    size = case.plan.size
    return case.rate * size.mean_s / (size.servers * size.slots)


def build_case(name: str, plan: Plan, rate: float, seconds: float) -> Case:
    """Fills in what is not given."""
    size = plan.size
    capacity = size.servers * size.slots / size.mean_s
    return Case(
        name,
        plan,
        rate or DEFAULTS[name].load * capacity,
        seconds or DEFAULTS[name].seconds,
    )


def say(text: str) -> None:
    """Prints a line of progress."""
    print(text, file=sys.stderr, flush=True)


def main(
    *,
    scenario: str = "all",
    service: str = "registry",
    daemons: int = 5,
    policy: str = "adaptive",
    rate: float = 0.0,
    seconds: float = 0.0,
    seed: int = 1,
    compare: bool = True,
    keep: str = "",
    json_line: bool = False,
) -> int:
    """Sends an open load through real daemons and checks every call.

    Args:
        scenario: steady, slow-server, restart, kill, pause, by comma, or all.
        service: Sizes of registry, survey, orders or archive.
        daemons: Daemons to start.
        policy: Routing plug-ins by comma; besides adaptive those of
            `bench.decisions`, such as round_robin.
        rate: Calls per second; 0 takes the scenario's share of capacity.
        seconds: How long calls are sent; 0 takes the scenario's time.
        seed: Seed of arrivals, service times and steps.
        compare: Whether to add what the bench on the paused clock says.
        keep: Folder in which settings and logs are kept, or empty.
        json_line: Whether the last line is JSON.
    """
    rows = []
    for name in SCENARIOS if scenario == "all" else scenario.split(","):
        for one in policy.split(","):
            size = decisions.SIZES[service]
            plan = Plan(service, size, daemons, one, seed)
            case = build_case(name, plan, rate, seconds)
            try:
                row = run_case(case, compare, keep)
            except (processes.DemoError, TimeoutError) as error:
                say(f"{name}: failed: {error or type(error).__name__}")
                return 1
            row["calls_per_second"] = round(case.rate, 1)
            row["utilisation"] = round(utilisation(case), 3)
            rows.append(row)
    print(load_result.table(rows))
    whole = all(row["held"] for row in rows)
    if json_line:
        print(json.dumps({"held": whole, "runs": rows}))
    return 0 if whole else 1


if __name__ == "__main__":
    arguments = [
        "--json-line" if item == "--json" else item for item in sys.argv[1:]
    ]
    sys.exit(defopt.run(main, argv=arguments))
