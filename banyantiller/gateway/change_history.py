"""Recent changes of one kind of objects, kept for late queries.

Of each object only the last change is kept, and nothing of the content of a
deleted one, so that the memory is bounded by the objects that exist. Otherwise
each change of a document of 2,000 routes, 0.5 MB, would take 2.4 MB, and half a
minute of changes would exceed the 200 MB of the smallest VM.
"""

import asyncio
import collections
from typing import NamedTuple

from banyantiller.gateway import peer_messages
from banyantiller.http import messages
from banyantiller.store import interface

# Number of batches whose changes are kept for late queries; the store itself
# keeps some 20 s, in which no more than 40 come.
MAX_BATCHES = 100


class Batch(NamedTuple):
    """Changes that were read at once.

    Attributes:
        version: Version of the store after them.
        compared_with: Version before them, if they are the difference of two
            lists; objects that were created and removed in between are missing.
    """

    version: int
    compared_with: int | None = None


class LastChange(NamedTuple):
    """The last change of an object.

    Attributes:
        version: Version of the store after its batch.
        event: The change.
    """

    version: int
    event: interface.Changed | interface.Deleted


class ChangeHistory:
    """Changes of one kind since some version.

    Attributes:
        items: All objects by name.
        oldest_version: Version from which changes are known.
        version: Version up to which they are known.
        batches: The batches in which changes were read.
        last_changes: Changes in these batches by the name of the object, those
            of the oldest batch first.
        changed: Set at each change, then replaced by a new event.
        cached_list: Response with all objects, or None after a change.
    """

    def __init__(self, listed: interface.Listed) -> None:
        self.items = {item.name: item for item in listed.items}
        self.cached_list: messages.Response | None = None
        self.oldest_version = int(listed.version)
        self.version = self.oldest_version
        self.batches: collections.deque[Batch] = collections.deque()
        self.last_changes: dict[str, LastChange] = {}
        self.changed = asyncio.Event()

    def add_changes(self, changes: interface.Changes) -> None:
        """Appends changes that were read."""
        self._append_batch(Batch(int(changes.version)), changes.events)

    def apply_list(self, listed: interface.Listed) -> None:
        """Appends the difference between a newer list and the known objects.

        Subscribers continue from their own version: after the store lost its
        history one list is read for the whole fleet.
        """
        new_items = {item.name: item for item in listed.items}
        deleted = [
            interface.Deleted(item)
            for name, item in self.items.items()
            if name not in new_items
        ]
        # A store that came back from a copy has new versions for all objects.
        changed = [
            interface.Changed(item)
            for name, item in new_items.items()
            if name not in self.items or self.items[name].value != item.value
        ]
        version = int(listed.version)
        batch = Batch(version, self.version)
        self._append_batch(batch, (*deleted, *changed))
        self.items.update(new_items)

    def is_complete_since(self, version: int) -> bool:
        """Returns whether all changes after a version are known."""
        if version < self.oldest_version:
            return False
        return not any(
            batch.compared_with is not None
            and batch.compared_with < version < batch.version
            for batch in self.batches
        )

    def _append_batch(
        self,
        batch: Batch,
        events: tuple[interface.Changed | interface.Deleted, ...],
    ) -> None:
        self.version = max(self.version, batch.version)
        self.cached_list = None
        if not events and batch.compared_with is None:
            return
        for event in events:
            self._record_change(event)
        self.batches.append(batch._replace(version=self.version))
        if len(self.batches) > MAX_BATCHES:
            self.oldest_version = self.batches.popleft().version
            self._drop_changes_until(self.oldest_version)
        self.wake()

    def _record_change(
        self, event: interface.Changed | interface.Deleted
    ) -> None:
        name = event.item.name
        if isinstance(event, interface.Deleted):
            self.items.pop(name, None)
            event = interface.Deleted(event.item._replace(value={}))
        else:
            self.items[name] = event.item
        # Inserted again, so that the order is that of the batches.
        self.last_changes.pop(name, None)
        self.last_changes[name] = LastChange(self.version, event)

    def replace(self, item: interface.StoredObject) -> None:
        """Replaces the content of an object, and of its last change."""
        name = item.name
        if name not in self.items:
            return
        self.items[name] = item
        self.cached_list = None
        if name in self.last_changes:
            self.last_changes[name] = self.last_changes[name]._replace(
                event=interface.Changed(item)
            )

    def _drop_changes_until(self, version: int) -> None:
        while self.last_changes:
            name = next(iter(self.last_changes))
            if self.last_changes[name].version > version:
                return
            del self.last_changes[name]

    def list_response(self) -> messages.Response:
        """Returns a response with all objects."""
        if self.cached_list is None:
            items = [
                peer_messages.encode_object(item, False)
                for item in self.items.values()
            ]
            fields = peer_messages.ListFields(
                items=items, version=str(self.version)
            )
            self.cached_list = peer_messages.build_response(fields)
        return self.cached_list

    def changes_after(
        self, version: int
    ) -> list[interface.Changed | interface.Deleted]:
        """Returns the last change of each object that changed after a version.

        Changes that were replaced by later ones are left out.
        """
        return [
            change.event
            for change in self.last_changes.values()
            if change.version > version
        ]

    def wake(self) -> None:
        """Wakes the queries that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()
