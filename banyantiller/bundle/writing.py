"""Writes that settle a lost answer by reading back."""

import asyncio
import json
from collections.abc import Callable, Iterator
from typing import Any

from banyantiller.bundle.outcomes import Damaged, NotKnown, NotReached
from banyantiller.store import interface

WriteOutcome = interface.CreateOutcome | interface.UpdateOutcome

MOST_TRIES = 6
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


def pauses() -> Iterator[float]:
    """Yields the pause after each try, `MOST_TRIES` times."""
    pause = FIRST_PAUSE_S
    for _ in range(MOST_TRIES):
        yield pause
        pause = min(pause * 2, LONGEST_PAUSE_S)


class FailedTries:
    """What the failed tries of one write leave open.

    Attributes:
        unsure: Whether one of them may have taken effect.
        reason: Why the last one failed.
    """

    def __init__(self) -> None:
        self.unsure = False
        self.reason = ""

    def add(self, outcome: WriteOutcome, otherwise: str) -> None:
        """Takes the outcome of a try.

        Args:
            outcome: What the object API answered.
            otherwise: Reason if the answer carries none.
        """
        self.unsure = self.unsure or isinstance(outcome, interface.Unknown)
        self.reason = getattr(outcome, "reason", otherwise)

    def outcome(self) -> NotKnown | NotReached:
        """Returns the outcome when there are no more tries."""
        if self.unsure:
            return NotKnown(self.reason)
        return NotReached(self.reason)


def value_size(value: dict[str, Any]) -> int:
    """Returns the most bytes that a value takes as JSON."""
    return len(json.dumps(value, separators=(",", ":")))


async def ensure(
    store: interface.ObjectStore,
    kind: str,
    name: str,
    value: dict[str, Any],
    labels: dict[str, str],
    is_same: Callable[[interface.StoredObject], bool],
) -> interface.StoredObject | Damaged | NotReached | NotKnown:
    """Creates an object unless the same one exists already.

    Args:
        store: The object API.
        kind: Kind of the object.
        name: Its name, which follows from its content.
        value: Its value.
        labels: Its labels.
        is_same: Tells whether an existing object stands for the same content.

    Returns:
        The object; `Damaged` if another one has its name.
    """
    tries = FailedTries()
    for pause in pauses():
        outcome = await store.create(kind, name, value, labels)
        if isinstance(outcome, interface.Found):
            return outcome.item
        tries.add(outcome, "it exists, but cannot be read")
        read = await store.get(kind, name)
        if isinstance(read, interface.Found):
            if is_same(read.item):
                return read.item
            return Damaged(f"Another object has the name '{name}'.")
        await asyncio.sleep(pause)
    return tries.outcome()
