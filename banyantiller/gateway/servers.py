"""Servers that registered themselves, and which of them get new requests."""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller.gateway import events, types
from banyantiller.gateway.decisions import server_health

# Registrations that lapsed while the store was away come back within about
# 2 s of its return; a little less keeps within the time that a leaving
# server may still get requests.
LAPSED_GRACE_S = 1.8


class Incarnation(NamedTuple):
    """What tells the starts of one server apart.

    Attributes:
        started_ms: When it started, in Unix milliseconds; 0 if it does not say.
        host: IP number.
        port: TCP port.
    """

    started_ms: int
    host: str
    port: int

    @classmethod
    def of(cls, server: types.Server) -> "Incarnation":
        """Returns the start that a registration is of."""
        return cls(server.started_ms, server.host, server.port)


class ServerEntry:
    """One registered server and what is believed of it.

    Attributes:
        server: The registration.
        health: What this daemon saw of it.
        warm_at: Loop time at which it is as fast as usual.
        reported_cold_until: The same, as it said itself when it was asked.
        last_cold_send_at: When it got the last request while it was cold.
        in_flight: Requests of this daemon at the server.
        sends: Requests of this daemon so far.
        failed_sends: Of these, those without an answer that can be used.
        without_load: Whether it told no load where others of its service do.
        lapses_at: Loop time at which a registration that vanished with the
            store's outage counts as gone, or None.
        evacuated: Whether its availability zone is to get no requests.
    """

    def __init__(self, server: types.Server, now: float) -> None:
        self.server = server
        self.health = server_health.ServerHealth()
        self.warm_at = now + server.warmup_s
        self.reported_cold_until = -math.inf
        self.last_cold_send_at = -math.inf
        self.in_flight = 0
        self.sends = 0
        self.failed_sends = 0
        self.without_load = False
        self.lapses_at: float | None = None
        self.evacuated = False

    def record_warmup(self, warmup_s: float, now: float) -> None:
        """Notes for how long it says that it is still cold."""
        self.warm_at = now + warmup_s
        self.reported_cold_until = self.warm_at

    def record_cold_send(self, now: float) -> None:
        """Notes that it gets a request, which counts while it is cold."""
        if now < self.warm_at:
            self.last_cold_send_at = now

    def usable(self, now: float) -> bool:
        """Tells whether it may get new requests."""
        if self.server.leaving or self.evacuated:
            return False
        return self.lapses_at is None or now < self.lapses_at


