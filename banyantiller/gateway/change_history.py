"""Changes of one kind of objects, kept for daemons that ask for them late."""

import asyncio
import collections
from typing import NamedTuple

from banyantiller.gateway import peer_messages
from banyantiller.http import messages
from banyantiller.store import interface

# Batches of changes that are kept for daemons that ask late; the store itself
# has some 20 s, in which no more than 40 come.
MAX_BATCHES = 100


class Batch(NamedTuple):
    """Changes that were read at once.

    Attributes:
        version: Version of the store after them.
        events: The changes.
        bridges: Version before them, if they were found by comparing lists;
            what came and went in between is missing then.
    """

    version: int
    events: tuple[interface.Changed | interface.Deleted, ...]
    bridges: int | None = None


class ChangeHistory:
    """Changes of one kind since some version.

    Attributes:
        items: All objects by name.
        oldest_version: Version from which changes are known.
        version: Version up to which they are known.
        batches: The changes.
        changed: Set at each change; replaced after it.
        packed: Answer with all objects, or None after a change.
    """

    def __init__(self, listed: interface.Listed) -> None:
        self.items = {item.name: item for item in listed.items}
        self.packed: messages.Response | None = None
        self.oldest_version = int(listed.version)
        self.version = self.oldest_version
        self.batches: collections.deque[Batch] = collections.deque()
        self.changed = asyncio.Event()

    def add_changes(self, found: interface.Changes) -> None:
        """Adds what was read."""
        self._add(Batch(int(found.version), found.events))

    def apply_list(self, found: interface.Listed) -> None:
        """Takes a newer list as the changes that lead to it.

        Those who ask go on from what they know: after a lost history one list
        is read for the whole fleet.
        """
        listed = {item.name: item for item in found.items}
        gone = [
            interface.Deleted(item)
            for name, item in self.items.items()
            if name not in listed
        ]
        changed = [
            interface.Changed(item)
            for name, item in listed.items()
            if self.items.get(name) != item
        ]
        version = int(found.version)
        self._add(Batch(version, (*gone, *changed), self.version))

    def is_complete_since(self, version: int) -> bool:
        """Tells whether all changes after a version are known."""
        if version < self.oldest_version:
            return False
        return not any(
            batch.bridges is not None
            and batch.bridges < version < batch.version
            for batch in self.batches
        )

    def _add(self, batch: Batch) -> None:
        self.version = max(self.version, batch.version)
        self.packed = None
        if not batch.events and batch.bridges is None:
            return
        for event in batch.events:
            if isinstance(event, interface.Deleted):
                self.items.pop(event.item.name, None)
            else:
                self.items[event.item.name] = event.item
        self.batches.append(batch._replace(version=self.version))
        if len(self.batches) > MAX_BATCHES:
            self.oldest_version = self.batches.popleft().version
        self.wake()

    def pack_list(self) -> messages.Response:
        """Returns an answer with all objects."""
        if self.packed is None:
            items = [
                peer_messages.fields_of(item, False)
                for item in self.items.values()
            ]
            fields = peer_messages.ListFields(
                items=items, version=str(self.version)
            )
            self.packed = peer_messages.pack(fields)
        return self.packed

    def changes_after(
        self, version: int
    ) -> list[interface.Changed | interface.Deleted]:
        """Returns the changes after a version."""
        return [
            event
            for batch in self.batches
            if batch.version > version
            for event in batch.events
        ]

    def wake(self) -> None:
        """Lets those who wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()
