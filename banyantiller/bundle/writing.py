"""Helpers for writes that are read back if the response is lost."""

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
    """Yields the pause in seconds after each attempt, `MAX_ATTEMPTS` times."""
    pause = INITIAL_PAUSE_S
    for _ in range(MAX_ATTEMPTS):
        yield pause
        pause = min(pause * 2, MAX_PAUSE_S)


class FailedAttempts:
    """Summary of the failed attempts of one write.

    Attributes:
        may_have_written: Whether one of them may have taken effect.
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
        """Returns the outcome after the last attempt."""
        if self.may_have_written:
            return NotKnown(self.reason)
        return NotReached(self.reason)


def json_size(value: dict[str, Any]) -> int:
    """Returns the maximum size of a value as JSON, in bytes."""
    return len(json.dumps(value, separators=(",", ":")))


async def ensure_exists(
    store: interface.ObjectStore,
    object_kind: str,
    name: str,
    value: dict[str, Any],
    labels: dict[str, str],
    is_same: Callable[[interface.StoredObject], bool],
) -> interface.StoredObject | DamagedObject | NotReached | NotKnown:
    """Creates an object unless the same one already exists.

    Args:
        store: The object API.
        object_kind: Kind of the object.
        name: Name of the object, derived from its content.
        value: Value of the object.
        labels: Labels of the object.
        is_same: Returns whether an existing object has the same content.

    Returns:
        The object; `DamagedObject` if one with other content has its name.
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
