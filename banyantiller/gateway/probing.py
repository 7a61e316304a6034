"""Probes servers for their load just before a request is sent."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.gateway import (
    events,
    exchange,
    pool,
    server_responses,
    servers,
    types,
)
from banyantiller.gateway.decisions import scoring
from banyantiller.http import connection, messages
from banyantiller.utils import decoding

# A server answers a probe within 8 ms, over a new connection within 11. One
# that takes ten times as long counts as unresponsive.
PROBE_TIMEOUT_S = 0.1
# How long to wait for the other results once one server has answered.
MORE_RESULTS_WAIT_S = 0.02
MAX_HEALTH_BYTES = 65536
# Failures of a probe that its server caused.
FAILURES = (
    OSError,
    connection.ConnectionLostError,
    connection.BodyTooLargeError,
)
# Score of an idle server of the local zone at its usual speed. No other server
# can be better, so a probe round ends with it.
IDEAL_SCORE = 1.1


@dataclasses.dataclass(slots=True)
class Candidate:
    """A server that may get a request now.

    Attributes:
        entry: The server.
        link: Connection on which it answered the probe, or None.
        load: Its load, or None if it reports none.
        probed_at: Loop time of its result.
        healthy: Whether it reports itself healthy.
        score: Its cost; lower is better.
        answered_count: Number of candidates of the same round.
    """

    entry: servers.ServerEntry
    link: pool.Link | None
    load: types.Load | None
    probed_at: float
    healthy: bool
    score: float
    answered_count: int = 0

    def ready(self, max_slowness: float) -> bool:
        """Returns whether a request would start at once and run fast enough.

        Args:
            max_slowness: Maximum slowness to accept, as a multiple of the usual
                duration.
        """
        if self.load is None:
            return self.entry.in_flight < self.entry.server.slots
        return (
            scoring.has_free_slot(self.load)
            and self.load.slowness <= max_slowness
        )

    def takes_last_slot(self) -> bool:
        """Returns whether a request would take its last slot."""
        return self.load is not None and scoring.takes_last_slot(self.load)


class ProbeResult(NamedTuple):
    """What a server reports in its answer to a probe.

    Attributes:
        healthy: Whether it reports itself healthy.
        load: Its load, or None if it reports none.
        instance: Its instance, or empty if it reports none.
        warmup_s: How long it will still be cold, in seconds.
    """

    healthy: bool
    load: types.Load | None
    instance: str
    warmup_s: float = 0.0


PoolLookup = Callable[[types.Server], pool.Pool]


class ProbeCallbacks(NamedTuple):
    """Callbacks for what a probe finds out about a server.

    Attributes:
        on_moved: Called if another instance has the server's address.
        on_refused_connection: Called if the server's machine refuses
            connections to it.
        on_response: Called with the head of its answer and the loop time at
            which the probe was sent.
        on_load: Called with the load that a healthy server reports.
    """

    on_moved: Callable[[types.Server], None]
    on_refused_connection: Callable[[types.Server], None]
    on_response: server_responses.Recorder
    on_load: Callable[[types.Server, types.Load], None]


class LoadProber:
    """Probes servers over kept connections.

    Attributes:
        wire: Names of header fields.
        read_load: Decodes the load header.
        pools: Returns the pool of a server.
        callbacks: Called with what probes find out about servers.
        zone: Availability zone of this daemon.
        services_without_load: Services of which a server answered without a
            load while none has reported one yet.
        services_with_load: Services of which a server has reported its load.
        probe_count: Number of probes sent.
        tasks: Probes without a result yet.
    """

    def __init__(
        self,
        adapter: types.Adapter,
        pools: PoolLookup,
        callbacks: ProbeCallbacks,
        zone: str,
    ) -> None:
        self.wire = adapter.wire
        self.read_load = adapter.read_load
        self.pools = pools
        self.callbacks = callbacks
        self.zone = zone
        self.services_without_load: set[str] = set()
        self.services_with_load: set[str] = set()
        self.probe_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop = asyncio.get_running_loop()

    async def probe(
        self, entries: list[servers.ServerEntry], health_path: str
    ) -> list[Candidate]:
        """Returns the servers that may get a request, best first.

        These are the servers that answered in time, and those that report no
        load. The latter are not probed, as their answer would wait for a slot
        as any request does.

        Connections of the candidates belong to the calling function, which
        returns them with `release`.
        """
        unprobed = [one for one in entries if self.is_without_load(one)]
        if entries and len(unprobed) == len(entries):
            return self._rank_unprobed(unprobed)
        probe_round = ProbeRound()
        tasks = [
            self.loop.create_task(
                self._probe_one(entry, health_path, probe_round)
            )
            for entry in entries
            if entry not in unprobed
        ]
        self.tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self.tasks.discard)
        try:
            await self._gather(tasks, probe_round)
        except BaseException:
            self.release(probe_round.close())
            raise
        found = probe_round.close() + self._rank_unprobed(unprobed)
        for candidate in found:
            candidate.answered_count = len(found)
        found.sort(key=lambda candidate: candidate.score)
        return found

    def release(self, candidates: list[Candidate]) -> None:
        """Returns the connections of candidates to their pools."""
        for candidate in candidates:
            if candidate.link is not None:
                server = candidate.entry.server
                self.pools(server).put_idle(candidate.link)
                candidate.link = None

    def record_response_load(
        self, entry: servers.ServerEntry, headers: messages.Headers
    ) -> None:
        """Records that the response to a request reports a load.

        Servers that report no load are not probed, so only responses to
        requests can show that they do report it. A single response may have
        lacked the load, or the service may have been upgraded.
        """
        if not self.is_without_load(entry):
            return
        field = messages.find_header(headers, self.wire.load.decode())
        if field and self.read_load(field.encode("latin-1")) is not None:
            self._record_load(entry)

    def is_without_load(self, entry: servers.ServerEntry) -> bool:
        """Returns whether a server is not probed, as it reports no load."""
        return (
            entry.without_load
            or entry.server.service in self.services_without_load
        )

    def _record_load(self, entry: servers.ServerEntry) -> None:
        """Records that a server reported its load."""
        entry.without_load = False
        self.services_with_load.add(entry.server.service)
        self.services_without_load.discard(entry.server.service)

    def _record_missing_load(self, entry: servers.ServerEntry) -> None:
        """Records that a server reported no load.

        Until a server of its service reports one, all of them are treated as
        servers without a load, since a probe of such a server waits for a slot.
        """
        service = entry.server.service
        if service in self.services_with_load:
            entry.without_load = True
        elif service not in self.services_without_load:
            self.services_without_load.add(service)
            events.emit(events.ServiceWithoutLoad(service))

    def _rank_unprobed(
        self, entries: list[servers.ServerEntry]
    ) -> list[Candidate]:
        """Ranks servers by the requests of this daemon in flight there."""
        no_load = ProbeResult(True, None, "")
        found = [self._candidate(entry, None, no_load) for entry in entries]
        found.sort(key=lambda candidate: candidate.score)
        return found

    async def _gather(
        self, tasks: list[asyncio.Task[None]], probe_round: "ProbeRound"
    ) -> None:
        pending = set(tasks)
        until = self.loop.time() + 2 * PROBE_TIMEOUT_S
        while pending:
            left = until - self.loop.time()
            if left <= 0:
                return
            _, pending = await asyncio.wait(
                pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            if any(
                one.healthy and one.score <= IDEAL_SCORE
                for one in probe_round.candidates
            ):
                return
            if probe_round.candidates:
                until = min(until, self.loop.time() + MORE_RESULTS_WAIT_S)

    async def _probe_one(
        self,
        entry: servers.ServerEntry,
        health_path: str,
        probe_round: "ProbeRound",
    ) -> None:
        """Probes one server and adds it to the round if that is still open."""
        server_pool = self.pools(entry.server)
        link: pool.Link | None = None
        self.probe_count += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                link, result = await self._exchange(
                    server_pool, entry, health_path
                )
        except pool.PoolFullError:
            return
        except FAILURES as error:
            self._record_no_response(entry, error)
            return
        if entry.health.record_response():
            events.emit(events.ServerResponsive(entry.server.instance))
        if result.instance and result.instance != entry.server.instance:
            server_pool.discard(link)
            self.callbacks.on_moved(entry.server)
            return
        entry.record_warmup(result.warmup_s, self.loop.time())
        if result.load is not None:
            self._record_load(entry)
            if result.healthy:
                self.callbacks.on_load(entry.server, result.load)
        elif result.healthy:
            self._record_missing_load(entry)
        if not link.connection.ready_again():
            server_pool.discard(link, pool.OpenReason.CLOSED)
            link = None
        if probe_round.open:
            probe_round.candidates.append(self._candidate(entry, link, result))
        elif link is not None:
            server_pool.put_idle(link)

    async def _exchange(
        self,
        server_pool: pool.Pool,
        entry: servers.ServerEntry,
        health_path: str,
    ) -> tuple[pool.Link, ProbeResult]:
        link = await server_pool.acquire()
        if link.reused:
            # The server may have closed a kept connection, which shows nothing
            # about its health.
            try:
                return link, await self._read(
                    server_pool, link, entry, health_path
                )
            except FAILURES as error:
                events.emit(
                    events.IdleConnectionLost(entry.server.instance, str(error))
                )
            link = await server_pool.acquire(fresh=True)
        return link, await self._read(server_pool, link, entry, health_path)

    async def _read(
        self,
        server_pool: pool.Pool,
        link: pool.Link,
        entry: servers.ServerEntry,
        health_path: str,
    ) -> ProbeResult:
        server = entry.server
        request = messages.Request(
            "GET", health_path, (("host", f"{server.host}:{server.port}"),)
        )
        sent_at = self.loop.time()
        try:
            link.connection.write(request)
            response = await exchange.read_probe_response(
                link, request, self.wire, MAX_HEALTH_BYTES
            )
        except BaseException:
            server_pool.discard(link)
            raise
        self.callbacks.on_response(server, response, sent_at)
        field = response.header(self.wire.load.decode())
        load = self.read_load(field.encode("latin-1")) if field else None
        return ProbeResult(
            response.status == 200,
            load,
            response.header(self.wire.instance.decode()),
            self._warmup_s(response),
        )

    def _warmup_s(self, response: messages.Response) -> float:
        field = response.header(self.wire.warmup_ms.decode())
        return int(field) / 1000 if decoding.is_number(field) else 0.0

    def _candidate(
        self,
        entry: servers.ServerEntry,
        link: pool.Link | None,
        result: ProbeResult,
    ) -> Candidate:
        now = self.loop.time()
        load = result.load
        known_load = load or types.Load(
            entry.in_flight, 0, entry.server.slots, 1.0
        )
        score = scoring.score(
            known_load,
            entry.health.failure_rate_at(now),
            entry.server.zone == self.zone,
            now < entry.warm_at,
        )
        return Candidate(entry, link, load, now, result.healthy, score)

    def _record_no_response(
        self, entry: servers.ServerEntry, error: Exception
    ) -> None:
        if isinstance(error, ConnectionRefusedError):
            self.callbacks.on_refused_connection(entry.server)
        if entry.health.record_no_response(self.loop.time()):
            events.emit(
                events.ServerUnresponsive(
                    entry.server.instance, str(error) or type(error).__name__
                )
            )


class ProbeRound:
    """Results of one round of probes, collected until it is closed.

    Attributes:
        open: Whether further results are accepted.
        candidates: Servers that answered.
    """

    def __init__(self) -> None:
        self.open = True
        self.candidates: list[Candidate] = []

    def close(self) -> list[Candidate]:
        """Closes the round and returns its candidates."""
        self.open = False
        return self.candidates
