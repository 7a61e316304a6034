"""Asks some servers for their load just before a request is sent."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.gateway import events, pool, servers, types
from banyantiller.gateway.decisions import scoring
from banyantiller.http import connection, messages

# A server answers within 8 ms, over a new connection within 11; one that
# takes ten times as long counts as silent.
PROBE_TIMEOUT_S = 0.1
# How long the others are waited for once one server has answered.
OTHERS_WAIT_S = 0.02
HEALTH_BYTES = 65536
# Score of a server that is idle, as fast as usual, in the own zone: no other
# can be better, so the rest is not waited for.
IDEAL_SCORE = 1.1


@dataclasses.dataclass(slots=True)
class Candidate:
    """A server that may get a request now.

    Attributes:
        entry: The server.
        link: Connection on which it answered, or None.
        load: Its load, or None if it tells none.
        probed_at: Loop time of its answer.
        healthy: Whether it says that it is well.
        score: Its cost; less is better.
        answered_count: Servers that answered the same question.
    """

    entry: servers.ServerEntry
    link: pool.Link | None
    load: types.Load | None
    probed_at: float
    healthy: bool
    score: float
    answered_count: int = 0

    def ready(self, max_slowness: float) -> bool:
        """Tells whether a request would start at once and at speed.

        Args:
            max_slowness: Greatest slowness that is taken.
        """
        if self.load is None:
            return self.entry.in_flight < self.entry.server.slots
        return (
            scoring.has_free_slot(self.load)
            and self.load.slowness <= max_slowness
        )

    def takes_last_slot(self) -> bool:
        """Tells whether a request would take its last slot."""
        return self.load is not None and scoring.takes_last_slot(self.load)


class ProbeResult(NamedTuple):
    """What a server told of itself.

    Attributes:
        healthy: Whether it says that it is well.
        load: Its load, or None.
        instance: Its identity, or empty.
        warmup_s: How long it is still cold, in seconds.
    """

    healthy: bool
    load: types.Load | None
    instance: str
    warmup_s: float = 0.0


Pools = Callable[[types.Server], pool.Pool]


class ProbeCallbacks(NamedTuple):
    """Called with a server of which asking has shown something.

    Attributes:
        on_moved: Another instance has its address.
        on_refused_connection: Its machine refuses connections to it.
        on_response: It answered a question that was sent at a loop time.
    """

    on_moved: Callable[[types.Server], None]
    on_refused_connection: Callable[[types.Server], None]
    on_response: Callable[[types.Server, messages.Headers, float], None]


class LoadProber:
    """Asks servers over kept connections.

    Attributes:
        wire: Names of header fields.
        read_load: Decodes the load header.
        pools: Returns the pool of a server.
        callbacks: Called when a server has gone.
        zone: Availability zone of this daemon.
        services_without_load: Services of which a server answered without a
            load, and none has answered with one yet.
        services_with_load: Services of which a server told its load.
        probe_count: Questions so far.
        tasks: Questions whose answers are not in.
    """

    def __init__(
        self,
        adapter: types.Adapter,
        pools: Pools,
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
        """Returns the servers that answered in time, best first.

        Where servers don't tell their load they are not asked: their answer
        would wait for a slot as any request does.

        Connections of the candidates belong to the caller, which hands them
        back with `release`.
        """
        unasked = [one for one in entries if self._is_without_load(one)]
        if entries and len(unasked) == len(entries):
            return self._unasked(unasked)
        asked = ProbeRound()
        tasks = [
            self.loop.create_task(self._ask_one(entry, health_path, asked))
            for entry in entries
            if entry not in unasked
        ]
        self.tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self.tasks.discard)
        try:
            await self._gather(tasks, asked)
        except BaseException:
            self.release(asked.close())
            raise
        found = asked.close() + self._unasked(unasked)
        for candidate in found:
            candidate.answered_count = len(found)
        found.sort(key=lambda candidate: candidate.score)
        return found

    def release(self, candidates: list[Candidate]) -> None:
        """Hands the connections of candidates back to their pools."""
        for candidate in candidates:
            if candidate.link is not None:
                server = candidate.entry.server
                self.pools(server).put_idle(candidate.link)
                candidate.link = None

    def record_response_load(
        self, entry: servers.ServerEntry, headers: messages.Headers
    ) -> None:
        """Notes a load that came with the answer to a request.

        Servers without a load are not asked for it, so that nothing else would
        show that they tell it again: one answer may lack it, and a service may
        be upgraded.
        """
        if not self._is_without_load(entry):
            return
        told = messages.find_header(headers, self.wire.load.decode())
        if told and self.read_load(told.encode("latin-1")) is not None:
            self._note_load(entry)

    def _is_without_load(self, entry: servers.ServerEntry) -> bool:
        return (
            entry.without_load
            or entry.server.service in self.services_without_load
        )

    def _note_load(self, entry: servers.ServerEntry) -> None:
        """Notes that a server told its load."""
        entry.without_load = False
        self.services_with_load.add(entry.server.service)
        self.services_without_load.discard(entry.server.service)

    def _note_no_load(self, entry: servers.ServerEntry) -> None:
        """Notes that a server told no load.

        Until one of its service does, that is taken to hold for all of them: a
        question to a server that tells none waits for a slot.
        """
        service = entry.server.service
        if service in self.services_with_load:
            entry.without_load = True
        elif service not in self.services_without_load:
            self.services_without_load.add(service)
            events.emit(events.ServiceWithoutLoad(service))

    def _unasked(self, entries: list[servers.ServerEntry]) -> list[Candidate]:
        """Ranks servers by what this daemon has under way there."""
        nothing = ProbeResult(True, None, "")
        found = [self._candidate(entry, None, nothing) for entry in entries]
        found.sort(key=lambda candidate: candidate.score)
        return found

    async def _gather(
        self, tasks: list[asyncio.Task[None]], asked: "ProbeRound"
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
                for one in asked.candidates
            ):
                return
            if asked.candidates:
                until = min(until, self.loop.time() + OTHERS_WAIT_S)

    async def _ask_one(
        self, entry: servers.ServerEntry, health_path: str, asked: "ProbeRound"
    ) -> None:
        """Asks one server; adds it to the round if that is still open."""
        home = self.pools(entry.server)
        link: pool.Link | None = None
        self.probe_count += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                link, answer = await self._exchange(home, entry, health_path)
        except pool.PoolFullError:
            return
        except (OSError, connection.ConnectionLostError) as error:
            self._silent(entry, error)
            return
        if entry.health.record_response():
            events.emit(events.ServerResponsive(entry.server.instance))
        if answer.instance and answer.instance != entry.server.instance:
            home.discard(link)
            self.callbacks.on_moved(entry.server)
            return
        entry.record_warmup(answer.warmup_s, self.loop.time())
        if answer.load is not None:
            self._note_load(entry)
        elif answer.healthy:
            self._note_no_load(entry)
        if not link.connection.ready_again():
            home.discard(link, pool.Reason.CLOSED)
            link = None
        if asked.open:
            asked.candidates.append(self._candidate(entry, link, answer))
        elif link is not None:
            home.put_idle(link)

    async def _exchange(
        self, home: pool.Pool, entry: servers.ServerEntry, health_path: str
    ) -> tuple[pool.Link, ProbeResult]:
        link = await home.acquire()
        if link.reused:
            # A kept connection may have been dropped by the server, which
            # says nothing of the server itself.
            try:
                return link, await self._read(home, link, entry, health_path)
            except (OSError, connection.ConnectionLostError) as error:
                events.emit(
                    events.KeptConnectionLost(entry.server.instance, str(error))
                )
            link = await home.acquire(fresh=True)
        return link, await self._read(home, link, entry, health_path)

    async def _read(
        self,
        home: pool.Pool,
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
            while True:
                response = await link.connection.read_head()
                await link.connection.read_body(HEALTH_BYTES)
                if not response.header(self.wire.request_id.decode()):
                    break
                # A server's second answer to an earlier request.
                link.connection.expect_again(request)
        except BaseException:
            home.discard(link)
            raise
        self.callbacks.on_response(server, response.headers, sent_at)
        told = response.header(self.wire.load.decode())
        load = self.read_load(told.encode("latin-1")) if told else None
        return ProbeResult(
            response.status == 200,
            load,
            response.header(self.wire.instance.decode()),
            self._warmup_s(response),
        )

    def _warmup_s(self, response: messages.Response) -> float:
        told = response.header(self.wire.warmup_ms.decode())
        return int(told) / 1000 if told.isdigit() else 0.0

    def _candidate(
        self,
        entry: servers.ServerEntry,
        link: pool.Link | None,
        answer: ProbeResult,
    ) -> Candidate:
        now = self.loop.time()
        load = answer.load
        seen = load or types.Load(entry.in_flight, 0, entry.server.slots, 1.0)
        score = scoring.score(
            seen,
            entry.health.failure_rate_at(now),
            entry.server.zone == self.zone,
            now < entry.warm_at,
        )
        return Candidate(entry, link, load, now, answer.healthy, score)

    def _silent(self, entry: servers.ServerEntry, error: Exception) -> None:
        if isinstance(error, ConnectionRefusedError):
            self.callbacks.on_refused_connection(entry.server)
        if entry.health.record_no_response(self.loop.time()):
            events.emit(
                events.ServerUnresponsive(
                    entry.server.instance, str(error) or type(error).__name__
                )
            )


class ProbeRound:
    """Servers that answered one question, while it is of interest.

    Attributes:
        open: Whether further answers are taken.
        candidates: Servers that answered.
    """

    def __init__(self) -> None:
        self.open = True
        self.candidates: list[Candidate] = []

    def close(self) -> list[Candidate]:
        """Takes no further answers and returns those that are in."""
        self.open = False
        return self.candidates
