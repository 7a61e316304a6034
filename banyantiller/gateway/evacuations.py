"""Availability zones to which operators want nothing sent."""

from collections.abc import Callable

from banyantiller.gateway import events, servers, store_watching
from banyantiller.store import interface


class Evacuations:
    """Follows which zones are evacuated, and takes their servers out.

    The name of an entry says all: one whose content can't be read counts as
    well, since an operator who empties a zone must not be overlooked. What is
    known stays in force while the store is away.

    Attributes:
        table: Registered servers.
        on_listed: Called when the entries were listed.
        entries: Version of each zone's entry.
        removed: Version of each entry that was removed. An earlier state of it
            that arrives late changes nothing.
        listed: Whether the entries were read once.
    """

    def __init__(
        self, table: servers.ServerTable, on_listed: Callable[[], None]
    ) -> None:
        self.table = table
        self.on_listed = on_listed
        self.entries: dict[str, int] = {}
        self.removed: dict[str, int] = {}
        self.listed = False

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones that are evacuated."""
        return frozenset(self.entries)

    def handlers(self) -> store_watching.Handlers:
        """Returns what is called with the entries of the store."""
        return store_watching.Handlers(
            self._listed, self._changed, self._removed
        )

    def _listed(self, items: tuple[interface.StoredObject, ...]) -> None:
        for item in items:
            self._put(item)
        present = {item.name for item in items}
        for zone in sorted(set(self.entries) - present):
            self._give_back(zone, self.entries[zone])
        self.listed = True
        self.table.set_evacuated_zones(self.evacuated)
        self.on_listed()

    def _changed(self, item: interface.StoredObject) -> None:
        self._put(item)
        self.table.set_evacuated_zones(self.evacuated)

    def _removed(self, item: interface.StoredObject) -> None:
        version = int(item.version)
        if self.entries.get(item.name, version + 1) <= version:
            self._give_back(item.name, version)
            self.table.set_evacuated_zones(self.evacuated)

    def _put(self, item: interface.StoredObject) -> None:
        version = int(item.version)
        if version <= self.removed.get(item.name, -1):
            return
        known = item.name in self.entries
        self.entries[item.name] = max(version, self.entries.get(item.name, 0))
        if not known:
            servers_there = self.table.count_in_zone(item.name)
            events.emit(events.ZoneEvacuated(item.name, version, servers_there))

    def _give_back(self, zone: str, version: int) -> None:
        del self.entries[zone]
        self.removed[zone] = version
        servers_there = self.table.count_in_zone(zone)
        events.emit(events.ZoneGivenBack(zone, version, servers_there))
