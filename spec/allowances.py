"""Relays grant requests of an organisation, each from a bucket of tokens.

Each tick adds a token to each bucket, up to its capacity. A relay dies and
starts again, and has then forgotten what it granted; its bucket is empty. A
grant is used by a request, or given back. What runs in a window is bounded by
the tokens that the window adds and by one full bucket for each relay.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

RELAYS = 2
CAPACITY = 2
# Window in ticks; tokens are added between them.
WINDOW = 3
TICKS = 6
LIMIT = RELAYS * (CAPACITY + WINDOW - 1)


class Relay(NamedTuple):
    """One relay.

    Attributes:
        alive: Whether it runs.
        tokens: Requests that it may grant now.
    """

    alive: bool = True
    tokens: int = CAPACITY


class State(NamedTuple):
    """State of all relays.

    Attributes:
        relays: The relays.
        ran: Requests that ran in each of the last ticks.
        tick: The present tick.
    """

    relays: tuple[Relay, ...] = (Relay(),) * RELAYS
    ran: tuple[int, ...] = (0,) * WINDOW
    tick: int = 0


def relay_steps(state: State, variant: str) -> list[Step]:
    """Lists what may happen at relays now."""
    steps = []
    for index, relay in enumerate(state.relays):
        if not relay.alive:
            tokens = CAPACITY if variant == "start_with_full_bucket" else 0
            started = _with(state, index, Relay(tokens=tokens))
            steps.append((f"start({index})", started))
            continue
        dead = _with(state, index, Relay(alive=False, tokens=0))
        steps.append((f"die({index})", dead))
        if relay.tokens:
            left = relay.tokens - 1
            if variant == "used_grant_is_given_back":
                left = relay.tokens
            ran = (*state.ran[:-1], state.ran[-1] + 1)
            after = _with(state, index, relay._replace(tokens=left))
            steps.append((f"run({index})", after._replace(ran=ran)))
    return steps


def next_tick(state: State, variant: str) -> State:
    """Adds a token to each bucket."""
    capacity = TICKS if variant == "bucket_without_bound" else CAPACITY
    relays = tuple(
        relay._replace(tokens=min(capacity, relay.tokens + 1))
        if relay.alive
        else relay
        for relay in state.relays
    )
    return State(relays, (*state.ran[1:], 0), state.tick + 1)


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        if not limit_holds(state):
            # Broken already.
            return []
        found = relay_steps(state, variant)
        if state.tick < TICKS:
            found.append(("tick", next_tick(state, variant)))
        return found

    return steps


def limit_holds(state: State) -> bool:
    """No window has more requests than its tokens and one burst."""
    return sum(state.ran) <= LIMIT


def _with(state: State, index: int, relay: Relay) -> State:
    return state._replace(relays=put(state.relays, index, relay))


ALLOWANCES = Specification(
    name="allowances",
    bounds={"relays": RELAYS, "capacity": CAPACITY, "window": WINDOW,
            "ticks": TICKS},
    initial=State(),
    steps=steps_of,
    properties={"limit_holds": limit_holds},
    broken=(
        Broken(
            "start_with_full_bucket",
            "limit_holds",
            "A relay that starts grants a burst that it may have granted.",
        ),
        Broken(
            "bucket_without_bound",
            "limit_holds",
            "Tokens that were not used are saved without a bound.",
        ),
        Broken(
            "used_grant_is_given_back",
            "limit_holds",
            "The grant of a request that ran may be used again.",
        ),
    ),
)  # fmt: skip
