"""Chooses a server for a request, or finds that none is available in time."""

import asyncio
import enum
import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from banyantiller.gateway import (
    probing,
    request_placement,
    server_backoffs,
    server_limits,
    servers,
    types,
)
from banyantiller.gateway.decisions import (
    cold_start,
    request_kinds,
    selection,
    waiting,
)

# Maximum number of cold or limited servers that are probed besides the others.
MAX_SCARCE_PROBED = 1


class Shortage(enum.Enum):
    """Why no server of a service could be chosen.

    Attributes:
        NOT_REGISTERED: No server of the service may get requests.
        UNRESPONSIVE: None of those that were probed responded.
        BUSY: Some responded, and none was ready in time.
    """

    NOT_REGISTERED = "servers_not_registered"
    UNRESPONSIVE = "servers_unresponsive"
    BUSY = "servers_busy"


class SelectionRequest(NamedTuple):
    """A request that needs a server.

    Attributes:
        route: Route of the request.
        service: Service that handles it.
        wait_limits: Until when it waits for a server.
        attempted: Instances that are not chosen again.
        max_score: Maximum score to accept.
        usual_s: Usual duration of the route's requests, in seconds.
    """

    route: types.Route
    service: types.Service
    wait_limits: waiting.WaitLimits
    attempted: frozenset[str]
    max_score: float = math.inf
    usual_s: float = 0.0


