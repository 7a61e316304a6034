"""Follows the registrations of backend servers in the store."""

import asyncio
from collections.abc import Callable

from banyantiller.gateway import (
    events,
    servers,
    store_watching,
    tallies,
    types,
)
from banyantiller.store import interface
from banyantiller.utils import decoding


class RegisteredServers:
    """Applies registrations to the table of servers.

    Attributes:
        adapter: Access to the platform's formats.
        table: Servers that registered.
        store_health: Whether the store responds, or came back from a copy.
        tallies: Counts of registrations.
        on_server_removed: Called with each server that was removed.
        on_listed: Called when all registrations were read.
        unreadable: Errors of registrations that can't be read, by instance.
        listed: Whether all registrations were read once.
    """

    def __init__(
        self,
        adapter: types.Adapter,
        table: servers.ServerTable,
        store_health: store_watching.StoreHealth,
        counts: tallies.Tallies,
        on_server_removed: Callable[[types.Server], None],
        on_listed: Callable[[], None],
    ) -> None:
        self.adapter = adapter
        self.table = table
        self.store_health = store_health
        self.tallies = counts
        self.on_server_removed = on_server_removed
        self.on_listed = on_listed
        self.unreadable: dict[str, str] = {}
        self.listed = False
        self.loop = asyncio.get_running_loop()

    def handlers(self) -> store_watching.Handlers:
        """Returns the functions that receive the registrations."""
        return store_watching.Handlers(
            self._on_list, self._on_change, self._on_remove
        )

    def expire(self, now: float) -> None:
        """Removes servers whose lapsed registration did not come back.

        Adds those that a restored store brought back and still holds.
        """
        if now >= self.store_health.restored_until:
            self.table.resume(now)
        for server in self.table.expire(now):
            self.on_server_removed(server)

    def _on_list(self, items: tuple[interface.StoredObject, ...]) -> None:
        for item in items:
            self._on_change(item)
        for instance in self.table.instances_missing_from(
            item.name for item in items
        ):
            self._remove(instance)
        self.listed = True
        self.on_listed()

    def _on_change(self, item: interface.StoredObject) -> None:
        try:
            server = self.adapter.read_server(item.name, item.value)
        except Exception as error:  # One object must not stop the watcher.
            self._reject(item.name, decoding.describe_error(error))
            return
        self.unreadable.pop(item.name, None)
        self.tallies.registrations["read"] += 1
        now = self.loop.time()
        restored = now < self.store_health.restored_until
        if restored and self.table.suspend_if_removed(server):
            return
        replaced = self.table.put(server, now)
        if replaced is not None:
            self.on_server_removed(replaced)

    def _on_remove(self, item: interface.StoredObject) -> None:
        self._remove(item.name)

    def _reject(self, instance: str, error: str) -> None:
        """Removes a server whose registration was overwritten with bad data.

        Each error of a registration is logged once until it changes.
        """
        self.tallies.registrations["unreadable"] += 1
        if self.unreadable.get(instance) != error:
            self.unreadable[instance] = error
            events.emit(events.RegistrationUnreadable(instance, error))
        server = self.table.remove(instance, "registration_unreadable")
        if server is not None:
            self.on_server_removed(server)

    def _remove(self, instance: str) -> None:
        now = self.loop.time()
        self.unreadable.pop(instance, None)
        if self.store_health.may_have_lapsed(now):
            self.table.lapse(instance, now)
            return
        server = self.table.remove_registration(instance)
        if server is not None:
            self.on_server_removed(server)
