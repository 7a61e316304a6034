"""Checks that what real code did is a run that its specification allows.

An observation is the label of a step that can be seen from outside, such as
a write that took effect. Steps that can't be seen, such as a read or a lost
answer, may happen in any number between two observations.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from spec.specification import Specification

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


class Successors(NamedTuple):
    """Where one state leads to.

    Attributes:
        unseen: States after steps that are not observed.
        seen: States after each observed step, by label.
    """

    unseen: tuple[Any, ...]
    seen: dict[str, list[Any]]


class Follower:
    """Follows observations through every run of a specification.

    Attributes:
        known: Successors of the states met so far, over all traces.
    """

    def __init__(
        self, specification: Specification, visible: Visible, variant: str = ""
    ) -> None:
        """Prepares to follow traces.

        Args:
            specification: What the code should do.
            visible: Tells which labels are observed whenever they happen.
            variant: Broken variant to follow instead.
        """
        self.initial = specification.initial
        self.steps = specification.steps(variant)
        self.visible = visible
        self.known: dict[Any, Successors] = {}

    def follow(self, observations: Iterable[str]) -> Deviation | None:
        """Follows the labels of one trace, in the order they happened.

        Returns:
            The first deviation, or None if a run of the specification fits.
        """
        states = self.unseen({self.initial})
        for position, observed in enumerate(observations):
            after = {
                state
                for before in states
                for state in self.successors(before).seen.get(observed, ())
            }
            if not after:
                allowed = {
                    label
                    for before in states
                    for label in self.successors(before).seen
                }
                return Deviation(position, observed, tuple(sorted(allowed)))
            states = self.unseen(after)
        return None

    def unseen(self, states: set[Any]) -> set[Any]:
        """Returns all states that steps without an observation lead to."""
        reached = set(states)
        waiting = list(states)
        while waiting:
            for after in self.successors(waiting.pop()).unseen:
                if after not in reached:
                    reached.add(after)
                    waiting.append(after)
        return reached

    def successors(self, state: Any) -> Successors:
        """Returns where a state leads to."""
        found = self.known.get(state)
        if found is None:
            found = self.known[state] = self._unfold(state)
        return found

    def _unfold(self, state: Any) -> Successors:
        unseen = []
        seen: dict[str, list[Any]] = {}
        for label, after in self.steps(state):
            if self.visible(label):
                seen.setdefault(label, []).append(after)
            else:
                unseen.append(after)
        return Successors(tuple(unseen), seen)
