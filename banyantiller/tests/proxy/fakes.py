"""Scripted backend servers, callers, dispatcher and claims."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

from banyantiller.bundle import options
from banyantiller.claims.types import Finished, Granted
from banyantiller.config import defaults
from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.kernel import core, events
from banyantiller.proxy.proxy import Proxy
from banyantiller.routing import types

HOST = "::1"
CALLER_PORT = 8000

Script = Callable[["FakeConnection"], Awaitable[None]]


class FakeConnection:
    """A connection of a scripted backend server or of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def head(self) -> bytes:
        """Reads a head."""
        return await self.reader.readuntil(b"\r\n\r\n")

    async def message(self) -> tuple[bytes, bytes]:
        """Reads a head and the body that its length declares."""
        head = await self.head()
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
                return head, await self.reader.readexactly(length)
        if b"transfer-encoding: chunked" in head.lower():
            body = await self.reader.readuntil(b"\r\n0\r\n")
            line = b""
            while line != b"\r\n":
                line = await self.reader.readline()
                body += line
            return head, body
        return head, b""

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()


class FakeServer:
    """A backend server that runs a script on each connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections: list[FakeConnection] = []
        self.heads: list[bytes] = []
        self.server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, port)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = FakeConnection(reader, writer)
        self.connections.append(connection)
        try:
            await self.script(connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The loop of the test is shutting down.
            return
        finally:
            writer.close()


def responding(
    response: bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    seen: list[bytes] | None = None,
    wait_s: float = 0.0,
) -> Script:
    """Returns a script that sends the same response to each request."""

    async def script(connection: FakeConnection) -> None:
        while True:
            head, body = await connection.message()
            if seen is not None:
                seen.append(head + body)
            if wait_s:
                await asyncio.sleep(wait_s)
            await connection.send(response)

    return script


class RoundRobin:
    """A dispatcher without limits that retries only what is safe to retry."""

    def __init__(self, service: options.Service, servers: tuple, now: float):
        self.numbers = itertools.count(1)
        self.calls: dict[int, types.Call] = {}
        self.tried: dict[int, list[str]] = {}
        self.by_attempt: dict[int, int] = {}
        self.reports: list[tuple[str, types.LoadReport]] = []
        self.done: list[int] = []
        self.failed_probes: list[str] = []
        self.configure(service, servers, now)

    @classmethod
    def create(cls, service, servers, daemon, zone, seed, now, charge):
        return cls(service, servers, now)

    def configure(self, service, servers, now):
        self.service = service
        self.servers = servers
        return []

    def submit(self, call, now):
        self.calls[call.call_id] = call
        self.tried[call.call_id] = []
        if call.deadline <= now:
            return self.refuse(call.call_id, ErrorKind.DEADLINE_BEFORE_START)
        return self.start(call.call_id)

    def start(self, call_id):
        used = self.tried[call_id]
        free = [s.name for s in self.servers if not s.leaving]
        left = [name for name in free if name not in used]
        if not left:
            return self.refuse(call_id, ErrorKind.NO_SERVER)
        number = next(self.numbers)
        self.by_attempt[number] = call_id
        used.append(left[0])
        return [types.Start(call_id, number, left[0])]

    def refuse(self, call_id, error_kind):
        del self.calls[call_id]
        running = [a for a, c in self.by_attempt.items() if c == call_id]
        cancels = [types.Cancel(a) for a in running]
        return [*cancels, types.Refuse(call_id, Failure(error_kind, "", 1.0))]

    def attempt_head(self, attempt_id, result, now):
        call_id = self.by_attempt[attempt_id]
        call = self.calls[call_id]
        if result.ok:
            del self.calls[call_id]
            return [types.Relay(call_id, attempt_id)]
        del self.by_attempt[attempt_id]
        may = result.replayable and (call.idempotent or result.ran is Ran.NO)
        if may and len(self.tried[call_id]) < len(self.servers):
            return self.start(call_id)
        return self.refuse(call_id, result.error)

    def attempt_done(self, attempt_id, now):
        self.done.append(attempt_id)
        self.by_attempt.pop(attempt_id, None)
        return []

    def cancel(self, call_id, now):
        self.calls.pop(call_id, None)
        running = [a for a, c in self.by_attempt.items() if c == call_id]
        return [types.Cancel(a) for a in running]

    def report(self, server, report, now):
        self.reports.append((server, report))
        return []

    def probe_failed(self, server, now):
        self.failed_probes.append(server)
        return []

    def members(self, alive, now):
        self.alive = alive

    def own_load(self, now):
        return {s.name: 0.0 for s in self.servers}

    def tick(self, now):
        actions = []
        for call_id, call in list(self.calls.items()):
            if call.deadline <= now:
                error_kind = ErrorKind.DEADLINE_AFTER_START
                actions += self.refuse(call_id, error_kind)
        return actions

    def next_tick(self):
        return min((c.deadline for c in self.calls.values()), default=None)


class MemoryClaims:
    """In-memory claims that record how the proxy settles them."""

    def __init__(self) -> None:
        self.responses: dict[str, object] = {}
        self.settled: list[tuple] = []
        self.outcome = None

    async def claim(self, request, deadline):
        if self.outcome is not None:
            return self.outcome
        await asyncio.sleep(0.001)
        if request.key in self.responses:
            return Finished(self.responses[request.key])
        return Granted("nonce")

    async def finish(self, request, nonce, response):
        self.responses[request.key] = response
        self.settled.append(("finish", request.key, response))

    async def release(self, request, nonce):
        self.settled.append(("release", request.key))

    async def mark_unknown(self, request, nonce):
        self.settled.append(("mark_unknown", request.key))


def make_settings(**changes) -> defaults.Settings:
    nowhere = defaults.Endpoint(HOST, 1)
    return defaults.Settings(
        deployment="test",
        daemon="daemon-1",
        zone="zone-a",
        callers=defaults.CallerSettings(
            defaults.Endpoint(HOST, CALLER_PORT), **changes
        ),
        admin=nowhere,
        peers=defaults.PeerSettings(nowhere),
        object_api=defaults.ObjectApiSettings(nowhere),
    )


def make_service(ports: list[int], **changes) -> options.Service:
    servers = tuple(
        options.BackendServer(f"server-{port}", HOST, port) for port in ports
    )
    rules = (options.RequestRule(True, ("GET", "HEAD")),)
    return options.Service("orders", servers, requests=rules, **changes)


class Bench:
    """A proxy, its backend servers and the events that it emitted."""

    def __init__(self, proxy: Proxy, claims: MemoryClaims) -> None:
        self.proxy = proxy
        self.claims = claims
        self.finished: list[events.CallFinished] = []
        self.servers: list[FakeServer] = []

    @classmethod
    def make(
        cls,
        settings: defaults.Settings,
        create: Callable[..., types.Dispatcher] = RoundRobin.create,
    ) -> "Bench":
        """Creates a proxy that neither listens nor has a bundle."""
        kernel = core.Kernel()
        claims = MemoryClaims()
        proxy = Proxy.from_settings(
            settings,
            kernel,
            create,
            claims,
            lambda service: lambda now: True,
            lambda: 1000.0,
            random.Random(1).getrandbits(32),
        )
        bench = cls(proxy, claims)
        kernel.subscribe(events.CallFinished, bench.finished.append)
        return bench

    @classmethod
    async def start(
        cls,
        *scripts: Script | None,
        settings: defaults.Settings | None = None,
        backends: defaults.BackendSettings | None = None,
        create: Callable[..., types.Dispatcher] = RoundRobin.create,
        **changes,
    ) -> "Bench":
        """Starts a backend server for each script; None refuses connections."""
        settings = settings or make_settings()
        if backends is not None:
            settings = settings._replace(backends=backends)
        bench = cls.make(settings, create)
        ports = []
        for port, script in enumerate(scripts, 9001):
            ports.append(port)
            bench.servers.append(FakeServer(script))
            if script is not None:
                await bench.servers[-1].start(port)
        if ports:
            service = make_service(ports, **changes)
            bench.proxy.apply(options.Bundle((service,)), 1, 1000.0)
        await bench.proxy.start()
        return bench

    async def connect(self) -> FakeConnection:
        return FakeConnection(*await asyncio.open_connection(HOST, CALLER_PORT))

    async def exchange(self, data: bytes, wait_s: float = 0.0) -> bytes:
        """Sends bytes on a new connection; returns all data until it closes."""
        caller = await self.connect()
        await caller.send(data)
        try:
            async with asyncio.timeout(wait_s or 200):
                return await caller.reader.read()
        finally:
            caller.writer.close()
