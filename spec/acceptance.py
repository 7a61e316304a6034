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


def write(state: State, index: int, variant: str) -> State | None:
    """Lets a write reach the store; None when its condition fails."""
    base = state.operators[index].base
    condition = variant != "accept_without_condition"
    if condition and head(state) != base:
        return None
    history = state.history + ((base + 1, index),)
    return state._replace(history=history)


def tell(state: State, index: int, phase: str) -> Step:
    """Lets an operator be told what became of its bundle."""
    return (f"tell_{phase}({index})", with_operator(state, index, phase=phase))


def read_back(state: State, index: int, seen: int) -> Step:
    """Settles an unknown outcome from the first `seen` accepted bundles."""
    base = state.operators[index].base
    found = [
        proposer
        for version, proposer in state.history[:seen]
        if version == base + 1
    ]
    if found:
        return tell(state, index, ACCEPTED if index in found else LOST)
    again = with_operator(state, index, phase=SENT, retried=True)
    return f"read_back({index},{seen})", again


def unsure_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps of an operator whose answer was lost."""
    steps = [
        read_back(state, index, seen) for seen in range(len(state.history) + 1)
    ]
    if variant == "unknown_means_accepted":
        steps.append(tell(state, index, ACCEPTED))
    if variant == "unchanged_head_means_lost" and (
        head(state) == state.operators[index].base
    ):
        steps.append(tell(state, index, LOST))
    return steps


def answered(state: State, index: int, variant: str) -> list[Step]:
    """Lists the ways in which the store's answer reaches an operator."""
    operator = state.operators[index]
    lost = with_operator(state, index, phase=UNSURE)
    steps = [(f"answer_lost({index})", lost)]
    if operator.phase == WRITTEN:
        return steps + [tell(state, index, ACCEPTED)]
    first_try = not operator.retried or variant == "accept_without_read_back"
    return steps + ([tell(state, index, LOST)] if first_try else [])


def sent_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what can become of a write that was sent."""
    late = with_operator(state, index, phase=UNSURE, late=True)
    steps = [
        (f"time_out({index})", late),
        (f"fail({index})", with_operator(state, index, phase=UNSURE)),
    ]
    after = write(state, index, variant)
    if after is None:
        conflict = with_operator(state, index, phase=CONFLICTED)
        return steps + [(f"conflict({index})", conflict)]
    written = with_operator(after, index, phase=WRITTEN)
    return steps + [(f"write({index})", written)]


def late_step(state: State, index: int, variant: str) -> Step:
    """Lets an abandoned write take effect, or find another head."""
    after = write(state, index, variant)
    if after is None:
        dropped = with_operator(state, index, late=False)
        return f"late_conflict({index})", dropped
    return f"write({index})", with_operator(after, index, late=False)


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
        steps.append(late_step(state, index, variant))
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
