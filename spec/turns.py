"""Daemons take turns at a server that takes few requests from all of them.

Turn after turn begins, one each tick, and belongs to the daemons in their
order. A daemon may use a turn for some ticks after it began, and once. It dies
and starts again, and has then forgotten what it used; it counts turns that
begin later only. Requests come at any time. What a server gets in a window is
bounded by the turns of the window and of the ticks for which a turn is kept.

Places don't change here: daemons that are told another place while they use
their turns are tested by simulation.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

DAEMONS = 2
# Window and validity of a turn, in ticks.
WINDOW = 3
VALID = 1
TICKS = 7
NEVER = -1


class Daemon(NamedTuple):
    """One daemon.

    Attributes:
        alive: Whether it runs.
        since: First turn that counts for it.
        used: Last turn that it used, as it remembers it.
    """

    alive: bool = True
    since: int = 0
    used: int = NEVER


class State(NamedTuple):
    """State of all daemons.

    Attributes:
        daemons: The daemons, by rank.
        sent: Requests that the server got in each of the last ticks.
        tick: The present tick, which is also the number of the latest turn.
    """

    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    sent: tuple[int, ...] = (0,) * WINDOW
    tick: int = 0


def turn_of(state: State, rank: int, variant: str) -> int | None:
    """Returns the turn that a daemon may use now, or None."""
    daemon = state.daemons[rank]
    oldest = state.tick - VALID
    if variant == "turns_are_saved":
        oldest = 0
    first = max(oldest, daemon.since, 0)
    if variant != "used_turn_counts_again":
        first = max(first, daemon.used + 1)
    for turn in range(first, state.tick + 1):
        if turn % DAEMONS == rank or variant == "everybody_has_every_turn":
            return turn
    return None


def daemon_steps(state: State, variant: str) -> list[Step]:
    """Lists what daemons may do now."""
    steps = []
    for rank, daemon in enumerate(state.daemons):
        if not daemon.alive:
            since = state.tick + 1
            if variant == "start_uses_turns_from_before":
                since = 0
            started = Daemon(since=since)
            steps.append((f"start({rank})", _with(state, rank, started)))
            continue
        dead = Daemon(alive=False)
        steps.append((f"die({rank})", _with(state, rank, dead)))
        turn = turn_of(state, rank, variant)
        if turn is not None:
            sent = (*state.sent[:-1], state.sent[-1] + 1)
            after = _with(state, rank, daemon._replace(used=turn))
            steps.append((f"send({rank})", after._replace(sent=sent)))
    return steps


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found = daemon_steps(state, variant)
        if max(state.sent) > WINDOW + VALID:
            # Broken already.
            return []
        if state.tick < TICKS:
            sent = (*state.sent[1:], 0)
            later = state._replace(sent=sent, tick=state.tick + 1)
            found.append(("tick", later))
        return found

    return steps


def limit_holds(state: State) -> bool:
    """No window has more requests than turns that may be used in it."""
    return sum(state.sent) <= WINDOW + VALID


def _with(state: State, rank: int, daemon: Daemon) -> State:
    return state._replace(daemons=put(state.daemons, rank, daemon))


TURNS = Specification(
    name="turns",
    bounds={"daemons": DAEMONS, "window": WINDOW, "valid": VALID,
            "ticks": TICKS},
    initial=State(),
    steps=steps_of,
    properties={"limit_holds": limit_holds},
    broken=(
        Broken(
            "turns_are_saved",
            "limit_holds",
            "A turn that was not used may be used at any later time.",
        ),
        Broken(
            "used_turn_counts_again",
            "limit_holds",
            "A daemon does not remember which turn it used.",
        ),
        Broken(
            "everybody_has_every_turn",
            "limit_holds",
            "Each daemon keeps the whole limit for itself.",
        ),
        Broken(
            "start_uses_turns_from_before",
            "limit_holds",
            "A daemon that starts uses turns that it may have used already.",
        ),
    ),
)  # fmt: skip
