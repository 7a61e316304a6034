"""The target's sizes, what is assumed of it, and the form of a row."""

import math
from typing import Any, NamedTuple

from bench.slopes_fit import Line, line_from

CALLS = 270_000
DEPTH = 7
SERVERS = 1_200
SERVICES = 120
SERVERS_A_SERVICE = SERVERS // SERVICES
CHANGES_PER_S = 1_800 / 86_400
ADDED_MS = 0.37
ZONES = 6
CONTROL_PERCENT = 4.5
CONTROL_MB = 32
CONTROL_KB_PER_S = 4.0
IN_FORCE_S = 4.0
SERVER_CONNECTIONS = 200
READS_PER_S = 2_000
WRITES_PER_S = 400
MOST_MEMBERS = 1_024
WATCHERS = 3
MOST_KNOWN_CLAIMS = 10_000
RECORDS_A_BLOCK = 10
DAY_S = 86_400

FEW_DAEMONS = 4
UTILISATION = 0.35
KEYED_SHARE = 0.01
CALLER_CONNECTIONS = 500
EVIDENCE_PERIOD_S = 30
VM_LIST_PERIOD_S = 1

ASSUMED = {
    "utilisation of a daemon's core": (
        UTILISATION,
        "below the knee of the measured curve; the target's added latency is"
        " not met at any measured utilisation",
    ),
    "share of keyed non-idempotent calls": (
        KEYED_SHARE,
        "orders, deposits and filings against lookups; not known for the"
        " target",
    ),
    "open connections of callers a daemon": (
        CALLER_CONNECTIONS,
        "kept by the platform's balancer and by services",
    ),
    "writes a second that the object API takes": (
        WRITES_PER_S,
        "the users say several hundred",
    ),
    "daemons that watch the object API": (
        WATCHERS,
        "the default of the settings",
    ),
    "seconds between reads of the VM list": (
        VM_LIST_PERIOD_S,
        "the default of the settings",
    ),
    "a call": (
        1,
        "each of the 270,000 calls a second passes one daemon once; a caller"
        " 7 deep meets 7 of them in turn",
    ),
}

MEASURED = "measured"
EXTRAPOLATED = "extrapolated"
ASSUMPTION = "assumed"


class Row(NamedTuple):
    """One line of the page.

    Attributes:
        role: Whose cost it is.
        what: What is counted, with its unit.
        arithmetic: From slopes to the figure.
        value: The figure.
        limit: What the target allows, or None.
        mark: Measured, extrapolated or assumed.
        carried_by: Module that carries it.
    """

    role: str
    what: str
    arithmetic: str
    value: float
    limit: float | None
    mark: str
    carried_by: str

    @property
    def verdict(self) -> str:
        """Whether the target is met, with the ratio if it is not."""
        if self.limit is None:
            return ""
        if self.value <= self.limit:
            return "within"
        return f"misses, {self.value / self.limit:.4g} times"


class Slopes:
    """Lines and figures of a result, by step."""

    def __init__(self, result: dict[str, Any]) -> None:
        self.steps = result["steps"]

    def line(self, step: str, name: str, over: str = "") -> Line:
        """Returns the line whose name and size begin with the texts."""
        for data in self.steps[step]["lines"]:
            if data["name"].startswith(name) and data["over"].startswith(over):
                return line_from(data)
        raise KeyError(f"{step}: {name} over {over}")

    def figure(self, step: str, name: str) -> float:
        """Returns a single figure."""
        return self.steps[step]["figures"][name]


class Fleet(NamedTuple):
    """Sizes that follow from the slopes.

    Attributes:
        call_us: Processor time of a call.
        cores: Cores that all calls keep busy.
        daemons: Daemons for all calls at the assumed utilisation.
        with_spare: Daemons so that one zone may be lost.
    """

    call_us: float
    cores: float
    daemons: int
    with_spare: int


def fleet(slopes: Slopes) -> Fleet:
    """Returns how many daemons the target needs."""
    call_us = slopes.figure("call", "call_cpu_us")
    cores = CALLS * call_us / 1e6
    daemons = math.ceil(cores / UTILISATION)
    a_zone = math.ceil(daemons / (ZONES - 1))
    return Fleet(call_us, cores, daemons, a_zone * ZONES)
