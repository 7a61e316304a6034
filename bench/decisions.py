"""Measures the routing decisions on a virtual clock: `bench.decisions`.

Latency counts from the caller's send to the answer at the daemon. A call
that is refused, fails or is late counts as its deadline in each quantile
(in `storm` five deadlines, as callers send again), so that no policy gains
by refusing.
"""

import functools
import json as json_lib
import math
import multiprocessing
import os
import random
import statistics
import zlib
from typing import NamedTuple

import defopt

from banyantiller.bundle import options
from banyantiller.replay import recording
from banyantiller.replay import selector_inputs as inputs
from banyantiller.routing import adaptive, tuning, types
from bench import decisions_asking
from bench import decisions_rivals as rivals
from bench.decisions_scenarios import SCENARIOS
from bench.decisions_world import Daemon, User, World

FOUR_ZONES = ("north", "east", "south", "west")
THREE_ZONES = ("north", "middle", "south")
SIGMA = 0.6
NON_IDEMPOTENT = 0.1
WARM_UP = 0.1
PATIENCE = 5


class Size(NamedTuple):
    """Size of a service; `seconds` is the length of a whole run."""

    servers: int
    slots: int
    zones: tuple[str, ...]
    daemons: int
    mean_s: float
    deadline_s: float
    objective: str
    probes: float
    seconds: float


SIZES = {
    "registry": Size(10, 2, FOUR_ZONES, 13, 0.02, 2.0, "latency", 2.0, 16.0),
    "survey": Size(15, 2, FOUR_ZONES, 14, 0.02, 2.0, "latency", 2.0, 12.0),
    "orders": Size(10, 4, THREE_ZONES, 13, 0.02, 2.0, "cost", 0.2, 10.0),
    "archive": Size(13, 4, THREE_ZONES, 14, 0.2, 10.0, "cost", 0.1, 70.0),
}


class Task(NamedTuple):
    """One run."""

    service: str
    scenario: str
    policy: str
    seconds: float
    seed: int
    ablate: str
    record: str = ""


def build(task, size):
    """Builds the world of one run."""
    states = tuple(
        types.ServerState(
            f"b{i:02}", size.zones[i % len(size.zones)], size.slots
        )
        for i in range(size.servers)
    )
    service = options.Service(
        task.service,
        (),
        slots=size.slots,
        objective=size.objective,
        deadline_s=size.deadline_s,
        measuring=options.MeasuringPolicy(size.probes),
        queue=options.QueuePolicy(longest_s=0.8 * size.deadline_s),
    )
    world = World(service, states, size.zones, task.seed)
    chooser = rivals.AllKnowing(world) if task.policy == "bound" else None
    off = frozenset(task.ablate.split(",")) if task.ablate else frozenset()
    constants = tuning.for_objective(size.objective)._replace(disabled=off)
    for number in range(size.daemons):
        daemon = Daemon(world, size.zones[number % len(size.zones)])
        world.daemons.append(daemon)
        given = (service, states, daemon.zone, 1000 * task.seed + number)
        if task.policy == "asking":
            lines = None
            if task.record:
                lines = recording.Recording(
                    opened(task, number, world).write, names=inputs.NAMES
                )
            daemon.dispatcher = decisions_asking.create(
                world, daemon, given[3], lines
            )
        elif chooser is not None:
            daemon.dispatcher = rivals.AllKnowingDispatcher(chooser, daemon)
        elif task.policy != "adaptive":
            daemon.dispatcher = rivals.usual(rivals.PICKS[task.policy], *given)
        else:
            create = functools.partial(adaptive.create, constants=constants)
            if task.record:
                create = recorded(create, task, number, world)
            daemon.dispatcher = create(
                *given[:2], "", *given[2:], 0.0, daemon.charge
            )
            daemon.dispatcher.members(size.daemons, 0.0)
    return world


def recorded(create, task, number, world):
    """Returns a factory whose dispatcher writes a trace for replay."""
    return recording.record(create, opened(task, number, world).write)


def opened(task, number, world):
    """Opens the file of a daemon's trace."""
    name = f"{task.service}-{task.scenario}-{task.policy}-{number}.jsonl"
    path = os.path.join(task.record, name)
    file = open(path, "w", encoding="utf-8")  # noqa: SIM115
    world.traces.append(file)
    return file


def run(task):
    """Runs one task; returns it with its figures."""
    size, scenario = SIZES[task.service], SCENARIOS[task.scenario]
    world = build(task, size)
    seconds = task.seconds * size.seconds
    seed = zlib.crc32(f"{task.service} {task.scenario} {task.seed}".encode())
    rng = random.Random(seed)
    rate, at = size.servers * size.slots / size.mean_s, 0.0
    while at < seconds:
        at += rng.expovariate(rate * scenario.load(at / seconds))
        mu = math.log(size.mean_s) - SIGMA**2 / 2
        work, repeatable = rng.lognormvariate(mu, SIGMA), rng.random()
        user = User(
            at, work, repeatable >= NON_IDEMPOTENT, at + size.deadline_s
        )
        world.after(at, world.arrive, user)
    scenario.disturb(world, rng, seconds)
    world.run(seconds + 2 * PATIENCE * size.deadline_s)
    for file in world.traces:
        file.close()
    return task, figures(world, size, WARM_UP * seconds)


