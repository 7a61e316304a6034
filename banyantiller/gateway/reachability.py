"""Detects that this daemon reaches no server of a service.

A single silent server is a fault of that server. If none of several responds,
this daemon's own links are the likelier fault, and other daemons may still
reach the servers. Calls are then not kept waiting for probes. Servers are
probed in the background until one responds.
"""

import asyncio
import random
from collections.abc import Callable

from banyantiller.gateway import events, probing, servers, types

# Pause between checks while no server responds.
CHECK_PAUSE_S = 0.25
# Number of servers that a check probes.
MAX_CHECKED = 6


class Reachability:
    """Services of which no server responds to this daemon.

    Attributes:
        table: Registered servers.
        prober: Probes servers.
        service: Returns the definition of a service, or None.
        lost_at: Loop time since which a service is not reached, by its name.
        checks: Running checks by service.
        on_change: Called with the name of a service that was lost or is reached
            again.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        prober: probing.LoadProber,
        service: Callable[[str], types.Service | None],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.prober = prober
        self.service = service
        self.random = rng
        self.lost_at: dict[str, float] = {}
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.on_change: Callable[[str], None] = lambda _: None
        self.loop = asyncio.get_running_loop()

    def is_lost(self, service: str) -> bool:
        """Returns whether no server of a service responds."""
        return service in self.lost_at

    def lost_services(self) -> list[str]:
        """Returns the names of the services of which no server responds."""
        return sorted(self.lost_at)

    def check(self, service: str) -> None:
        """Starts to check a service, as no server responded to a call."""
        if service not in self.checks:
            check = self.loop.create_task(self._check(service))
            self.checks[service] = check
            check.add_done_callback(lambda _: self.checks.pop(service, None))

    def close(self) -> None:
        """Cancels running checks."""
        for check in self.checks.values():
            check.cancel()

    async def _check(self, service: str) -> None:
        """Probes servers of a service until one responds or none is left."""
        while not await self._any_responds(service):
            self._record_lost(service)
            await asyncio.sleep(CHECK_PAUSE_S)
        self._record_reached(service)

    async def _any_responds(self, service: str) -> bool:
        """Returns whether a server responds, or there is none to probe."""
        definition = self.service(service)
        entries = self._sample(service)
        if definition is None or not entries:
            return True
        unprobed = [one for one in entries if self.prober.is_without_load(one)]
        if unprobed:
            return await self._any_accepts(unprobed)
        found = await self.prober.probe(entries, definition.health_path)
        self.prober.release(found)
        return any(not entry.health.missed_responses for entry in entries)

    async def _any_accepts(self, entries: list[servers.ServerEntry]) -> bool:
        """Returns whether one of some servers accepts a connection.

        The response of a server that reports no load may wait for a slot, so a
        missing one shows nothing.
        """
        pools = [self.prober.pools(entry.server) for entry in entries]
        return any(await asyncio.gather(*(one.accepts() for one in pools)))

    def _sample(self, service: str) -> list[servers.ServerEntry]:
        """Returns the servers to probe, those that missed fewest first."""
        entries = self.table.usable(service, self.loop.time())
        self.random.shuffle(entries)
        entries.sort(key=lambda entry: entry.health.missed_responses)
        return entries[:MAX_CHECKED]

    def _record_lost(self, service: str) -> None:
        if service in self.lost_at:
            return
        now = self.loop.time()
        self.lost_at[service] = now
        count = len(self.table.usable(service, now))
        events.emit(events.ServersUnreachable(service, count))
        self.on_change(service)

    def _record_reached(self, service: str) -> None:
        lost_at = self.lost_at.pop(service, None)
        if lost_at is None:
            return
        now = self.loop.time()
        entries = self.table.usable(service, now)
        # Their silence was that of the links, so none of them is avoided.
        for entry in entries:
            entry.health.end_pause()
        events.emit(events.ServersReachable(service, round(now - lost_at, 3)))
        self.on_change(service)
