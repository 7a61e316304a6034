"""Claim of one idempotency key by conditional create, over several daemons.

Each try of the caller reaches another daemon, at any time and side by side.
A daemon creates the key's record with a nonce of its own and sends the
request to a backend server only when the claim was granted. An answer of
the store can be lost before or after the write took effect, and a write
whose answer timed out may still take effect later. A daemon may be paused
for any time between two steps, or be killed.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

TRIES = 3

IDLE = "idle"
SENT = "sent"
CREATED = "created"
CONFLICTED = "conflicted"
UNSURE = "unsure"
GRANTED = "granted"
RELEASING = "releasing"
RUN = "run"
UNSETTLED = "unsettled"
FINISHED = "finished"
NOT_RUN = "not_run"
REPEATED = "repeated"
DEAD = "dead"

FREE = -1
HOLDING = (GRANTED, RUN, UNSETTLED, FINISHED)


class Try(NamedTuple):
    """One try of the caller, handled by one daemon.

    Attributes:
        phase: Where it is; `NOT_RUN` and `REPEATED` are what was told.
        runs: How often the backend server ran the request for it.
        late_create: Whether an abandoned create may still take effect.
        late_delete: Whether an abandoned delete may still take effect.
    """

    phase: str = IDLE
    runs: int = 0
    late_create: bool = False
    late_delete: bool = False


class State(NamedTuple):
    """State of the key's record and of all tries.

    Attributes:
        owner: Try whose nonce the record holds, or `FREE`.
        tries: All tries.
    """

    owner: int = FREE
    tries: tuple[Try, ...] = (Try(),) * TRIES


def with_try(state: State, index: int, **changes: object) -> State:
    """Returns the state with one try changed."""
    changed = state.tries[index]._replace(**changes)
    return state._replace(tries=put(state.tries, index, changed))


def create(state: State, index: int) -> tuple[State, bool]:
    """Lets a create reach the store; it must not find a record."""
    if state.owner != FREE:
        return state, False
    return state._replace(owner=index), True


def delete(state: State, index: int, variant: str) -> State:
    """Lets a delete reach the store; it must find the try's own record."""
    if state.owner == index or variant == "release_without_condition":
        return state._replace(owner=FREE)
    return state


def sent_steps(state: State, index: int) -> list[Step]:
    """Lists what can become of a create that was sent."""
    after, taken = create(state, index)
    phase = CREATED if taken else CONFLICTED
    return [
        (f"create({index})", with_try(after, index, phase=phase)),
        (
            f"create_times_out({index})",
            with_try(state, index, phase=UNSURE, late_create=True),
        ),
        (f"create_fails({index})", with_try(state, index, phase=UNSURE)),
    ]


def unsure_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists how a try whose answer was lost goes on."""
    not_run = with_try(state, index, phase=NOT_RUN)
    steps = [(f"give_up({index})", not_run)]
    if variant == "claim_without_read_back":
        granted = with_try(state, index, phase=GRANTED)
        return steps + [(f"assume_granted({index})", granted)]
    found = state.owner != FREE
    mine = state.owner == index or variant == "read_back_without_nonce"
    if found and mine:
        phase = GRANTED
    elif found:
        phase = REPEATED
    else:
        phase = SENT
    settled = with_try(state, index, phase=phase)
    return steps + [(f"read_back({index})", settled)]


def granted_steps(state: State, index: int) -> list[Step]:
    """Lists what a daemon does with a granted claim."""
    return [
        (f"run({index})", run(state, index, RUN)),
        (f"run_unsettled({index})", run(state, index, UNSETTLED)),
        (f"bytes_lost({index})", with_try(state, index, phase=UNSETTLED)),
        (f"connect_fails({index})", with_try(state, index, phase=RELEASING)),
    ]


def run(state: State, index: int, phase: str) -> State:
    """Lets a backend server run the request for a try."""
    runs = state.tries[index].runs + 1
    return with_try(state, index, phase=phase, runs=runs)


def releasing_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what can become of the delete of a claim."""
    deleted = delete(state, index, variant)
    late = with_try(state, index, phase=NOT_RUN, late_delete=True)
    again = with_try(deleted, index, phase=NOT_RUN, late_delete=True)
    return [
        (f"delete({index})", with_try(deleted, index, phase=NOT_RUN)),
        (f"delete_times_out({index})", late),
        (f"delete_twice({index})", again),
    ]


