"""The narrow interface to the platform's object API.

Objects follow the custom objects of Kubernetes: a kind, a name, an opaque
resource version that changes with each write, and a value. Every call
returns a tagged outcome. `Unavailable` means the call had no effect;
`Unknown` means that a write may have taken effect, so the caller has to
read back.
"""

import dataclasses
import math
from collections.abc import AsyncIterator
from typing import Any, NamedTuple, Protocol

MAX_VALUE_BYTES = 1_000_000


class StoredObject(NamedTuple):
    """One object as the object API holds it.

    Attributes:
        kind: Plural kind, such as "bundleheads".
        name: Name within the kind.
        version: Opaque resource version; compare only for equality.
        value: JSON-compatible value.
        labels: String labels for listing.
    """

    kind: str
    name: str
    version: str
    value: dict[str, Any]
    labels: dict[str, str] = {}  # noqa: RUF012


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The object exists, or was written; `item` is its present state."""

    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """A list and the resource version from which a watch may go on.

    Attributes:
        items: The objects.
        version: The version.
        second_hand: Whether another daemon told it, and not the store.
    """

    items: tuple[StoredObject, ...]
    version: str
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """No such object exists."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A create found an object, or an update found another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The resource version is too old for a watch; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed and certainly had no effect.

    Attributes:
        reason: One sentence for the log.
        again_s: Longest pause before the next try, in seconds.
    """

    reason: str
    retry_within_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost; a write may or may not have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A watch saw an object created or updated."""

    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """A watch saw an object deleted."""

    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class Bookmark:
    """A watch is alive and has delivered all up to `version`."""

    version: str


GetOutcome = Found | Missing | Unavailable
ListOutcome = Listed | Unavailable
CreateOutcome = Found | Conflict | Unavailable | Unknown
UpdateOutcome = Found | Missing | Conflict | Unavailable | Unknown
DeleteOutcome = Found | Missing | Conflict | Unavailable | Unknown
WatchEvent = Changed | Deleted | Bookmark | Gone | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What happened since a version.

    Attributes:
        events: Changes in their order.
        version: Version from which to go on.
        second_hand: Whether another daemon told it, and not the store.
    """

    events: tuple[Changed | Deleted, ...]
    version: str
    relayed: bool = False


ChangesOutcome = Changes | Gone | Unavailable


class ObjectReader(Protocol):
    """What is needed to follow the objects of a kind by calls that wait.

    Its versions are texts of whole numbers that rise with each change.

    Attributes:
        calls: Calls made so far by verb; one that waits counts as one.
    """

    calls: dict[str, int]

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> ListOutcome:
        """Reads all objects of a kind that carry the given labels."""

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> ChangesOutcome:
        """Reads what changed after `version`.

        Args:
            kind: Kind of the objects.
            version: Version from an earlier list or read of changes.
            wait_s: How long to wait for a first change, in seconds.
        """

    async def close(self) -> None:
        """Closes all connections."""


class ObjectStore(Protocol):
    """What an adapter of an object API provides.

    Attributes:
        calls: Calls made so far by verb; a waiting watch counts as one.
    """

    calls: dict[str, int]

    async def get(self, kind: str, name: str) -> GetOutcome:
        """Reads one object."""

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> ListOutcome:
        """Reads all objects of a kind that carry the given labels."""

    async def create(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        labels: dict[str, str] | None = None,
    ) -> CreateOutcome:
        """Writes an object that must not exist yet."""

    async def update(
        self, item: StoredObject, value: dict[str, Any]
    ) -> UpdateOutcome:
        """Replaces the value if the object still has `item.version`."""

    async def delete(self, item: StoredObject) -> DeleteOutcome:
        """Deletes the object if it still has `item.version`."""

    def watch(self, kind: str, version: str) -> AsyncIterator[WatchEvent]:
        """Yields changes after `version`.

        Ends after `Gone` or `Unavailable`. A watch that delivers nothing,
        not even a bookmark, within the adapter's silence limit ends with
        `Unavailable`.
        """

    async def close(self) -> None:
        """Closes all connections."""
