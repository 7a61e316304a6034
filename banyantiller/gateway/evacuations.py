"""Availability zones whose servers operators want to get no requests."""

import asyncio
from collections.abc import Callable

from banyantiller.gateway import events, servers, store_watching
from banyantiller.store import interface, versions


class Evacuations:
    """Tracks which zones are evacuated, and applies this to their servers.

    Only the name of an entry matters: an entry with unreadable content counts
    as well, so that no operator's evacuation is missed. The known entries stay
    in force while the store is unavailable, and until an entry that a copy of
    the store lacks had time to be written again.

    Attributes:
        table: Registered servers.
        on_listed: Called when the entries were listed.
        entries: Version of the entry of each evacuated zone.
        removed: Version at which each entry was removed. Late reads of an
            earlier version are ignored.
        store_health: Whether the store came back from a copy lately.
        missing: Zones whose entry a restored store lacks, with the loop time
            from which it counts as removed.
        listed: Whether the entries were listed at least once.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        on_listed: Callable[[], None],
        store_health: store_watching.StoreHealth,
    ) -> None:
        self.table = table
        self.on_listed = on_listed
        self.store_health = store_health
        self.missing: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()
        self.entries: dict[str, int] = {}
        self.removed: dict[str, int] = {}
        self.listed = False

    @property
    def evacuated(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self.entries)

    def handlers(self) -> store_watching.Handlers:
        """Returns the functions that receive the entries of the store."""
        return store_watching.Handlers(
            self._on_list, self._on_change, self._on_remove
        )

    def _on_list(self, items: tuple[interface.StoredObject, ...]) -> None:
        for item in items:
            self._add(item)
        present = {item.name for item in items}
        for zone in sorted(set(self.entries) - present):
            self._remove_or_keep(zone, self.entries[zone])
        self.listed = True
        self.table.set_evacuated_zones(self.evacuated)
        self.on_listed()

    def _on_change(self, item: interface.StoredObject) -> None:
        self._add(item)
        self.table.set_evacuated_zones(self.evacuated)

    def _on_remove(self, item: interface.StoredObject) -> None:
        version = int(item.version)
        if self.entries.get(item.name, version + 1) <= version:
            self._remove_or_keep(item.name, version)
            self.table.set_evacuated_zones(self.evacuated)

    def _add(self, item: interface.StoredObject) -> None:
        version = int(item.version)
        if version <= self.removed.get(item.name, -1):
            return
        self.missing.pop(item.name, None)
        known = item.name in self.entries
        self.entries[item.name] = max(version, self.entries.get(item.name, 0))
        if not known:
            server_count = self.table.count_in_zone(item.name)
            described = versions.describe(item.version)
            events.emit(
                events.ZoneEvacuated(item.name, described, server_count)
            )

    def expire(self, now: float) -> None:
        """Gives zones back whose missing entry was not written again."""
        due = [zone for zone, until in self.missing.items() if until <= now]
        for zone in due:
            self._remove(zone, self.entries[zone])
        if due:
            self.table.set_evacuated_zones(self.evacuated)

    def _remove_or_keep(self, zone: str, version: int) -> None:
        """Keeps a zone evacuated while its entry may be written again."""
        restored_until = self.store_health.restored_until
        if self.loop.time() < restored_until:
            self.missing[zone] = restored_until
        else:
            self._remove(zone, version)

    def _remove(self, zone: str, version: int) -> None:
        del self.entries[zone]
        self.missing.pop(zone, None)
        self.removed[zone] = version
        server_count = self.table.count_in_zone(zone)
        described = versions.describe(str(version))
        events.emit(events.ZoneGivenBack(zone, described, server_count))