class ServerChooser:
    """Probes a few servers at a time until one is ready.

    Attributes:
        table: Registered servers.
        prober: Probes servers for their load.
        selector: Decides which servers are probed and which one is chosen.
        connected: Returns to which servers there are connections.
        cold_share: Returns this daemon's share of the rate that a cold server
            states, 0 to 1.
        server_limits: Limits that servers name.
        server_backoffs: Times for which servers want no requests.
        placement: Decides which servers a request prefers.
        drain_ends_at: Loop time at which a daemon that shuts down cuts its
            calls; infinite until then.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        prober: probing.LoadProber,
        connected: Callable[
            [list[servers.ServerEntry]], selection.ConnectedServers
        ],
        cold_share: Callable[[], float],
        limits: server_limits.ServerLimits,
        backoffs: server_backoffs.ServerBackoffs,
        placement: request_placement.RequestPlacement,
    ) -> None:
        self.table = table
        self.prober = prober
        self.selector = placement.selector
        self.connected = connected
        self.cold_share = cold_share
        self.server_limits = limits
        self.server_backoffs = backoffs
        self.placement = placement
        self.drain_ends_at = math.inf
        self.loop = asyncio.get_running_loop()

    async def choose(
        self, request: SelectionRequest
    ) -> probing.Candidate | Shortage:
        """Returns the best ready server, or why none is ready in time.

        The candidate's connection belongs to the calling function.
        """
        shortage = Shortage.NOT_REGISTERED
        kind = self.placement.kind(
            request.service.name,
            request.route,
            request.usual_s,
            self.loop.time(),
        )
        while True:
            usable = self.usable(request)
            if not usable and self._none_in_time(request):
                return shortage
            found = await self._probe(request, usable, kind)
            shortage = self._shortage(shortage, usable, found)
            now = self.loop.time()
            reprobe_at = now + request.wait_limits.reprobe_pause_s
            keep_last_slot = reprobe_at <= self._keeps_until(request, kind)
            sendable = [
                one for one in found if self._may_send(one.entry, request)
            ]
            best = self.selector.pick_candidate(
                sendable, request.max_score, now, keep_last_slot, kind
            )
            self.prober.release([one for one in found if one is not best])
            if best is not None:
                best.entry.record_cold_send(now)
                self.server_limits.record_send(best.entry.server, now)
                self.placement.record_send(best.entry.server, usable)
                return best
            if reprobe_at > self._waits_until(request):
                return shortage
            await asyncio.sleep(request.wait_limits.reprobe_pause_s)

    def usable(self, request: SelectionRequest) -> list[servers.ServerEntry]:
        """Returns the servers that may be probed, except unresponsive ones."""
        now = self.loop.time()
        found = [
            entry
            for entry in self.table.usable(request.service.name, now)
            if entry.server.instance not in request.attempted
            and self._may_probe(entry, request)
        ]
        alive = [
            entry for entry in found if not entry.health.is_unresponsive(now)
        ]
        # If all are unresponsive, the fault may be at this daemon, so that all
        # of them are returned.
        return alive or found

    def _may_probe(
        self, entry: servers.ServerEntry, request: SelectionRequest
    ) -> bool:
        """Returns whether a server may be probed.

        A server whose registration alone says that it is cold may be probed,
        since it may be warm by now. Once its own answer says so, it is probed
        only if it may get a request.
        """
        now = self.loop.time()
        if now < entry.reported_cold_until:
            return self._may_send(entry, request)
        return self.available_at(entry.server, now) <= now

    def _may_send(
        self, entry: servers.ServerEntry, request: SelectionRequest
    ) -> bool:
        """Returns whether a server may get a request.

        What the server asked for always holds. A cold server gets only this
        daemon's share of the rate that it states.
        """
        now = self.loop.time()
        if self.available_at(entry.server, now) > now:
            return False
        per_s = request.service.cold_per_s
        if now >= entry.warm_at or math.isinf(per_s):
            return True
        incarnation = f"{entry.server.instance} {entry.server.started_ms}"
        share = self.cold_share()
        allowance = cold_start.cold_allowance(
            self.selector.daemon, incarnation, per_s, share
        )
        return (
            allowance.allowed
            and now >= entry.last_cold_send_at + allowance.spacing_s
        )

    def _scarce_probes(
        self,
        usable: list[servers.ServerEntry],
        probed: list[servers.ServerEntry],
    ) -> list[servers.ServerEntry]:
        """Returns a cold or limited server to probe as well, if there is one.

        Few daemons may send to it, and these should find it while all other
        servers are full.
        """
        now = self.loop.time()
        found = [
            entry
            for entry in usable
            if entry not in probed and self._is_scarce(entry, now)
        ]
        return found[:MAX_SCARCE_PROBED]

    def _is_scarce(self, entry: servers.ServerEntry, now: float) -> bool:
        cold = now < entry.reported_cold_until
        return cold or self.server_limits.is_limited(entry.server)

    def available_at(self, server: types.Server, now: float) -> float:
        """Returns the loop time from which a server may be sent a request.

        The time is minus infinity if the server asked for no restriction.
        """
        # Called for each server of a service for each request.
        limited = self.server_limits.by_incarnation
        if not limited and not self.server_backoffs.by_incarnation:
            return -math.inf
        return max(
            self.server_limits.next_turn(server, now),
            self.server_backoffs.ends_at(server),
        )

    def accepts(self, entry: servers.ServerEntry) -> bool:
        """Returns whether a chosen server may still be sent something."""
        now = self.loop.time()
        backed_off = self.server_backoffs.is_active(entry.server, now)
        return entry.usable(now) and not backed_off

    def seconds_until_available(
        self, service: str, attempted: Collection[str]
    ) -> float:
        """Returns the time until a server may get a request, in seconds.

        It is zero or less if one may get a request now, and infinite if there
        is no server.

        Args:
            service: Name of the service.
            attempted: Instances that are ignored.
        """
        now = self.loop.time()
        times = [
            self.available_at(entry.server, now)
            for entry in self.table.usable(service, now)
            if entry.server.instance not in attempted
        ]
        return min(times, default=math.inf) - now

    def any_backed_off(self, service: str, attempted: Collection[str]) -> bool:
        """Returns whether a server is unavailable since it asked for a backoff.

        Args:
            service: Name of the service.
            attempted: Instances that are ignored.
        """
        now = self.loop.time()
        return any(
            self.server_backoffs.is_active(entry.server, now)
            for entry in self.table.usable(service, now)
            if entry.server.instance not in attempted
        )

    def _shortage(
        self,
        before: Shortage,
        usable: list[servers.ServerEntry],
        found: list[probing.Candidate],
    ) -> Shortage:
        """Returns the shortage after a round of probes.

        Args:
            before: Shortage after the rounds before.
            usable: Servers that could be probed.
            found: Servers that responded.
        """
        silent = any(entry.health.missed_responses for entry in usable)
        if found or (usable and not silent):
            return Shortage.BUSY
        if silent and before is not Shortage.BUSY:
            return Shortage.UNRESPONSIVE
        return before

    def _none_in_time(self, request: SelectionRequest) -> bool:
        """Returns whether no server can be available in time."""
        now = self.loop.time()
        name = request.service.name
        if self.table.all_evacuated(name, now):
            return True
        wait_s = self.seconds_until_available(name, request.attempted)
        # If there is no server at all, one may still register.
        return math.isfinite(wait_s) and now + wait_s > self._waits_until(
            request
        )

    def _waits_until(self, request: SelectionRequest) -> float:
        """Returns the loop time until which a request waits for a server.

        It does not wait for one that could not respond before the daemon exits.
        """
        return min(
            request.wait_limits.any_server_until,
            self.drain_ends_at - request.usual_s,
        )

    def _keeps_until(
        self, request: SelectionRequest, kind: request_kinds.RequestKind
    ) -> float:
        """Returns the loop time until which last slots are kept free.

        Where a full server resets connections, a request that may not run twice
        takes a last slot only instead of being rejected.
        """
        if kind.avoids_last_slots:
            return self._waits_until(request) - waiting.REPROBE_PAUSE_S
        return request.wait_limits.keep_last_slot_until

    async def _probe(
        self,
        request: SelectionRequest,
        usable: list[servers.ServerEntry],
        kind: request_kinds.RequestKind,
    ) -> list[probing.Candidate]:
        """Probes some servers, and more if none of them is good enough."""
        name = request.service.name
        path = request.service.health_path
        was_active = self.selector.spills_from_zone(name)
        first = self.selector.first_probes(
            name, usable, self.connected(usable), kind, self.loop.time()
        )
        self.placement.log_spill(name, was_active)
        scarce = self._scarce_probes(usable, first.probed)
        found = await self.prober.probe(first.probed + scarce, path)
        try:
            found = self.placement.with_speeds(found)
            more = self.selector.more_probes(name, usable, first, found)
            more = more[: request.wait_limits.max_more_probes]
            if not more:
                return found
            found += await self.prober.probe(more, path)
        except BaseException:
            self.prober.release(found)
            raise
        found = self.placement.with_speeds(found)
        found.sort(key=lambda candidate: candidate.score)
        return found
