"""Spread of accepted bundles to daemons, each of which holds one.

Bundles are accepted one after the other. A daemon fetches from the store, by
watch or read, which may be stale by any number of versions, or from a peer;
it may be paused for any time between fetching and applying, and forgets
everything on a restart. An outage of the store is any run in which no daemon
fetches from it; links that fail are runs without fetches from a peer.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

VERSIONS = 3
DAEMONS = 3
FETCHES = 2
NOTHING = 0
CLOCK_LAG = 2


class Daemon(NamedTuple):
    """One daemon.

    Attributes:
        held: Version in force, `NOTHING` after a start.
        fetched: Versions that were fetched and not applied yet.
    """

    held: int = NOTHING
    fetched: frozenset[int] = frozenset()


class State(NamedTuple):
    """State of the store and the daemons.

    Attributes:
        accepted: Newest accepted version.
        daemons: All daemons.
        reverted: Whether a daemon ever replaced a bundle by an older one.
    """

    accepted: int = 0
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    reverted: bool = False


def stamp(version: int) -> int:
    """Returns the time of acceptance by the clock of the operator.

    Even versions are accepted by an operator whose clock lags.
    """
    return version - CLOCK_LAG * (version % 2 == 0)


def newer(version: int, held: int, variant: str) -> bool:
    """Tells whether a daemon replaces `held` by `version`."""
    if variant == "last_read_wins":
        return version != held
    if variant == "version_by_time" and held != NOTHING:
        return stamp(version) > stamp(held)
    return version > held


def offers(state: State, index: int, variant: str) -> dict[int, str]:
    """Returns what a daemon may fetch, and from where."""
    found = dict.fromkeys(range(1, state.accepted + 1), "store")
    for peer, daemon in enumerate(state.daemons):
        if peer != index and daemon.held != NOTHING:
            found.setdefault(daemon.held, "peer")
    if variant == "spread_before_acceptance":
        found[state.accepted + 1] = "proposal"
    return found


def with_daemon(state: State, index: int, daemon: Daemon) -> State:
    """Returns the state with one daemon replaced."""
    return state._replace(daemons=put(state.daemons, index, daemon))


def fetches(state: State, index: int, variant: str) -> list[Step]:
    """Lists the fetches of a daemon, several of which may be under way."""
    held, fetched = state.daemons[index]
    if len(fetched) == FETCHES:
        return []
    steps: list[Step] = []
    for version, source in offers(state, index, variant).items():
        if newer(version, held, variant) and version not in fetched:
            after = Daemon(held, fetched | {version})
            label = f"fetch({index},{version},{source})"
            steps.append((label, with_daemon(state, index, after)))
    return steps


def apply(state: State, index: int, version: int, variant: str) -> Step:
    """Lets a daemon apply what it fetched, if that is still newer."""
    held, fetched = state.daemons[index]
    rest = fetched - {version}
    unchecked = variant == "compare_only_when_fetched"
    if not unchecked and not newer(version, held, variant):
        dropped = with_daemon(state, index, Daemon(held, rest))
        return f"drop({index},{version})", dropped
    applied = with_daemon(state, index, Daemon(version, rest))
    reverted = state.reverted or version < held
    return f"apply({index},{version})", applied._replace(reverted=reverted)


def daemon_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps of one daemon."""
    daemon = state.daemons[index]
    steps = fetches(state, index, variant)
    for version in sorted(daemon.fetched):
        steps.append(apply(state, index, version, variant))
    if daemon != Daemon():
        restarted = with_daemon(state, index, Daemon())
        steps.append((f"restart({index})", restarted))
    return steps


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found: list[Step] = []
        if state.accepted < VERSIONS:
            after = state._replace(accepted=state.accepted + 1)
            found.append(("accept", after))
        for index in range(len(state.daemons)):
            found += daemon_steps(state, index, variant)
        return found

    return steps


def version_never_goes_down(state: State) -> bool:
    """No running daemon replaces a bundle by an older one."""
    return not state.reverted


def held_was_accepted(state: State) -> bool:
    """A daemon holds only what the store accepted."""
    return all(daemon.held <= state.accepted for daemon in state.daemons)


SPREAD = Specification(
    name="spread",
    bounds={
        "versions": VERSIONS,
        "daemons": DAEMONS,
        "fetches_under_way": FETCHES,
    },
    initial=State(),
    steps=steps_of,
    properties={
        "version_never_goes_down": version_never_goes_down,
        "held_was_accepted": held_was_accepted,
    },
    broken=(
        Broken(
            "version_by_time",
            "version_never_goes_down",
            "Bundles are compared by the operators' clocks.",
        ),
        Broken(
            "last_read_wins",
            "version_never_goes_down",
            "A daemon takes whatever it read last.",
        ),
        Broken(
            "compare_only_when_fetched",
            "version_never_goes_down",
            "A daemon applies what it fetched without comparing again.",
        ),
        Broken(
            "spread_before_acceptance",
            "held_was_accepted",
            "Daemons take a proposal before the store accepted it.",
        ),
    ),
)