class ServerTable:
    """Entries by instance and by service.

    A server may start again under its identity; one that registers at another
    address did, also if its registration has no start time. Nothing that was
    seen of an earlier start counts for a later one, and a late or stale read of
    an earlier start changes nothing.

    Attributes:
        entries: Entries by instance.
        by_service: Entries by service and instance.
        latest_start_ms: Latest start that was seen of each instance, in Unix
            milliseconds; kept for instances that are gone.
        left_incarnations: The start with which an instance said that it leaves.
            That one stays out for the life of this process.
        evacuated: Availability zones whose servers get no requests, or None
            while they are not known; no server gets requests then.
    """

    def __init__(self) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self.by_service: dict[str, dict[str, ServerEntry]] = {}
        self.latest_start_ms: dict[str, int] = {}
        self.left_incarnations: dict[str, Incarnation] = {}
        self.evacuated: frozenset[str] | None = None

    def put(self, server: types.Server, now: float) -> types.Server | None:
        """Adds or changes a registration.

        Returns:
            The earlier start of the same server that this one replaces.
        """
        latest = self.latest_start_ms.get(server.instance, server.started_ms)
        if server.started_ms < latest:
            return None
        self.latest_start_ms[server.instance] = server.started_ms
        before = None
        start = Incarnation.of(server)
        held = self.entries.get(server.instance)
        if held is not None and Incarnation.of(held.server) != start:
            before = self.remove(server.instance, "started_again")
        if server.leaving:
            self.left_incarnations[server.instance] = start
        elif self.left_incarnations.get(server.instance) == start:
            server = server._replace(leaving=True)
        self._put(server, now)
        return before

    def _put(self, server: types.Server, now: float) -> None:
        entry = self.entries.get(server.instance)
        if entry is None:
            entry = ServerEntry(server, now)
            self.entries[server.instance] = entry
            self._of(server.service)[server.instance] = entry
            events.emit(events.ServerJoined(*_described(server)))
        elif entry.server.leaving != server.leaving:
            events.emit(events.ServerLeaves(*_described(server)))
        if entry.lapses_at is not None:
            events.emit(events.ServerBack(server.instance))
        if entry.server.service != server.service:
            self._of(entry.server.service).pop(server.instance, None)
            self._of(server.service)[server.instance] = entry
        entry.server = server
        entry.evacuated = self._is_evacuated(server)
        entry.lapses_at = None
        entry.warm_at = max(entry.warm_at, now + server.warmup_s)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Lets the servers of some zones get no requests, and others again."""
        self.evacuated = zones
        for entry in self.entries.values():
            entry.evacuated = self._is_evacuated(entry.server)

    def all_evacuated(self, service: str, now: float) -> bool:
        """Tells whether all servers of a service are in evacuated zones."""
        entries = self.by_service.get(service, {}).values()
        if any(entry.usable(now) for entry in entries):
            return False
        return any(entry.evacuated for entry in entries)

    def mark_failing(
        self, instances: Iterable[str], until: float, now: float
    ) -> None:
        """Takes servers for failing that failed several other daemons.

        Not if they are half of a service or more: then the fault may be shared,
        and the rest could not take their place.
        """
        found = [self.entries[n] for n in instances if n in self.entries]
        counts = collections.Counter(e.server.service for e in found)
        for entry in found:
            service = entry.server.service
            if 2 * counts[service] >= len(self.by_service[service]):
                continue
            if entry.health.mark_failing(until, now):
                events.emit(events.ServerReportedFailing(entry.server.instance))

    def count_in_zone(self, zone: str) -> int:
        """Counts the servers of an availability zone."""
        return sum(e.server.zone == zone for e in self.entries.values())

    def is_registered(self, server: types.Server) -> bool:
        """Tells whether a server is still registered as the same start."""
        entry = self.entries.get(server.instance)
        if entry is None:
            return False
        # Asked with each question to a server, and usually of the same object.
        same = entry.server is server
        return same or Incarnation.of(entry.server) == Incarnation.of(server)

    def is_staying(self, server: types.Server) -> bool:
        """Tells whether a server is registered and has not said it leaves."""
        if not self.is_registered(server):
            return False
        return not self.entries[server.instance].server.leaving

    def remove(self, instance: str, reason: str) -> types.Server | None:
        """Takes a server out for good; None if it is not known."""
        entry = self.entries.pop(instance, None)
        if entry is None:
            return None
        self._of(entry.server.service).pop(instance, None)
        events.emit(events.ServerRemoved(instance, reason))
        return entry.server

    def lapse(self, instance: str, now: float) -> None:
        """Keeps a server whose registration may come back for a moment."""
        entry = self.entries.get(instance)
        if entry is not None and entry.lapses_at is None:
            entry.lapses_at = now + LAPSED_GRACE_S
            events.emit(events.RegistrationLapsed(instance))

    def expire(self, now: float) -> list[types.Server]:
        """Takes out the servers whose registration did not come back."""
        late = [
            name
            for name, entry in self.entries.items()
            if entry.lapses_at is not None and entry.lapses_at <= now
        ]
        gone = [self.remove(name, "registration_lapsed") for name in late]
        return [server for server in gone if server is not None]

    def instances_missing_from(self, present: Iterable[str]) -> list[str]:
        """Returns the known instances that a list does not have."""
        return sorted(set(self.entries) - set(present))

    def servers(self) -> list[types.Server]:
        """Returns all registrations."""
        return [entry.server for entry in self.entries.values()]

    def usable(self, service: str, now: float) -> list[ServerEntry]:
        """Returns the servers of a service that may get new requests."""
        found = self.by_service.get(service, {})
        return [entry for entry in found.values() if entry.usable(now)]

    def _is_evacuated(self, server: types.Server) -> bool:
        return self.evacuated is None or server.zone in self.evacuated

    def _of(self, service: str) -> dict[str, ServerEntry]:
        return self.by_service.setdefault(service, {})


def _described(server: types.Server) -> tuple[str, str, str, str, bool]:
    """Returns the fields that events on a registration have."""
    return (
        server.instance,
        server.service,
        f"{server.host}:{server.port}",
        server.zone,
        server.leaving,
    )
