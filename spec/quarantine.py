"""Daemons learn from one another which servers ended under a request.

Each daemon keeps the servers that it knows to have ended under one request, and
refuses the request once there are enough. What a daemon sees itself it tells to
the daemon that is asked, until that says that it has taken it; the word that it
has may be lost. The others fetch from the one that is asked when its mark is a
new one. Any daemon may die and start with nothing known; daemons that see that
the one that is asked is another process tell it what they know.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

# Daemons that only ask, and the place of the one that is asked behind them.
ASKERS = 2
ASKED = ASKERS
ENOUGH = 3
# Servers that end at most, and starts of daemons.
SERVERS = 4
STARTS = 2


class State(NamedTuple):
    """State of all daemons.

    Attributes:
        ended: Servers that have ended, numbered from 0.
        known: Servers that each daemon knows to have ended.
        unsent: Whether each asker has something to tell.
        behind: Whether the one that is asked has something new for each asker.
        starts: Starts of daemons so far.
    """

    ended: int = 0
    known: tuple[tuple[int, ...], ...] = ((),) * (ASKERS + 1)
    unsent: tuple[bool, ...] = (False,) * ASKERS
    behind: tuple[bool, ...] = (False,) * ASKERS
    starts: int = 0


def end_steps(state: State) -> list[Step]:
    """Lists the sendings after which a server ends."""
    if state.ended == SERVERS:
        return []
    steps = []
    for daemon, known in enumerate(state.known):
        if len(known) >= ENOUGH:
            continue
        after = state._replace(
            ended=state.ended + 1,
            known=put(state.known, daemon, (*known, state.ended)),
        )
        if daemon == ASKED:
            after = after._replace(behind=(True,) * ASKERS)
        else:
            after = after._replace(unsent=put(after.unsent, daemon, True))
        steps.append((f"end({daemon})", after))
    return steps


def tell_steps(state: State, variant: str) -> list[Step]:
    """Lists the messages to the one that is asked, with and without answer."""
    steps = []
    for asker in range(ASKERS):
        if not state.unsent[asker]:
            continue
        merged = _merge(state.known[ASKED], state.known[asker], variant)
        after = state._replace(known=put(state.known, ASKED, merged))
        if merged != state.known[ASKED]:
            after = after._replace(behind=(True,) * ASKERS)
        steps.append((f"tell_unanswered({asker})", after))
        told = after._replace(unsent=put(after.unsent, asker, False))
        steps.append((f"tell({asker})", told))
    return steps


def fetch_steps(state: State, variant: str) -> list[Step]:
    """Lists the fetches from the one that is asked."""
    steps = []
    for asker in range(ASKERS):
        if not state.behind[asker]:
            continue
        merged = _merge(state.known[asker], state.known[ASKED], variant)
        after = state._replace(
            known=put(state.known, asker, merged),
            behind=put(state.behind, asker, False),
        )
        steps.append((f"fetch({asker})", after))
    return steps


def start_steps(state: State, variant: str) -> list[Step]:
    """Lists the daemons that may die and start anew."""
    if state.starts == STARTS:
        return []
    begun = state._replace(starts=state.starts + 1)
    steps = []
    for daemon in range(ASKERS + 1):
        after = begun._replace(known=put(state.known, daemon, ()))
        if daemon == ASKED:
            reminds = variant != "nobody_reminds"
            unsent = tuple(
                unsent or (reminds and bool(known))
                for unsent, known in zip(
                    state.unsent, state.known, strict=False
                )
            )
            after = after._replace(unsent=unsent, behind=(False,) * ASKERS)
        else:
            fetches = variant != "starts_without_fetching"
            new = fetches and bool(state.known[ASKED])
            after = after._replace(
                unsent=put(state.unsent, daemon, False),
                behind=put(state.behind, daemon, new),
            )
        steps.append((f"start({daemon})", after))
    return steps


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        return [
            *end_steps(state),
            *tell_steps(state, variant),
            *fetch_steps(state, variant),
            *start_steps(state, variant),
        ]

    return steps


def refused_for_a_reason(state: State) -> bool:
    """No daemon counts more servers than have ended."""
    return all(len(known) <= state.ended for known in state.known)


def all_know(state: State) -> bool:
    """Once all is told and fetched, all daemons refuse if one does."""
    if any(state.unsent) or any(state.behind):
        return True
    return len({len(known) >= ENOUGH for known in state.known}) == 1


def _merge(
    known: tuple[int, ...], told: tuple[int, ...], variant: str
) -> tuple[int, ...]:
    if variant == "ends_are_added_up":
        # More than one above the truth shows nothing further.
        return (known + told)[: SERVERS + 1]
    return tuple(sorted({*known, *told}))


QUARANTINE = Specification(
    name="quarantine",
    bounds={"daemons": ASKERS + 1, "servers": SERVERS, "starts": STARTS},
    initial=State(),
    steps=steps_of,
    properties={
        "refused_for_a_reason": refused_for_a_reason,
        "all_know": all_know,
    },
    broken=(
        Broken(
            "ends_are_added_up",
            "refused_for_a_reason",
            "Numbers of servers are added, so that what is told twice counts"
            " twice.",
        ),
        Broken(
            "nobody_reminds",
            "all_know",
            "A daemon that is asked and starts anew is told only what is new.",
        ),
        Broken(
            "starts_without_fetching",
            "all_know",
            "A daemon that starts waits for the next change.",
        ),
    ),
)
