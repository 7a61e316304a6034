"""Checks that what real code did is a run that its specification allows.

An observation is the label of a step that can be seen from outside, such as
a write that took effect. Steps that can't be seen, such as a read or a lost
answer, may happen in any number between two observations.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from spec.specification import Specification, Steps

Visible = Callable[[str], bool]


class Deviation(NamedTuple):
    """The first observation that no run of the specification explains.

    Attributes:
        position: Index of the observation.
        observed: Its label.
        allowed: Labels that could have been observed instead.
    """

    position: int
    observed: str
    allowed: tuple[str, ...]


def kind_of(label: str) -> str:
    """Returns a label without its arguments."""
    return label.partition("(")[0]


def follow(
    specification: Specification,
    observations: Iterable[str],
    visible: Visible,
    variant: str = "",
) -> Deviation | None:
    """Follows observations through every run that fits them.

    Args:
        specification: What the code should do.
        observations: Labels in the order in which they happened.
        visible: Tells which labels are observed whenever they happen.
        variant: Broken variant to follow instead.

    Returns:
        The first deviation, or None if a run of the specification fits.
    """
    steps = specification.steps(variant)
    states = unseen({specification.initial}, steps, visible)
    for position, observed in enumerate(observations):
        fitting = set()
        allowed = set()
        for state in states:
            for label, after in steps(state):
                if label == observed:
                    fitting.add(after)
                elif visible(label):
                    allowed.add(label)
        if not fitting:
            return Deviation(position, observed, tuple(sorted(allowed)))
        states = unseen(fitting, steps, visible)
    return None


def unseen(states: set[Any], steps: Steps, visible: Visible) -> set[Any]:
    """Returns all states that steps without an observation lead to."""
    reached = set(states)
    waiting = list(states)
    while waiting:
        for label, after in steps(waiting.pop()):
            if after not in reached and not visible(label):
                reached.add(after)
                waiting.append(after)
    return reached
