"""Finds a server for a request, or that none can be in time."""

import asyncio
import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from banyantiller.gateway import asking, limits, servers, types
from banyantiller.gateway.decisions import cold, selection, waiting

# Servers that few daemons may send to, which are asked beside the others.
MOST_SCARCE_ASKED = 1


class Wanted(NamedTuple):
    """What a server is wanted for.

    Attributes:
        route: Route of the request.
        service: Service that takes it.
        limits: Until when a server is waited for.
        tried: Instances that are not wanted again.
        most_score: Greatest score that is taken.
    """

    route: types.Route
    service: types.Service
    limits: waiting.Limits
    tried: frozenset[str]
    most_score: float = math.inf


class Chooser:
    """Asks a few servers at a time until one is ready.

    Attributes:
        table: Registered servers.
        asker: Asks for their load.
        selector: Decides who is asked and who is taken.
        connected: Returns to which servers there are connections.
        cold_share: Returns which part of the rate that a cold server states
            this daemon may send.
        limits: Limits that servers name.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        asker: asking.Asker,
        selector: selection.Selector,
        connected: Callable[[list[servers.Entry]], selection.Connected],
        cold_share: Callable[[], float],
        named: limits.Limits,
    ) -> None:
        self.table = table
        self.asker = asker
        self.selector = selector
        self.connected = connected
        self.cold_share = cold_share
        self.limits = named
        self.loop = asyncio.get_running_loop()

    async def choose(self, wanted: Wanted) -> asking.Candidate | None:
        """Returns the best ready server, or None if none got ready.

        The candidate's connection belongs to the caller.
        """
        while True:
            usable = self.usable(wanted)
            if not usable and self._is_hopeless(wanted):
                return None
            found = await self._ask(wanted, usable)
            now = self.loop.time()
            again = now + waiting.ASK_AGAIN_S
            spare = again <= wanted.limits.spare
            fit = [one for one in found if self._may_send(one.entry, wanted)]
            best = self.selector.pick(fit, wanted.most_score, now, spare)
            self.asker.give_back([one for one in found if one is not best])
            if best is not None:
                best.entry.note_cold_send(now)
                self.limits.note_send(best.entry.server, now)
                return best
            if again > wanted.limits.any:
                return None
            await asyncio.sleep(waiting.ASK_AGAIN_S)

    def usable(self, wanted: Wanted) -> list[servers.Entry]:
        """Returns the servers that may be asked, without silent ones."""
        now = self.loop.time()
        found = [
            entry
            for entry in self.table.usable(wanted.service.name, now)
            if entry.server.instance not in wanted.tried
            and self._may_ask(entry, wanted)
        ]
        alive = [entry for entry in found if not entry.belief.silent(now)]
        # If all are silent, the fault may be on this side.
        return alive or found

    def _may_ask(self, entry: servers.Entry, wanted: Wanted) -> bool:
        """Tells whether a server may be asked.

        One whose registration says that it is cold may be asked once: it may
        be warm meanwhile.
        """
        now = self.loop.time()
        if now < entry.said_cold_until:
            return self._may_send(entry, wanted)
        return self.limits.may_send(entry.server, now)

    def _may_send(self, entry: servers.Entry, wanted: Wanted) -> bool:
        """Tells whether a server is warm, or may get a request all the same.

        In any case no more than it takes, if it names a limit.
        """
        now = self.loop.time()
        if not self.limits.may_send(entry.server, now):
            return False
        per_s = wanted.service.cold_per_s
        if now >= entry.warm_at or math.isinf(per_s):
            return True
        start = f"{entry.server.instance} {entry.server.started_ms}"
        share = self.cold_share()
        part = cold.part(self.selector.daemon, start, per_s, share)
        return part.allowed and now >= entry.sent_cold_at + part.spacing_s

    def _own_scarce(
        self, usable: list[servers.Entry], asked: list[servers.Entry]
    ) -> list[servers.Entry]:
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
        return found[:MOST_SCARCE_ASKED]

    def _is_scarce(self, entry: servers.Entry, now: float) -> bool:
        cold = now < entry.said_cold_until
        return cold or self.limits.is_limited(entry.server)

    def turn_in_s(self, service: str, tried: Collection[str]) -> float:
        """Returns when a server of a service may get a request, in seconds.

        Zero or less if one may now; infinite if there is none.

        Args:
            service: Name of the service.
            tried: Instances that do not count.
        """
        now = self.loop.time()
        times = [
            self.limits.next_turn(entry.server, now)
            for entry in self.table.usable(service, now)
            if entry.server.instance not in tried
        ]
        return min(times, default=math.inf) - now

    def _is_hopeless(self, wanted: Wanted) -> bool:
        """Tells whether waiting for a server is of no use."""
        now = self.loop.time()
        name = wanted.service.name
        if self.table.only_evacuated(name, now):
            return True
        turn_in_s = self.turn_in_s(name, wanted.tried)
        # Where there is no server one may register.
        return math.isfinite(turn_in_s) and now + turn_in_s > wanted.limits.any

    async def _ask(
        self, wanted: Wanted, usable: list[servers.Entry]
    ) -> list[asking.Candidate]:
        """Asks some servers, and others if these are not enough."""
        name = wanted.service.name
        path = wanted.service.health_path
        first = self.selector.first(name, usable, self.connected(usable))
        scarce = self._own_scarce(usable, first.asked)
        found = await self.asker.ask(first.asked + scarce, path)
        more = self.selector.more(name, usable, first, found)
        if not more:
            return found
        try:
            found += await self.asker.ask(more, path)
        except BaseException:
            self.asker.give_back(found)
            raise
        found.sort(key=lambda candidate: candidate.score)
        return found
