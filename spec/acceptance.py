"""Acceptance of bundles by conditional update among racing operators.

Operators read the head, propose the next version and write it on the
condition that the head is still the one that they read. An answer can be
lost before or after the write took effect, and a write whose answer timed
out may still take effect later. Reads may be stale by any number of
versions. An operator that does not know its outcome reads back and, while
its version is still free, writes once more on the same condition.
"""

from typing import NamedTuple

from spec.specification import (
    Broken,
    Specification,
    Step,
    Steps,
    distinct,
    put,
)

OPERATORS = 3

IDLE = "idle"
READY = "ready"
SENT = "sent"
WRITTEN = "written"
CONFLICTED = "conflicted"
UNSURE = "unsure"
ACCEPTED = "accepted"
LOST = "lost"


class Operator(NamedTuple):
    """One operator with one bundle to roll.

    Attributes:
        phase: Where it is; `ACCEPTED` and `LOST` are what it was told.
        base: Version of the head that the proposal builds on.
        late: Whether an abandoned write may still take effect.
        retried: Whether the write was sent a second time.
    """

    phase: str = IDLE
    base: int = 0
    late: bool = False
    retried: bool = False


class State(NamedTuple):
    """State of the store and the operators.

    Attributes:
        history: Version and operator of each write, in order.
        operators: All operators.
    """

    history: tuple[tuple[int, int], ...] = ()
    operators: tuple[Operator, ...] = (Operator(),) * OPERATORS


def head(state: State) -> int:
    """Returns the version of the last write, 0 before the first."""
    return state.history[-1][0] if state.history else 0


def with_operator(state: State, index: int, **changes: object) -> State:
    """Returns the state with one operator changed."""
    operator = state.operators[index]._replace(**changes)
    return state._replace(operators=put(state.operators, index, operator))


def write(state: State, index: int, variant: str) -> tuple[State, bool]:
    """Lets the write of an operator reach the store."""
    base = state.operators[index].base
    condition = variant != "accept_without_condition"
    if condition and head(state) != base:
        return state, False
    history = state.history + ((base + 1, index),)
    return state._replace(history=history), True


def read_back(state: State, index: int, seen: int) -> list[Step]:
    """Settles an unknown outcome from the first `seen` accepted bundles."""
    operator = state.operators[index]
    found = [
        proposer
        for version, proposer in state.history[:seen]
        if version == operator.base + 1
    ]
    label = f"read_back({index},{seen})"
    if index in found:
        return [(label, with_operator(state, index, phase=ACCEPTED))]
    if found:
        return [(label, with_operator(state, index, phase=LOST))]
    if operator.retried:
        return []
    again = with_operator(state, index, phase=SENT, retried=True)
    return [(label, again)]


def unsure_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps of an operator whose answer was lost."""
    steps: list[Step] = []
    for seen in range(len(state.history) + 1):
        steps += read_back(state, index, seen)
    if variant == "unknown_means_accepted":
        told = with_operator(state, index, phase=ACCEPTED)
        steps.append((f"tell_accepted({index})", told))
    if variant == "unchanged_head_means_lost" and (
        head(state) == state.operators[index].base
    ):
        told = with_operator(state, index, phase=LOST)
        steps.append((f"tell_lost({index})", told))
    return steps


def answered(state: State, index: int, variant: str) -> list[Step]:
    """Lists the ways in which the store's answer reaches an operator."""
    operator = state.operators[index]
    lost = with_operator(state, index, phase=UNSURE)
    steps = [(f"answer_lost({index})", lost)]
    phase = ACCEPTED if operator.phase == WRITTEN else LOST
    first_try = not operator.retried or variant == "accept_without_read_back"
    if phase == LOST and not first_try:
        phase = UNSURE
    told = with_operator(state, index, phase=phase)
    return steps + [(f"answer({index})", told)]


def sent_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what can become of a write that was sent."""
    after, taken = write(state, index, variant)
    phase = WRITTEN if taken else CONFLICTED
    return [
        (f"write({index})", with_operator(after, index, phase=phase)),
        (
            f"time_out({index})",
            with_operator(state, index, phase=UNSURE, late=True),
        ),
        (f"fail({index})", with_operator(state, index, phase=UNSURE)),
    ]


def operator_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps of one operator and of its writes."""
    phase = state.operators[index].phase
    steps: list[Step] = []
    if phase == IDLE:
        for base in range(head(state) + 1):
            ready = with_operator(state, index, phase=READY, base=base)
            steps.append((f"read_head({index},{base})", ready))
    elif phase == READY:
        sent = with_operator(state, index, phase=SENT)
        steps.append((f"send({index})", sent))
    elif phase == SENT:
        steps += sent_steps(state, index, variant)
    elif phase in (WRITTEN, CONFLICTED):
        steps += answered(state, index, variant)
    elif phase == UNSURE:
        steps += unsure_steps(state, index, variant)
    if state.operators[index].late:
        after, _ = write(state, index, variant)
        landed = with_operator(after, index, late=False)
        steps.append((f"late_write({index})", landed))
    return steps


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found: list[Step] = []
        for index in range(len(state.operators)):
            found += operator_steps(state, index, variant)
        return found

    return steps


def one_bundle_a_version(state: State) -> bool:
    """At most one bundle is accepted for each version."""
    return distinct(version for version, _ in state.history)


def told_accepted_is_accepted(state: State) -> bool:
    """An operator who is told "accepted" has a bundle in the history."""
    return all(
        (operator.base + 1, index) in state.history
        for index, operator in enumerate(state.operators)
        if operator.phase == ACCEPTED
    )


def told_lost_is_not_accepted(state: State) -> bool:
    """An operator who is told "lost" has no bundle in the history."""
    return not any(
        operator.phase == LOST and proposer == index
        for index, operator in enumerate(state.operators)
        for _, proposer in state.history
    )


ACCEPTANCE = Specification(
    name="acceptance",
    bounds={"operators": OPERATORS, "rolls_an_operator": 1},
    initial=State(),
    steps=steps_of,
    properties={
        "one_bundle_a_version": one_bundle_a_version,
        "told_accepted_is_accepted": told_accepted_is_accepted,
        "told_lost_is_not_accepted": told_lost_is_not_accepted,
    },
    broken=(
        Broken(
            "accept_without_condition",
            "one_bundle_a_version",
            "The head is written whatever it is.",
        ),
        Broken(
            "unknown_means_accepted",
            "told_accepted_is_accepted",
            "A lost answer counts as accepted.",
        ),
        Broken(
            "accept_without_read_back",
            "told_lost_is_not_accepted",
            "A conflict of a second try counts as lost.",
        ),
        Broken(
            "unchanged_head_means_lost",
            "told_lost_is_not_accepted",
            "An unchanged head after a lost answer counts as lost.",
        ),
    ),
)