def figures(world, size, since):
    """Works out the figures of one run, without its first part."""
    users = [user for user in world.users if user.born >= since]
    worst = size.deadline_s * (PATIENCE if world.resend else 1)
    strict = sorted(user.latency if user.good else worst for user in users)
    sends = sum(user.sends for user in world.users)
    allowed = world.probe_rate * world.now + len(world.daemons)
    return {
        "p50_ms": 1000 * strict[len(strict) // 2],
        "p99_ms": 1000 * strict[int(0.99 * len(strict))],
        "p999_ms": 1000 * strict[int(0.999 * len(strict))],
        "goodput": sum(user.good for user in users) / len(users),
        "refused": world.refusals,
        "extra": max(0.0, world.tries / sends - 1),
        "probes_per_s": world.probes / world.now,
        "questions_per_server_s": world.questions
        / world.now
        / len(world.servers),
        "measuring_over_budget": world.probes > allowed,
        "run_twice": sum(u.runs > 1 and not u.idempotent for u in world.users),
        "lost": sum(user.latency is None for user in world.users),
    }


def compare(results):
    """Returns the ratios of the product's p99 for each service and scenario."""
    ratios = {}
    for service, scenario, policy in results:
        if policy != "adaptive" or (service, scenario, "bound") not in results:
            continue
        p99 = {
            name: results[service, scenario, name]["p99_ms"]
            for name in (*rivals.PICKS, "bound", "adaptive")
        }
        best = min(rivals.PICKS, key=p99.__getitem__)
        ratios[f"{service}/{scenario}"] = {
            "p99_over_best_baseline": round(p99["adaptive"] / p99[best], 3),
            "p99_over_bound": round(p99["adaptive"] / p99["bound"], 3),
            "best_baseline": best,
            **asking_over(results, service, scenario),
        }
    return ratios


def asking_over(results, service, scenario):
    """Returns the ratio of asking first to reports on answers, if it ran."""
    asking = results.get((service, scenario, "asking"))
    if asking is None:
        return {}
    ours = results[service, scenario, "adaptive"]
    return {
        f"asking_{name}_over_adaptive": round(asking[name] / ours[name], 3)
        for name in ("p50_ms", "p99_ms")
    }


def totals(results, ratios):
    """Returns the figures of the whole run of the product."""
    ours = [row for key, row in results.items() if key[2] == "adaptive"]
    line = {
        name: round(statistics.median(r[name] for r in ratios.values()), 3)
        for name in ("p99_over_best_baseline", "p99_over_bound")
        if ratios
    }
    for name in ("run_twice", "lost", "measuring_over_budget"):
        line[name] = sum(row[name] for row in ours)
    line["extra_most"] = max((row["extra"] for row in ours), default=0.0)
    return line


def main(
    *,
    json: bool = False,
    service: str = "",
    scenario: str = "",
    policy: str = "",
    seconds: float = 1.0,
    seed: int = 1,
    ablate: str = "",
    plots: str = "",
    record: str = "",
    processes: int = 4,
) -> None:
    """Runs the bench.

    Args:
        json: End in one JSON line.
        service: Only these services, by comma.
        scenario: Only these scenarios, by comma.
        policy: Only these policies, by comma.
        seconds: Length of each run over its usual length.
        seed: Seed of arrivals, work and disturbances.
        ablate: Mechanisms to switch off, by comma.
        plots: Folder for PNG plots.
        record: Folder for traces of the product's runs, one a daemon, which
            `banyantiller replay` plays.
        processes: Most processes at once.
    """
    tasks = [
        Task(one, case, name, seconds, seed, ablate, record)
        for one in (service.split(",") if service else SIZES)
        for case in (scenario.split(",") if scenario else SCENARIOS)
        for name in (
            policy.split(",")
            if policy
            else (*rivals.PICKS, "bound", "adaptive", "asking")
        )
    ]
    if record:
        os.makedirs(record, exist_ok=True)
    with multiprocessing.Pool(processes) as pool:
        results = {t[:3]: row for t, row in pool.map(run, tasks, chunksize=1)}
    columns = ("p50_ms", "p99_ms", "p999_ms", "goodput", "refused", "extra")
    print(f"{'':32}", *(f"{name:>9}" for name in (*columns, "probes/s")))
    for key, row in results.items():
        cells = [*(row[name] for name in columns), row["probes_per_s"]]
        print(f"{' '.join(key):32}", *(f"{cell:9.4g}" for cell in cells))
    ratios = compare(results)
    for name, ratio in ratios.items():
        print(name, *ratio.values())
    line = totals(results, ratios)
    if plots:
        from bench import decisions_plots

        decisions_plots.write(results, plots)
    print(json_lib.dumps({**line, "scenarios": ratios}) if json else line)


if __name__ == "__main__":
    defopt.run(main)
