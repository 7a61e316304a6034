"""Registered backend servers, and which of them may get new requests."""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller.gateway import events, types
from banyantiller.gateway.decisions import server_health

# Registrations that lapsed during an outage of the store reappear within about
# 2 s after it is back. A slightly shorter time keeps within the period in which
# a server that is shutting down may still get requests.
LAPSED_GRACE_S = 1.8


class Incarnation(NamedTuple):
    """Identifies one incarnation of a server: its start time and address.

    Attributes:
        started_ms: Start time in Unix milliseconds; 0 if the registration has
            none.
        host: IP address.
        port: TCP port.
    """

    started_ms: int
    host: str
    port: int

    @classmethod
    def of(cls, server: types.Server) -> "Incarnation":
        """Returns the incarnation that a registration belongs to."""
        return cls(server.started_ms, server.host, server.port)


class ServerEntry:
    """One registered server and this daemon's view of it.

    Attributes:
        server: The registration.
        health: Health of the server as this daemon observed it.
        warm_at: Loop time at which the server has finished warming up.
        reported_cold_until: Value of `warm_at` that the server itself reported
            in a response to a probe; minus infinity if it reported none.
        last_cold_send_at: Loop time at which the server last got a request of
            this daemon while it was cold.
        in_flight: Requests of this daemon that the server is processing.
        sends: Requests that this daemon has sent to the server.
        failed_sends: Those of `sends` without a usable response.
        without_load: Whether the server reports no load although other servers
            of its service do.
        lapses_at: Loop time at which a registration that disappeared during an
            outage of the store counts as removed, or None.
        evacuated: Whether the server gets no requests because its availability
            zone is evacuated.
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
        """Records how long the server reports to stay cold, in seconds."""
        self.warm_at = now + warmup_s
        self.reported_cold_until = self.warm_at

    def record_cold_send(self, now: float) -> None:
        """Records a request to the server if the server is still cold."""
        if now < self.warm_at:
            self.last_cold_send_at = now

    def usable(self, now: float) -> bool:
        """Returns whether the server may get new requests."""
        if self.server.leaving or self.evacuated:
            return False
        return self.lapses_at is None or now < self.lapses_at


class ServerTable:
    """Server entries by instance and by service.

    A server may restart under the same instance name. A registration at another
    address is a restart too, even if it has no start time. No observation of an
    earlier incarnation applies to a later one, and a late or stale read of an
    earlier incarnation is ignored.

    Attributes:
        entries: Entries by instance.
        by_service: Entries by service and instance.
        latest_start_ms: Latest start time seen for each instance, in Unix
            milliseconds; kept for instances that were removed.
        left_incarnations: Incarnation of each instance that announced its
            shutdown, by its registration or in a response. It gets no requests
            for the lifetime of this process.
        evacuated: Availability zones whose servers get no requests, or None
            while they are unknown; no server gets requests then.
        removed_incarnations: Incarnation of each instance whose registration
            was removed.
        suspended: Registrations that were removed, and are back in a restored
            store.
    """

    def __init__(self) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self.by_service: dict[str, dict[str, ServerEntry]] = {}
        self.latest_start_ms: dict[str, int] = {}
        self.left_incarnations: dict[str, Incarnation] = {}
        self.evacuated: frozenset[str] | None = None
        self.removed_incarnations: dict[str, Incarnation] = {}
        self.suspended: dict[str, types.Server] = {}

    def put(self, server: types.Server, now: float) -> types.Server | None:
        """Adds or changes a registration.

        Returns:
            The registration of the earlier incarnation that was replaced, or
            None.
        """
        latest = self.latest_start_ms.get(server.instance, server.started_ms)
        if server.started_ms < latest:
            return None
        self.latest_start_ms[server.instance] = server.started_ms
        replaced = None
        self.removed_incarnations.pop(server.instance, None)
        incarnation = Incarnation.of(server)
        entry = self.entries.get(server.instance)
        if entry is not None and Incarnation.of(entry.server) != incarnation:
            replaced = self.remove(server.instance, "started_again")
        if server.leaving:
            self.left_incarnations[server.instance] = incarnation
        elif self.left_incarnations.get(server.instance) == incarnation:
            server = server._replace(leaving=True)
        self._update_entry(server, now)
        return replaced

    def record_leaving(self, server: types.Server) -> None:
        """Records that a server stated in a response that it shuts down.

        Its registration may say so later, or not at all. A response of an
        earlier incarnation does not concern a later one.
        """
        incarnation = Incarnation.of(server)
        if not self._is_latest(server):
            return
        self.left_incarnations[server.instance] = incarnation
        entry = self.entries.get(server.instance)
        if entry is not None and not entry.server.leaving:
            entry.server = entry.server._replace(leaving=True)
            self._log_leaving(entry.server, "response")

    def _is_latest(self, server: types.Server) -> bool:
        """Returns whether no later incarnation of a server is known."""
        latest = self.latest_start_ms.get(server.instance, server.started_ms)
        entry = self.entries.get(server.instance)
        replaced = entry is not None and not self.is_registered(server)
        return server.started_ms >= latest and not replaced

    def _log_leaving(self, server: types.Server, through: str) -> None:
        fields = _event_fields(server)
        events.emit(events.ServerLeaving(*fields, through=through))

    def _update_entry(self, server: types.Server, now: float) -> None:
        entry = self.entries.get(server.instance)
        if entry is None:
            entry = ServerEntry(server, now)
            self.entries[server.instance] = entry
            self._entries_of_service(server.service)[server.instance] = entry
            events.emit(events.ServerJoined(*_event_fields(server)))
        elif entry.server.leaving != server.leaving:
            self._log_leaving(server, "registration")
        if entry.lapses_at is not None:
            events.emit(events.RegistrationRestored(server.instance))
        if entry.server.service != server.service:
            self._entries_of_service(entry.server.service).pop(
                server.instance, None
            )
            self._entries_of_service(server.service)[server.instance] = entry
        entry.server = server
        entry.evacuated = self._is_evacuated(server)
        entry.lapses_at = None
        entry.warm_at = max(entry.warm_at, now + server.warmup_s)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Sets the zones whose servers get no requests."""
        self.evacuated = zones
        for entry in self.entries.values():
            entry.evacuated = self._is_evacuated(entry.server)

    def all_evacuated(self, service: str, now: float) -> bool:
        """Returns whether evacuations leave a service no usable server."""
        entries = self.by_service.get(service, {}).values()
        if any(entry.usable(now) for entry in entries):
            return False
        return any(entry.evacuated for entry in entries)

    def mark_failing(
        self, instances: Iterable[str], until: float, now: float
    ) -> None:
        """Marks servers as failing that failed several other daemons.

        Servers of a service are not marked if they are half of it or more: the
        cause may then be shared by all of them, and the remaining servers could
        not take over the load.
        """
        failing = [self.entries[n] for n in instances if n in self.entries]
        counts = collections.Counter(e.server.service for e in failing)
        for entry in failing:
            service = entry.server.service
            if 2 * counts[service] >= len(self.by_service[service]):
                continue
            if entry.health.mark_failing(until, now):
                events.emit(events.ServerReportedFailing(entry.server.instance))

    def count_in_zone(self, zone: str) -> int:
        """Counts the servers of an availability zone."""
        return sum(e.server.zone == zone for e in self.entries.values())

    def is_registered(self, server: types.Server) -> bool:
        """Returns whether this incarnation of a server is registered."""
        entry = self.entries.get(server.instance)
        if entry is None:
            return False
        # Called for each probe, usually with the registered object itself.
        identical = entry.server is server
        return identical or Incarnation.of(entry.server) == Incarnation.of(
            server
        )

    def is_staying(self, server: types.Server) -> bool:
        """Returns whether a server is registered and not shutting down."""
        if not self.is_registered(server):
            return False
        return not self.entries[server.instance].server.leaving

    def remove(self, instance: str, reason: str) -> types.Server | None:
        """Removes a server; returns its registration, or None if unknown."""
        entry = self.entries.pop(instance, None)
        if entry is None:
            return None
        self._entries_of_service(entry.server.service).pop(instance, None)
        events.emit(events.ServerRemoved(instance, reason))
        return entry.server

    def remove_registration(self, instance: str) -> types.Server | None:
        """Removes a server whose registration was removed."""
        self.suspended.pop(instance, None)
        server = self.remove(instance, "registration_removed")
        if server is not None:
            self.removed_incarnations[instance] = Incarnation.of(server)
        return server

    def suspend_if_removed(self, server: types.Server) -> bool:
        """Holds back a registration that was removed before.

        It may be back because the store came back from a copy; its removal is
        repeated soon then. Otherwise `resume` adds it.

        Returns:
            Whether it is held back.
        """
        removed = self.removed_incarnations.get(server.instance)
        if removed != Incarnation.of(server):
            return False
        self.suspended[server.instance] = server
        return True

    def resume(self, now: float) -> None:
        """Adds the registrations whose removal was not repeated."""
        suspended, self.suspended = self.suspended, {}
        for server in suspended.values():
            self.put(server, now)

    def lapse(self, instance: str, now: float) -> None:
        """Marks a registration as lapsed; it has a short time to reappear."""
        self.suspended.pop(instance, None)
        entry = self.entries.get(instance)
        if entry is not None and entry.lapses_at is None:
            entry.lapses_at = now + LAPSED_GRACE_S
            events.emit(events.RegistrationLapsed(instance))

    def expire(self, now: float) -> list[types.Server]:
        """Removes the servers whose registration did not reappear in time."""
        expired = [
            name
            for name, entry in self.entries.items()
            if entry.lapses_at is not None and entry.lapses_at <= now
        ]
        removed = [self.remove(name, "registration_lapsed") for name in expired]
        return [server for server in removed if server is not None]

    def instances_missing_from(self, present: Iterable[str]) -> list[str]:
        """Returns the registered instances that are not in `present`."""
        return sorted(set(self.entries) - set(present))

    def servers(self) -> list[types.Server]:
        """Returns all registrations."""
        return [entry.server for entry in self.entries.values()]

    def usable(self, service: str, now: float) -> list[ServerEntry]:
        """Returns the servers of a service that may get new requests."""
        entries = self.by_service.get(service, {})
        return [entry for entry in entries.values() if entry.usable(now)]

    def _is_evacuated(self, server: types.Server) -> bool:
        return self.evacuated is None or server.zone in self.evacuated

    def _entries_of_service(self, service: str) -> dict[str, ServerEntry]:
        return self.by_service.setdefault(service, {})


def _event_fields(server: types.Server) -> tuple[str, str, str, str, bool]:
    """Returns the fields of the log events about a registration."""
    return (
        server.instance,
        server.service,
        f"{server.host}:{server.port}",
        server.zone,
        server.leaving,
    )
