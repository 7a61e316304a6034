"""Chooses a server for a request, or finds that none can be in time."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.gateway import asking, servers, types

# Servers asked for each request: five reach nearly all that eight do.
ASKED = 5
# Pause before servers are asked again; a slot frees every 15 ms or so.
ASK_AGAIN_S = 0.015
# Longest wait for a free slot, as a share of the latency objective: a longer
# one leaves too little time for the work itself.
PATIENCE = 0.15
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
    """

    route: types.Route
    service: types.Service
    until: float
    tried: frozenset[str]


class Chooser:
    """Asks a few servers at a time until one is ready.

    Attributes:
        table: Registered servers.
        asker: Asks for their load.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        asker: asking.Asker,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.asker = asker
        self.random = rng
        self.loop = asyncio.get_running_loop()

    async def choose(self, wanted: Wanted) -> asking.Candidate | None:
        """Returns the best ready server, or None if none got ready.

        The candidate's connection belongs to the caller.
        """
        while True:
            found = await self._ask(wanted)
            best = self._best(found)
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
        entries = self.usable(wanted)
        if not entries:
            return []
        some = self.random.sample(entries, min(ASKED, len(entries)))
        return await self.asker.ask(some, wanted.service.health_path)

    def _best(self, found: list[asking.Candidate]) -> asking.Candidate | None:
        """Keeps the best ready candidate and hands the others back."""
        now = self.loop.time()
        best = next(
            (
                one
                for one in found
                if one.ready(SLOWEST) and one.entry.usable(now)
            ),
            None,
        )
        self.asker.give_back([one for one in found if one is not best])
        return best
