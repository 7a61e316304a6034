"""Finds a server for a request, or that none can be in time."""

import asyncio
import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from banyantiller.gateway import probing, server_limits, servers, types
from banyantiller.gateway.decisions import cold_start, selection, waiting

# Servers that few daemons may send to, which are asked beside the others.
MAX_SCARCE_PROBED = 1


class SelectionRequest(NamedTuple):
    """What a server is wanted for.

    Attributes:
        route: Route of the request.
        service: Service that takes it.
        wait_limits: Until when a server is waited for.
        attempted: Instances that are not wanted again.
        max_score: Greatest score that is taken.
    """

    route: types.Route
    service: types.Service
    wait_limits: waiting.WaitLimits
    attempted: frozenset[str]
    max_score: float = math.inf


class ServerChooser:
    """Asks a few servers at a time until one is ready.

    Attributes:
        table: Registered servers.
        prober: Asks for their load.
        selector: Decides who is asked and who is taken.
        connected: Returns to which servers there are connections.
        cold_share: Returns which part of the rate that a cold server states
            this daemon may send.
        server_limits: Limits that servers name.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        prober: probing.LoadProber,
        selector: selection.ServerSelector,
        connected: Callable[[list[servers.ServerEntry]], selection.Connected],
        cold_share: Callable[[], float],
        limits: server_limits.ServerLimits,
    ) -> None:
        self.table = table
        self.prober = prober
        self.selector = selector
        self.connected = connected
        self.cold_share = cold_share
        self.server_limits = limits
        self.loop = asyncio.get_running_loop()

    async def choose(
        self, request: SelectionRequest
    ) -> probing.Candidate | None:
        """Returns the best ready server, or None if none got ready.

        The candidate's connection belongs to the caller.
        """
        while True:
            usable = self.usable(request)
            if not usable and self._is_hopeless(request):
                return None
            found = await self._ask(request, usable)
            now = self.loop.time()
            again = now + waiting.REPROBE_PAUSE_S
            spare = again <= request.wait_limits.keep_last_slot_until
            fit = [one for one in found if self._may_send(one.entry, request)]
            best = self.selector.pick_candidate(
                fit, request.max_score, now, spare
            )
            self.prober.release([one for one in found if one is not best])
            if best is not None:
                best.entry.record_cold_send(now)
                self.server_limits.record_send(best.entry.server, now)
                return best
            if again > request.wait_limits.any_server_until:
                return None
            await asyncio.sleep(waiting.REPROBE_PAUSE_S)

    def usable(self, request: SelectionRequest) -> list[servers.ServerEntry]:
        """Returns the servers that may be asked, without silent ones."""
        now = self.loop.time()
        found = [
            entry
            for entry in self.table.usable(request.service.name, now)
            if entry.server.instance not in request.attempted
            and self._may_ask(entry, request)
        ]
        alive = [
            entry for entry in found if not entry.health.is_unresponsive(now)
        ]
        # If all are silent, the fault may be on this side.
        return alive or found

    def _may_ask(
        self, entry: servers.ServerEntry, wanted: SelectionRequest
    ) -> bool:
        """Tells whether a server may be asked.

        One whose registration says that it is cold may be asked once: it may
        be warm meanwhile.
        """
        now = self.loop.time()
        if now < entry.reported_cold_until:
            return self._may_send(entry, wanted)
        return self.server_limits.may_send(entry.server, now)

    def _may_send(
        self, entry: servers.ServerEntry, wanted: SelectionRequest
    ) -> bool:
        """Tells whether a server is warm, or may get a request all the same.

        In any case no more than it takes, if it names a limit.
        """
        now = self.loop.time()
        if not self.server_limits.may_send(entry.server, now):
            return False
        per_s = wanted.service.cold_per_s
        if now >= entry.warm_at or math.isinf(per_s):
            return True
        start = f"{entry.server.instance} {entry.server.started_ms}"
        share = self.cold_share()
        part = cold_start.cold_allowance(
            self.selector.daemon, start, per_s, share
        )
        return part.allowed and now >= entry.last_cold_send_at + part.spacing_s

    def _own_scarce(
        self,
        usable: list[servers.ServerEntry],
        asked: list[servers.ServerEntry],
    ) -> list[servers.ServerEntry]:
        """Returns a cold or limited server that is asked besides, if any.

        Few daemons may send to it, and these are to find it while all other
        servers are full.
        """
        now = self.loop.time()
        found = [
            entry
            for entry in usable
            if entry not in asked and self._is_scarce(entry, now)
        ]
        return found[:MAX_SCARCE_PROBED]

    def _is_scarce(self, entry: servers.ServerEntry, now: float) -> bool:
        cold = now < entry.reported_cold_until
        return cold or self.server_limits.is_limited(entry.server)

    def seconds_until_turn(
        self, service: str, attempted: Collection[str]
    ) -> float:
        """Returns when a server of a service may get a request, in seconds.

        Zero or less if one may now; infinite if there is none.

        Args:
            service: Name of the service.
            attempted: Instances that do not count.
        """
        now = self.loop.time()
        times = [
            self.server_limits.next_turn(entry.server, now)
            for entry in self.table.usable(service, now)
            if entry.server.instance not in attempted
        ]
        return min(times, default=math.inf) - now

    def _is_hopeless(self, wanted: SelectionRequest) -> bool:
        """Tells whether waiting for a server is of no use."""
        now = self.loop.time()
        name = wanted.service.name
        if self.table.all_evacuated(name, now):
            return True
        turn_in_s = self.seconds_until_turn(name, wanted.attempted)
        # Where there is no server one may register.
        return (
            math.isfinite(turn_in_s)
            and now + turn_in_s > wanted.wait_limits.any_server_until
        )

    async def _ask(
        self, wanted: SelectionRequest, usable: list[servers.ServerEntry]
    ) -> list[probing.Candidate]:
        """Asks some servers, and others if these are not enough."""
        name = wanted.service.name
        path = wanted.service.health_path
        first = self.selector.first_probes(name, usable, self.connected(usable))
        scarce = self._own_scarce(usable, first.probed)
        found = await self.prober.probe(first.probed + scarce, path)
        more = self.selector.more_probes(name, usable, first, found)
        if not more:
            return found
        try:
            found += await self.prober.probe(more, path)
        except BaseException:
            self.prober.release(found)
            raise
        found.sort(key=lambda candidate: candidate.score)
        return found
