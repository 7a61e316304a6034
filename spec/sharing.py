"""Daemons share a fixed number of repeated sends, each by its own count.

At each instant a daemon takes the part of the budget that its count of living
daemons gives it; the parts at one instant never add up to more than the whole.
Daemons die and start, alone or together; a daemon that starts has forgotten
what it sent. Sends are counted over a sliding window.

A daemon may use at most the least part that it had at any time of the last
window, and had none before its start. Two parts that are used in one window
then both held at the window's begin, when they added up to the whole at most.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps

DAEMONS = 3
# The budget; divisible by every number of daemons.
SENDS = 6
# Window, in ticks.
WINDOW = 3
TICKS = 5


class Daemon(NamedTuple):
    """One daemon.

    Attributes:
        alive: Whether it runs.
        parts: Its part at each of the last ticks, the latest last.
        used: What it sent in each of them, as it remembers it.
    """

    alive: bool = False
    parts: tuple[int, ...] = (0,) * WINDOW
    used: tuple[int, ...] = (0,) * WINDOW


class State(NamedTuple):
    """State of all daemons.

    Attributes:
        daemons: The daemons.
        sent: What all of them sent in each of the last ticks.
        ticks: Ticks so far.
    """

    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    sent: tuple[int, ...] = (0,) * WINDOW
    ticks: int = 0


def allowed(daemon: Daemon, variant: str) -> int:
    """Returns how much a daemon may use in a window."""
    if variant == "part_grows_at_once":
        return daemon.parts[-1]
    if variant == "least_of_a_shorter_time":
        return min(daemon.parts[-(WINDOW - 1) :])
    return min(daemon.parts)


def send_steps(state: State, variant: str) -> list[Step]:
    """Lists the sends that daemons may make now."""
    steps = []
    for number, daemon in enumerate(state.daemons):
        if not daemon.alive or sum(daemon.used) >= allowed(daemon, variant):
            continue
        used = (*daemon.used[:-1], daemon.used[-1] + 1)
        sent = (*state.sent[:-1], state.sent[-1] + 1)
        after = _with(state, number, daemon._replace(used=used))
        steps.append((f"send({number})", after._replace(sent=sent)))
    return steps


def life_steps(state: State, variant: str) -> list[Step]:
    """Lists the deaths and starts that may happen now."""
    steps = []
    for number, daemon in enumerate(state.daemons):
        if daemon.alive:
            steps.append((f"die({number})", _with(state, number, Daemon())))
            continue
        started = Daemon(alive=True)
        if variant == "start_takes_its_part_at_once":
            part = SENDS // (_alive(state) + 1)
            started = Daemon(True, (part,) * WINDOW)
        steps.append((f"start({number})", _with(state, number, started)))
    return steps


def tick(state: State) -> State:
    """Passes time; every daemon counts the living ones anew."""
    part = SENDS // max(1, _alive(state))
    daemons = tuple(
        daemon._replace(
            parts=(*daemon.parts[1:], part), used=(*daemon.used[1:], 0)
        )
        if daemon.alive
        else daemon
        for daemon in state.daemons
    )
    return State(daemons, (*state.sent[1:], 0), state.ticks + 1)


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found = [*send_steps(state, variant), *life_steps(state, variant)]
        if state.ticks < TICKS:
            found.append(("tick", tick(state)))
        return found

    return steps


def budget_holds(state: State) -> bool:
    """No window has more sends than the budget."""
    return sum(state.sent) <= SENDS


def _alive(state: State) -> int:
    return sum(daemon.alive for daemon in state.daemons)


def _with(state: State, number: int, daemon: Daemon) -> State:
    daemons = list(state.daemons)
    daemons[number] = daemon
    return state._replace(daemons=tuple(daemons))


SHARING = Specification(
    name="sharing",
    bounds={"daemons": DAEMONS, "sends": SENDS, "window": WINDOW,
            "ticks": TICKS},
    initial=State(),
    steps=steps_of,
    properties={"budget_holds": budget_holds},
    broken=(
        Broken(
            "part_grows_at_once",
            "budget_holds",
            "The living take the part of a daemon that used it and died.",
        ),
        Broken(
            "least_of_a_shorter_time",
            "budget_holds",
            "The least part is taken over a shorter time than the window.",
        ),
        Broken(
            "start_takes_its_part_at_once",
            "budget_holds",
            "A daemon that starts uses its part again.",
        ),
    ),
)  # fmt: skip
