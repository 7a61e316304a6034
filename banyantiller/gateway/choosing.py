"""Chooses a server for a request, or finds that none can be in time."""

import asyncio
import math
import random
import zlib
from typing import NamedTuple

from banyantiller.gateway import asking, servers, types

# Servers asked for each request: five reach nearly all that eight do.
ASKED = 5
# Servers of the own zone that are asked first. Mostly one of them will do, and
# nothing crosses zones: two thirds of the bytes between zones are questions.
ASKED_NEAR = 3
# Servers of the own zone that a daemon prefers, the same ones each time, so
# that connections are kept: in a fleet of 120 daemons and 168 servers new ones
# cost a tenth of what machines do. Once in EXPLORED requests any other is
# asked, so that a server that few daemons prefer gets work too.
KEPT_NEAR = 8
EXPLORED = 10
# A server of the own zone with this score or less is taken without asking
# others: it has free slots and works at most a fifth slower than usual.
GOOD_SCORE = 1.25
# The own zone is asked alone while it was enough this often lately; else its
# answer would only be waited for.
NEAR_ENOUGH = 0.5
# Weight of one request in that rate: it follows a burst within a second.
NEAR_WEIGHT = 0.1
# Pause before servers are asked again; a slot frees every 15 ms or so.
ASK_AGAIN_S = 0.015
# Longest wait for a free slot, as a share of the latency objective: a longer
# one leaves too little time for the work itself.
PATIENCE = 0.15
# The same for the most urgent routes of a service: 0.5 to 2% more of all
# answers (by weight) were timely when servers were short; with the longer wait
# for all routes that was lost again.
URGENT_PATIENCE = 0.3
# A server that works more than this much slower than usual is left alone
# while others may get free.
SLOWEST = 2.0


class Wanted(NamedTuple):
    """What a server is wanted for.

    Attributes:
        route: Route of the request.
        service: Service that takes it.
        until: Loop time until which a free server is waited for.
        tried: Instances that are not wanted again.
        most_score: Greatest score that is taken.
    """

    route: types.Route
    service: types.Service
    until: float
    tried: frozenset[str]
    most_score: float = math.inf


class Chooser:
    """Asks a few servers at a time until one is ready.

    Attributes:
        table: Registered servers.
        asker: Asks for their load.
        near_enough: By service, how often the own zone was enough lately.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        asker: asking.Asker,
        rng: random.Random,
        daemon: str = "",
    ) -> None:
        self.daemon = daemon
        self.table = table
        self.asker = asker
        self.random = rng
        self.near_enough: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()

    async def choose(self, wanted: Wanted) -> asking.Candidate | None:
        """Returns the best ready server, or None if none got ready.

        The candidate's connection belongs to the caller.
        """
        while True:
            found = await self._ask(wanted)
            best = self._best(found, wanted.most_score)
            if best is not None:
                return best
            if self.loop.time() + ASK_AGAIN_S > wanted.until:
                return None
            await asyncio.sleep(ASK_AGAIN_S)

    def usable(self, wanted: Wanted) -> list[servers.Entry]:
        """Returns the servers that may be asked, without silent ones."""
        now = self.loop.time()
        found = [
            entry
            for entry in self.table.usable(wanted.service.name, now)
            if entry.server.instance not in wanted.tried
        ]
        alive = [entry for entry in found if not entry.belief.silent(now)]
        # If all are silent, the fault may be on this side.
        return alive or found

    async def _ask(self, wanted: Wanted) -> list[asking.Candidate]:
        """Asks the own zone, and other zones if it is busy."""
        entries = self.usable(wanted)
        near = [e for e in entries if e.server.zone == self.asker.zone]
        path = wanted.service.health_path
        if not near or len(near) == len(entries):
            return await self.asker.ask(self._some(entries, ASKED), path)
        name = wanted.service.name
        rate = self.near_enough.get(name, 1.0)
        if rate < NEAR_ENOUGH:
            some = self._some(entries, ASKED)
            found = await self.asker.ask(some, path)
            self._note_near(name, any(map(self._is_near_and_good, found)))
            return found
        asked = self._some(self._preferred(near), ASKED_NEAR)
        found = await self.asker.ask(asked, path)
        enough = any(map(self._is_near_and_good, found))
        self._note_near(name, enough)
        if enough:
            return found
        far = [entry for entry in entries if entry not in asked]
        try:
            found += await self.asker.ask(self._some(far, ASKED - 1), path)
        except BaseException:
            self.asker.give_back(found)
            raise
        found.sort(key=lambda candidate: candidate.score)
        return found

    def _preferred(self, near: list[servers.Entry]) -> list[servers.Entry]:
        """Returns the servers that this daemon keeps connections to."""
        if len(near) <= KEPT_NEAR or self.random.randrange(EXPLORED) == 0:
            return near
        return sorted(near, key=self._rank)[:KEPT_NEAR]

    def _rank(self, entry: servers.Entry) -> int:
        return zlib.crc32(f"{self.daemon} {entry.server.instance}".encode())

    def _some(
        self, entries: list[servers.Entry], most: int
    ) -> list[servers.Entry]:
        return self.random.sample(entries, min(most, len(entries)))

    def _is_near_and_good(self, candidate: asking.Candidate) -> bool:
        near = candidate.entry.server.zone == self.asker.zone
        return near and candidate.fit and candidate.score <= GOOD_SCORE

    def _note_near(self, service: str, enough: bool) -> None:
        rate = self.near_enough.get(service, 1.0)
        self.near_enough[service] = rate + NEAR_WEIGHT * (enough - rate)

    def _best(
        self, found: list[asking.Candidate], most_score: float
    ) -> asking.Candidate | None:
        """Keeps the best ready candidate and hands the others back.

        A server that calls itself unfit is taken only if all that answered do:
        then they may be lying, and refusing would serve nobody.
        """
        now = self.loop.time()
        any_fit = any(one.fit for one in found)
        best = next(
            (
                one
                for one in found
                if one.fit == any_fit
                and one.ready(SLOWEST)
                and one.score <= most_score
                and one.entry.usable(now)
            ),
            None,
        )
        self.asker.give_back([one for one in found if one is not best])
        return best
