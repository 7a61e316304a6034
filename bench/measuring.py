"""Measures the probe budget of a fleet: use, bound and cost.

    python -m bench.measuring --json

Every daemon wants to probe all the time, on a paused clock. Permits, which the
product uses, are compared with a share by the believed number of daemons.
"""

import asyncio
import json as json_lib
import math
import random
from collections.abc import Callable
from typing import NamedTuple

import async_solipsism
import defopt

from banyantiller.bundle import options
from banyantiller.measuring import budget
from banyantiller.store import memory, table

SERVICE = "registry"
STORE_S = 0.003
ASK_S = 0.1
READS = ("get", "list")
WRITES = ("create", "update", "delete")


class Case(NamedTuple):
    """What is measured.

    Attributes:
        name: What is special.
        daemons: Daemons of the fleet.
        rate: Budget in probes a second.
        believed: Daemons that each believes alive; 0 uses permits.
        restart_s: Period at which one daemon restarts, or 0.
    """

    name: str
    daemons: int
    rate: float
    believed: int = 0
    restart_s: float = 0.0


CASES = (
    Case("one daemon", 1, 2.0),
    Case("two daemons", 2, 1.0),
    Case("today", 14, 2.0),
    Case("little", 14, 0.2),
    Case("much", 14, 20.0),
    Case("large fleet", 56, 2.0),
    Case("one restarts each second", 14, 2.0, restart_s=1.0),
    Case("share, all seen", 14, 2.0, believed=14),
    Case("share, two halves", 14, 2.0, believed=7),
    Case("share, one restarts", 14, 2.0, believed=14, restart_s=1.0),
)


class Row(NamedTuple):
    """Figures of one case.

    Attributes:
        name: What is special.
        daemons: Daemons of the fleet.
        rate: Budget in probes a second.
        used: Probes over the budget.
        most: Most probes in any window of a second, or of 1/rate if longer.
        allowed: Probes that the budget allows in that window.
        least_of_one: Fewest probes of a daemon that didn't restart.
        most_of_one: Most probes of a daemon.
        reads: Reads of the object API a second, by all daemons.
        writes: Writes a second, by all daemons.
    """

    name: str
    daemons: int
    rate: float
    used: float
    most: int
    allowed: int
    least_of_one: int
    most_of_one: int
    reads: float
    writes: float


def wall() -> float:
    """Returns wall-clock seconds."""
    return 1e9 + asyncio.get_running_loop().time()


class Fleet:
    """Daemons that probe whenever they may."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.table = table.ObjectTable()
        self.stores: list[memory.MemoryStore] = []
        self.probes: list[float] = []
        self.spent = [0] * case.daemons
        self.tasks: list[list[asyncio.Task]] = []
        for number in range(case.daemons):
            self.tasks.append(self.start(number))

    def start(self, number: int) -> list[asyncio.Task]:
        """Starts one daemon."""
        if self.case.believed:
            rng = random.Random(number)
            charge = share(self.case.rate / self.case.believed, rng)
            return [asyncio.create_task(self.probe(number, charge))]
        store = memory.MemoryStore(self.table)
        store.faults.slow_s = STORE_S
        self.stores.append(store)
        part = budget.Budget.from_settings(store, "bench", f"d{number}", wall)
        policy = options.MeasuringPolicy(probes_per_second=self.case.rate)
        part.configure([options.Service(SERVICE, (), measuring=policy)])
        return [
            asyncio.create_task(part.run()),
            asyncio.create_task(self.probe(number, part.charger(SERVICE))),
        ]

    async def probe(self, number: int, charge: Callable[[float], bool]) -> None:
        """Probes whenever it is allowed."""
        while True:
            now = asyncio.get_running_loop().time()
            if charge(now):
                self.probes.append(now)
                self.spent[number] += 1
            await asyncio.sleep(ASK_S)

    def stop(self, number: int) -> None:
        """Ends one daemon."""
        for task in self.tasks[number]:
            task.cancel()

    async def run(self, duration_s: float) -> Row:
        """Runs the fleet and returns its figures."""
        if self.case.restart_s:
            for _ in range(int(duration_s / self.case.restart_s)):
                await asyncio.sleep(self.case.restart_s)
                self.stop(0)
                self.tasks[0] = self.start(0)
        else:
            await asyncio.sleep(duration_s)
        for number in range(self.case.daemons):
            self.stop(number)
        return self.row(duration_s)

    def row(self, duration_s: float) -> Row:
        """Returns the figures."""
        rate = self.case.rate
        steady = self.spent[1:] if self.case.restart_s else self.spent
        return Row(
            self.case.name,
            self.case.daemons,
            rate,
            round(len(self.probes) / duration_s / rate, 3),
            most_in_window(self.probes, max(1.0, 1 / rate)),
            max(1, math.floor(rate)),
            min(steady),
            max(self.spent),
            round(self.calls(READS) / duration_s, 2),
            round(self.calls(WRITES) / duration_s, 2),
        )

    def calls(self, verbs: tuple[str, ...]) -> int:
        """Returns the calls of all daemons by these verbs."""
        return sum(s.calls[verb] for s in self.stores for verb in verbs)


def share(rate: float, rng: random.Random) -> Callable[[float], bool]:
    """Returns a charge that gives each daemon its own part of the budget."""
    # A daemon that starts can't know when the one before it probed last.
    start = asyncio.get_running_loop().time() + rng.uniform(0, 0.5)
    following = [start]

    def charge(now: float) -> bool:
        if now < following[0]:
            return False
        following[0] = now + 1 / rate
        return True

    return charge


def most_in_window(times: list[float], window_s: float) -> int:
    """Returns the most probes in any window that is open at its end."""
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] >= window_s - 1e-9:
            first += 1
        most = max(most, last - first + 1)
    return most


def main(*, json: bool = False, duration_s: float = 300.0) -> None:
    """Measures budgets of several fleets.

    Args:
        json: End in one JSON line.
        duration_s: Length of each measurement on the paused clock.
    """
    rows: list[Row] = []

    async def measure(case: Case) -> Row:
        return await Fleet(case).run(duration_s)

    for case in CASES:
        loops = async_solipsism.EventLoop
        with asyncio.Runner(loop_factory=loops) as runner:
            row = runner.run(measure(case))
        rows.append(row)
        print(*(f"{name}={value!r}" for name, value in row._asdict().items()))
    permits = [row for row in rows if not row.name.startswith("share")]
    over = sum(max(0, row.most - row.allowed) for row in permits)
    if json:
        figures = {"rows": [r._asdict() for r in rows]}
        print(json_lib.dumps({**figures, "measuring_over_budget": over}))
    else:
        print(f"measuring_over_budget={over}")


if __name__ == "__main__":
    defopt.run(main)
