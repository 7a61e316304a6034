"""Recent changes of one kind of objects, kept for late queries."""

import asyncio
import collections
from typing import NamedTuple

from banyantiller.gateway import peer_messages
from banyantiller.http import messages
from banyantiller.store import interface

# Number of batches that are kept for late queries; the store itself keeps some
# 20 s, in which no more than 40 come.
MAX_BATCHES = 100


class Batch(NamedTuple):
    """Changes that were read at once.

    Attributes:
        version: Version of the store after them.
        events: The changes.
        compared_with: Version before them, if they are the difference of two
            lists; objects that were created and removed in between are missing.
    """

    version: int
    events: tuple[interface.Changed | interface.Deleted, ...]
    compared_with: int | None = None


class ChangeHistory:
    """Changes of one kind since some version.

    Attributes:
        items: All objects by name.
        oldest_version: Version from which changes are known.
        version: Version up to which they are known.
        batches: The changes.
        changed: Set at each change, then replaced by a new event.
        cached_list: Response with all objects, or None after a change.
    """

    def __init__(self, listed: interface.Listed) -> None:
        self.items = {item.name: item for item in listed.items}
        self.cached_list: messages.Response | None = None
        self.oldest_version = int(listed.version)
        self.version = self.oldest_version
        self.batches: collections.deque[Batch] = collections.deque()
        self.changed = asyncio.Event()

    def add_changes(self, changes: interface.Changes) -> None:
        """Appends changes that were read."""
        self._append_batch(Batch(int(changes.version), changes.events))

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
        changed = [
            interface.Changed(item)
            for name, item in new_items.items()
            if self.items.get(name) != item
        ]
        version = int(listed.version)
        self._append_batch(Batch(version, (*deleted, *changed), self.version))

    def is_complete_since(self, version: int) -> bool:
        """Returns whether all changes after a version are known."""
        if version < self.oldest_version:
            return False
        return not any(
            batch.compared_with is not None
            and batch.compared_with < version < batch.version
            for batch in self.batches
        )

    def _append_batch(self, batch: Batch) -> None:
        self.version = max(self.version, batch.version)
        self.cached_list = None
        if not batch.events and batch.compared_with is None:
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
        """Returns the changes after a version."""
        return [
            event
            for batch in self.batches
            if batch.version > version
            for event in batch.events
        ]

    def wake(self) -> None:
        """Wakes the queries that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()
