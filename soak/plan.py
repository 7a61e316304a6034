"""The faults of a run, drawn from its seed before it starts."""

import random
from collections.abc import Callable
from typing import NamedTuple

from soak import partitions
from standins import endless_server

# Nothing happens before callers are served.
FIRST_S = 1.0
# Quiet end of a run, in which the system must serve again.
QUIET_S = 6.0
# Mean time between two steps, in seconds.
STEP_S = 0.7
# Share of the steps that begin together with the one before.
TOGETHER = 0.2


class Sizes(NamedTuple):
    """How large a run is.

    Attributes:
        daemons: Gateway processes.
        servers: Servers of each service.
        callers: Callers that keep connections open.
        seconds: Length, in seconds.
        routes: Routes of the document besides those that callers use.
    """

    daemons: int = 4
    servers: int = 4
    callers: int = 12
    seconds: float = 24.0
    routes: int = 0


class Step(NamedTuple):
    """One fault or planned change.

    Attributes:
        at_s: When it begins, in seconds from the start.
        for_s: How long it lasts; 0 for an event.
        kind: Name in `KINDS`.
        target: Number of the daemon or server, for kinds that have one.
        x: How strong it is, from 0 to 1.
        choice: Which variant, for kinds that have several.
    """

    at_s: float
    for_s: float
    kind: str
    target: int
    x: float
    choice: str


class Kind(NamedTuple):
    """How steps of a kind are drawn.

    Attributes:
        weight: How often, relative to the others.
        longest_s: Longest duration; 0 for an event.
        choices: Variants.
    """

    weight: float
    longest_s: float = 0.0
    choices: tuple[str, ...] = ("",)


class Plan(NamedTuple):
    """All steps of a run in order."""

    seed: int
    sizes: Sizes
    steps: tuple[Step, ...]


LINK_TROUBLES = ("delay", "reset", "held_in", "held_out", "silent", "refused")
SERVER_FAULTS = (
    "silent", "mute", "lose", "reset", "cut", "twice", "shed", "fail",
    "unsigned", "ill", "unframed", "other_id", "slow",
)  # fmt: skip
STORE_FAULTS = ("down", "busy", "silent", "reset", "slow", "lost")

KINDS = {
    "pause daemon": Kind(2, 3.0),
    "kill daemon": Kind(2, 2.0),
    "kill all daemons": Kind(0.3, 1.0),
    "restart daemon": Kind(3, 1.0),
    "reload daemon": Kind(1),
    "caller link": Kind(2, 3.0, LINK_TROUBLES),
    "store link": Kind(2, 4.0, LINK_TROUBLES),
    "control link": Kind(2, 4.0, LINK_TROUBLES),
    "server link": Kind(3, 3.0, LINK_TROUBLES),
    "server fault": Kind(5, 4.0, SERVER_FAULTS),
    "server crash": Kind(2, 2.0),
    "server leaves": Kind(3, 0.0, ("told", "untold")),
    "server address reused": Kind(1),
    "store": Kind(2, 4.0, STORE_FAULTS),
    "store forgets": Kind(1),
    "document": Kind(3, 0.0, ("one", "storm")),
}

# Kinds of trouble that were added later. Earlier seeds keep the plans that they
# were played with.
FIRST_LATER_SEED = 1000
LATER_KINDS = KINDS | {
    "server starts again": Kind(2, 2.0),
    "server entry spoilt": Kind(1, 2.0, ("nothing", "text", "half", "types")),
}
FIRST_POWER_SEED = 2000
POWER_KINDS = LATER_KINDS | {"power lost": Kind(2, 1.0)}
FIRST_ENDING_SEED = 3000
ENDING_KINDS = POWER_KINDS | {"request ends servers": Kind(3, 9.0)}
FIRST_EVACUATION_SEED = 4000
EVACUATION_KINDS = ENDING_KINDS | {"zone evacuated": Kind(4, 10.0)}
FIRST_LIMIT_SEED = 5000
LIMIT_KINDS = EVACUATION_KINDS | {
    "server names a limit": Kind(4, 20.0, ("one", "all"))
}
FIRST_PARTITION_SEED = 7000
FIRST_BACKOFF_SEED = 6000
BACKOFF_KINDS = LIMIT_KINDS | {
    "server asks for a backoff": Kind(4, 8.0, ("one", "all")),
    "server states its leaving": Kind(4),
}

