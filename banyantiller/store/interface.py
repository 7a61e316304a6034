"""The interface to the platform's object API.

Objects are modelled on Kubernetes custom objects: a kind, a name, an opaque
resource version that changes with each write, and a value. Every call returns
a tagged outcome. `Unavailable` means that the call had no effect; `Unknown`
means that a write may have taken effect, so the caller has to read the object
back.
"""

import dataclasses
import math
from collections.abc import AsyncIterator
from typing import Any, NamedTuple, Protocol

MAX_VALUE_BYTES = 1_000_000


class StoredObject(NamedTuple):
    """One object as stored in the object API.

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
    """The object exists or was written; `item` is its current state."""

    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """A list and the resource version at which a watch may start.

    Attributes:
        items: The objects.
        version: The resource version.
        relayed: Whether a peer reported it instead of the object API.
    """

    items: tuple[StoredObject, ...]
    version: str
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """No such object exists."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The object to create exists, or the one to write has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The resource version is too old for a watch; list again.

    Attributes:
        min_version: Minimum version of a list that helps; empty if unknown.
    """

    min_version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed and certainly had no effect.

    Attributes:
        reason: One sentence for the log.
        retry_within_s: Maximum pause before the next attempt, in seconds.
    """

    reason: str
    retry_within_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The response was lost; a write may or may not have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A watch reported an object that was created or updated."""

    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """A watch reported an object that was deleted."""

    item: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class Bookmark:
    """A watch is alive and has delivered all events up to `version`."""

    version: str


GetOutcome = Found | Missing | Unavailable
ListOutcome = Listed | Unavailable
CreateOutcome = Found | Conflict | Unavailable | Unknown
UpdateOutcome = Found | Missing | Conflict | Unavailable | Unknown
DeleteOutcome = Found | Missing | Conflict | Unavailable | Unknown
WatchEvent = Changed | Deleted | Bookmark | Gone | Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes since a resource version.

    Attributes:
        events: Changes in their order.
        version: Version from which to continue.
        relayed: Whether a peer reported them instead of the object API.
    """

    events: tuple[Changed | Deleted, ...]
    version: str
    relayed: bool = False


ChangesOutcome = Changes | Gone | Unavailable


class ObjectReader(Protocol):
    """Interface to follow the objects of a kind by long polling.

    Versions are texts of integers that increase with each change, also where
    the object API comes back from a copy; see `store.versions`.

    Attributes:
        calls: Calls so far by verb; a long poll counts as one.
    """

    calls: dict[str, int]

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> ListOutcome:
        """Reads all objects of a kind that carry the given labels."""

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> ChangesOutcome:
        """Reads the changes after `version`.

        Args:
            kind: Kind of the objects.
            version: Version of an earlier list or read of changes.
            wait_s: Maximum wait for the first change, in seconds.
        """

    async def close(self) -> None:
        """Closes all connections."""


class ObjectStore(Protocol):
    """Interface of an adapter of an object API.

    Attributes:
        calls: Calls so far by verb; an open watch counts as one.
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
        not even a bookmark, within the adapter's bookmark timeout ends with
        `Unavailable`.
        """

    async def close(self) -> None:
        """Closes all connections."""
