"""What a specification consists of, and helpers that all of them use.

A state is a `NamedTuple` of hashable values. `steps(state)` lists every step
that is possible in it as a label and the next state. A property is a
predicate over states that must hold in every reachable one.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import minicheck

Step = tuple[str, Any]
Steps = Callable[[Any], list[Step]]
Property = Callable[[Any], bool]


class Broken(NamedTuple):
    """A variant with one deliberate fault.

    Attributes:
        name: Name for `--broken`.
        violates: Property that the fault must violate.
        fault: One sentence.
    """

    name: str
    violates: str
    fault: str


class Specification(NamedTuple):
    """One protocol at stated bounds.

    Attributes:
        name: Name for `--protocol`.
        bounds: How many of each thing the search covers.
        initial: First state.
        steps: Makes the step function of the named variant, "" for the
            protocol itself.
        properties: What must hold in every reachable state, by name.
        broken: Variants that the search must catch.
    """

    name: str
    bounds: dict[str, int]
    initial: Any
    steps: Callable[[str], Steps]
    properties: dict[str, Property]
    broken: tuple[Broken, ...]


def protocol(specification: Specification, variant: str = "") -> Any:
    """Returns the model checker's form of a specification or variant."""
    kind = type(specification.initial)

    def over_state(holds: Property) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: holds(kind(**fields))

    return minicheck.Protocol(
        name=specification.name,
        candidate=not variant,
        fields=kind._fields,
        initial=specification.initial,
        transitions=specification.steps(variant),
        invariants={
            name: over_state(holds)
            for name, holds in specification.properties.items()
        },
    )


def put(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    """Returns the tuple with one item replaced."""
    return items[:index] + (item,) + items[index + 1 :]


def distinct(items: Iterable[Any]) -> bool:
    """Tells whether no item occurs twice."""
    listed = list(items)
    return len(set(listed)) == len(listed)