PARTITION_KINDS = BACKOFF_KINDS | {
    "daemons partitioned": Kind(4, 9.0, partitions.CHOICES)
}
FIRST_ORGANISATION_SEED = 50_000
ORGANISATION_KINDS = PARTITION_KINDS | {
    "key removed": Kind(4, 6.0),
    "allowance exceeded": Kind(4, 8.0),
}
FIRST_RESTORE_SEED = 60_000
RESTORE_KINDS = ORGANISATION_KINDS | {"store restored": Kind(4, 3.0)}
FIRST_ENDLESS_SEED = 70_000
ENDLESS_KINDS = RESTORE_KINDS | {
    "server sends without end": Kind(6, 4.0, tuple(endless_server.NO_ANSWER)),
    "caller sends without end": Kind(4, 3.0, tuple(endless_server.NO_REQUEST)),
}
FIRST_RELAY_SEED = 80_000
RELAY_KINDS = ENDLESS_KINDS | {
    "relays replaced": Kind(5, 6.0, ("alive", "lost one", "lost all")),
}


def has_organisations(seed: int) -> bool:
    """Returns whether the callers of a seed need keys."""
    return seed >= FIRST_ORGANISATION_SEED


def kinds_of(seed: int) -> dict[str, Kind]:
    """Returns the kinds of trouble that the plan of a seed is drawn from."""
    if seed < FIRST_LATER_SEED:
        return KINDS
    if seed < FIRST_POWER_SEED:
        return LATER_KINDS
    if seed < FIRST_ENDING_SEED:
        return POWER_KINDS
    if seed < FIRST_EVACUATION_SEED:
        return ENDING_KINDS
    if seed < FIRST_LIMIT_SEED:
        return EVACUATION_KINDS
    if seed < FIRST_BACKOFF_SEED:
        return LIMIT_KINDS
    if seed < FIRST_PARTITION_SEED:
        return BACKOFF_KINDS
    if not has_organisations(seed):
        return PARTITION_KINDS
    if seed < FIRST_RESTORE_SEED:
        return ORGANISATION_KINDS
    if seed < FIRST_ENDLESS_SEED:
        return RESTORE_KINDS
    if seed < FIRST_RELAY_SEED:
        return ENDLESS_KINDS
    return RELAY_KINDS


def draw(seed: int, sizes: Sizes) -> Plan:
    """Returns the steps that belong to a seed."""
    kinds = kinds_of(seed)
    rng = random.Random(seed)
    last_s = sizes.seconds - QUIET_S
    steps = []
    at_s = FIRST_S
    while True:
        if not steps or rng.random() >= TOGETHER:
            at_s += rng.expovariate(1 / STEP_S)
        if at_s >= last_s:
            return Plan(seed, sizes, tuple(steps))
        steps.append(_step(rng, at_s, last_s, sizes, kinds))


def _step(
    rng: random.Random,
    at_s: float,
    last_s: float,
    sizes: Sizes,
    kinds: dict[str, Kind],
) -> Step:
    names = sorted(kinds)
    weights = [kinds[name].weight for name in names]
    name = rng.choices(names, weights)[0]
    kind = kinds[name]
    pick: Callable[[int], int] = rng.randrange
    most = 2 * sizes.servers if name.startswith("server") else sizes.daemons
    return Step(
        at_s=round(at_s, 3),
        for_s=round(min(rng.random() * kind.longest_s, last_s - at_s), 3),
        kind=name,
        target=pick(most),
        x=round(rng.random(), 3),
        choice=rng.choice(kind.choices),
    )