def run_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what follows after the request was sent to a server."""
    finished = with_try(state, index, phase=FINISHED)
    steps = [(f"finish({index})", finished)]
    if variant == "release_after_send":
        released = delete(state, index, variant)
        released = with_try(released, index, phase=UNSETTLED)
        steps.append((f"release_after_send({index})", released))
    if variant == "not_run_after_send":
        told = with_try(state, index, phase=NOT_RUN)
        steps.append((f"tell_not_run({index})", told))
    return steps


def take_over(state: State, index: int) -> list[Step]:
    """Lets a try take the record of another whose lease has expired."""
    if state.owner in (FREE, index):
        return []
    taken = with_try(state._replace(owner=index), index, phase=GRANTED)
    return [(f"take_over({index})", taken)]


def phase_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps that the phase of a try allows."""
    phase = state.tries[index].phase
    if phase == IDLE:
        return [(f"send({index})", with_try(state, index, phase=SENT))]
    if phase == SENT:
        return sent_steps(state, index)
    if phase in (CREATED, CONFLICTED):
        told = GRANTED if phase == CREATED else REPEATED
        lost = with_try(state, index, phase=UNSURE)
        steps = [
            (f"answer({index})", with_try(state, index, phase=told)),
            (f"answer_lost({index})", lost),
        ]
        expired = phase == CONFLICTED and variant == "lease_expiry_grants"
        return steps + (take_over(state, index) if expired else [])
    if phase == UNSURE:
        return unsure_steps(state, index, variant)
    if phase == GRANTED:
        return granted_steps(state, index)
    if phase == RELEASING:
        return releasing_steps(state, index, variant)
    if phase in (RUN, UNSETTLED):
        return run_steps(state, index, variant)
    return []


def late_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists abandoned writes that take effect late."""
    steps: list[Step] = []
    if state.tries[index].late_create:
        after, _ = create(state, index)
        landed = with_try(after, index, late_create=False)
        steps.append((f"late_create({index})", landed))
    if state.tries[index].late_delete:
        after = delete(state, index, variant)
        landed = with_try(after, index, late_delete=False)
        steps.append((f"late_delete({index})", landed))
    return steps


def kill(state: State, index: int) -> list[Step]:
    """Lets the daemon of a try die while it is at work."""
    if state.tries[index].phase in (IDLE, NOT_RUN, REPEATED, FINISHED, DEAD):
        return []
    return [(f"kill({index})", with_try(state, index, phase=DEAD))]


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found: list[Step] = []
        for index in range(len(state.tries)):
            found += phase_steps(state, index, variant)
            found += late_steps(state, index, variant)
            found += kill(state, index)
        return found

    return steps


def runs_at_most_once(state: State) -> bool:
    """The backend servers run the request at most once."""
    return sum(item.runs for item in state.tries) <= 1


def told_not_run_was_not_run(state: State) -> bool:
    """A try that is told "not run" was not run."""
    return not any(item.phase == NOT_RUN and item.runs for item in state.tries)


def granted_to_one(state: State) -> bool:
    """At most one try holds the right to run, or has used it."""
    holders = [item for item in state.tries if item.phase in HOLDING]
    return len(holders) <= 1


CLAIMS = Specification(
    name="claims",
    bounds={"keys": 1, "tries": TRIES, "daemons": TRIES},
    initial=State(),
    steps=steps_of,
    properties={
        "runs_at_most_once": runs_at_most_once,
        "told_not_run_was_not_run": told_not_run_was_not_run,
        "granted_to_one": granted_to_one,
    },
    broken=(
        Broken(
            "claim_without_read_back",
            "runs_at_most_once",
            "A lost answer of a create counts as granted.",
        ),
        Broken(
            "read_back_without_nonce",
            "granted_to_one",
            "Any record that is read back counts as the try's own.",
        ),
        Broken(
            "release_after_send",
            "runs_at_most_once",
            "A claim is given back though bytes reached a server.",
        ),
        Broken(
            "release_without_condition",
            "granted_to_one",
            "A late delete removes the claim of another try.",
        ),
        Broken(
            "lease_expiry_grants",
            "runs_at_most_once",
            "A claim whose holder is paused is granted to another.",
        ),
        Broken(
            "not_run_after_send",
            "told_not_run_was_not_run",
            "A failure after the first byte is told as not run.",
        ),
    ),
)
