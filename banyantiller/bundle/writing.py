"""Writes that settle a lost answer by reading back."""

import asyncio
import json
from collections.abc import Callable, Iterator
from typing import Any

from banyantiller.bundle.outcomes import DamagedObject, NotKnown, NotReached
from banyantiller.store import interface

WriteOutcome = interface.CreateOutcome | interface.UpdateOutcome

MAX_ATTEMPTS = 6
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


def retry_pauses() -> Iterator[float]:
    """Yields the pause after each try, `MOST_TRIES` times."""
    pause = INITIAL_PAUSE_S
    for _ in range(MAX_ATTEMPTS):
        yield pause
        pause = min(pause * 2, MAX_PAUSE_S)


class FailedAttempts:
    """What the failed tries of one write leave open.

    Attributes:
        unsure: Whether one of them may have taken effect.
        reason: Why the last one failed.
    """

    def __init__(self) -> None:
        self.may_have_written = False
        self.reason = ""

    def record(self, outcome: WriteOutcome, default_reason: str) -> None:
        """Records the outcome of one failed attempt.

        Args:
            outcome: Outcome that the store returned.
            default_reason: Reason to report if the outcome carries none.
        """
        self.may_have_written = self.may_have_written or isinstance(
            outcome, interface.Unknown
        )
        self.reason = getattr(outcome, "reason", default_reason)

    def outcome(self) -> NotKnown | NotReached:
        """Returns the outcome when there are no more tries."""
        if self.may_have_written:
            return NotKnown(self.reason)
        return NotReached(self.reason)


def json_size(value: dict[str, Any]) -> int:
    """Returns the most bytes that a value takes as JSON."""
    return len(json.dumps(value, separators=(",", ":")))


async def ensure_exists(
    store: interface.ObjectStore,
    object_kind: str,
    name: str,
    value: dict[str, Any],
    labels: dict[str, str],
    is_same: Callable[[interface.StoredObject], bool],
) -> interface.StoredObject | DamagedObject | NotReached | NotKnown:
    """Creates an object unless the same one exists already.

    Args:
        store: The object API.
        object_kind: Kind of the object.
        name: Its name, which follows from its content.
        value: Its value.
        labels: Its labels.
        is_same: Tells whether an existing object stands for the same content.

    Returns:
        The object; `Damaged` if another one has its name.
    """
    attempts = FailedAttempts()
    for pause in retry_pauses():
        outcome = await store.create(object_kind, name, value, labels)
        if isinstance(outcome, interface.Found):
            return outcome.item
        attempts.record(outcome, "it exists, but cannot be read")
        read = await store.get(object_kind, name)
        if isinstance(read, interface.Found):
            if is_same(read.item):
                return read.item
            return DamagedObject(f"Another object has the name '{name}'.")
        await asyncio.sleep(pause)
    return attempts.outcome()
