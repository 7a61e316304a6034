"""A gateway, a store and servers in one process, on the paused clock."""

import asyncio
import random
from typing import NamedTuple

import h11

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import gateway as gateways
from banyantiller.gateway import settings as options
from banyantiller.http import server
from banyantiller.platform import plugin
from banyantiller.tests import base
from standins import platform_store, registered_server

ADDRESS = "127.0.0.1"
HOST = "desk.example"
SERVICE = "orders"
# Longer than any play.
NEVER_S = 3600.0


class Response(NamedTuple):
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    took_s: float


class Caller:
    """A caller's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.codec = None

    @classmethod
    async def connect(cls, world):
        """Connects to the gateway."""
        return cls(*await asyncio.open_connection(ADDRESS, world.port))

    def send(self, request_id, path="/read/x", method="GET", body=b"", **more):
        """Sends a request; several may be sent ahead."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"host: {HOST}",
            f"attempt-id: {request_id}",
            f"deadline-ms: {more.pop('deadline_ms', 1000)}",
        ]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in more.items()]
        if body or method == "POST":
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.writer.write(head.encode() + body)

    async def read(self):
        """Reads the next answer; None if the connection ends before it."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        codec = h11.Connection(h11.CLIENT)
        codec.send(
            h11.Request(method="GET", target="/", headers=[("host", HOST)])
        )
        codec.send(h11.EndOfMessage())
        if self.codec is not None and self.codec.trailing_data[0]:
            codec.receive_data(self.codec.trailing_data[0])
        head = None
        body = b""
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self.reader.read(65536)
                except ConnectionError:
                    return None
                if not data:
                    return None
                codec.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.codec = codec
                headers = {
                    n.decode(): v.decode("latin-1") for n, v in head.headers
                }
                took_s = loop.time() - began
                return Response(head.status_code, headers, body, took_s)

    def close(self):
        """Leaves."""
        self.writer.transport.abort()


class GatewayHarness:
    """A gateway between callers and servers.

    Attributes:
        store: Stand-in of the store.
        servers: Stand-ins of servers by instance.
        gateway: The gateway.
        port: Where it listens for callers.
        unresponsive: Machines of other daemons that are not there yet and
            answer nothing, by the port at which the daemon will be asked.
    """

    def __init__(self, seed=1):
        self.store = platform_store.PlatformStore()
        self.servers = {}
        self.seed = seed
        self.version = 0
        self.tasks = []
        self.controls = []
        self.unresponsive = {}

    async def __aenter__(self):
        """Starts everything, with a first document and three servers."""
        self.http = server.HttpServer(self.store.handle)
        self.bound = await self.http.start(ADDRESS, 0)
        self.put_document()
        for index in range(3):
            await self.add_server(f"s{index}")
        await self.start_gateway()
        await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc):
        """Ends everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in list(self.gateway.connections):
            connection.transport.abort()
        await self.gateway.close()
        self.gateway.listener.close()
        for stand_in in self.servers.values():
            stand_in.stop()
        for control in self.controls:
            await control.close()
        await self.http.close()

    async def start_gateway(self, seeds=(), name="d1", control_port=0, **more):
        """Starts the gateway and what follows the store."""
        settings = options.Settings(
            daemon=name,
            zone="zone-a",
            callers=f"{ADDRESS}:0",
            ready=f"{ADDRESS}:0",
            store=f"{ADDRESS}:{self.bound.port}",
            control=f"{ADDRESS}:{control_port}" if control_port else "",
            seeds=seeds,
            retry_extra=480.0,
            **more,
        )
        adapter = plugin.create(Endpoint(ADDRESS, self.bound.port))
        rng = random.Random(self.seed)
        self.gateway = gateways.Gateway(settings, adapter, rng)
        bodies = [one.run() for one in self.gateway.store_view.store_watchers()]
        bodies.append(self.gateway.run_housekeeping())
        bodies.append(self.gateway.quarantine_sync.run())
        self.tasks += [asyncio.ensure_future(body) for body in bodies]
        bound = await self.gateway.start(Endpoint(ADDRESS, 0))
        self.port = bound.port
        handle = self.gateway.handle_peer
        if control_port in self.unresponsive:
            self.unresponsive.pop(control_port).handler = handle
            return
        control = server.HttpServer(handle)
        self.control = await control.start(ADDRESS, control_port)
        self.controls.append(control)

    async def make_unresponsive(self, control_port):
        """Lets questions to a daemon go unanswered until it starts.

        As with a machine without power, those from before stay unanswered.
        """
        machine = server.HttpServer(_answer_nothing)
        await machine.start(ADDRESS, control_port)
        self.unresponsive[control_port] = machine
        self.controls.append(machine)

    def put_document(
        self,
        routes=None,
        services=(SERVICE, "other"),
        cold_per_s=None,
        **limits,
    ):
        """Puts a new version in force."""
        cold = {} if cold_per_s is None else {"warmupPerS": cold_per_s}
        self.version += 2
        routes = routes or [
            route("read", "safe", "/read/"),
            route("file", "unsafe", "/file/"),
        ]
        allowed = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100000,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {"name": name, "healthPath": "/health", "maxConns": 220}
                    | cold
                    for name in services
                ],
                "limits": allowed | limits,
            },
        )

    async def add_server(self, instance, service=SERVICE, port=0, **more):
        """Starts a server and registers it."""
        found = registered_server.RegisteredServer(instance, **more)
        self.servers[instance] = found
        await found.start(ADDRESS, port)
        self.register(instance, service)
        return found

    def register(
        self, instance, service=SERVICE, state="ready", port=None, **more
    ):
        """Writes a server's registration."""
        self.store.put(
            "servers",
            instance,
            {
                "service": service,
                "address": f"{ADDRESS}:{port or self.servers[instance].port}",
                "zone": "zone-a",
                "version": "v1",
                "maxConcurrency": self.servers[instance].slots,
                "state": state,
                "warmupLeftS": 0,
                "sequence": 1,
            }
            | more,
        )

    async def request(self, request_id, *arguments, **more):
        """Sends one request on a connection of its own."""
        caller = await Caller.connect(self)
        caller.send(request_id, *arguments, **more)
        answer = await caller.read()
        caller.close()
        return answer

    def ran(self, request_id):
        """Returns how often a request was executed."""
        return sum(one.ran[request_id] for one in self.servers.values())

    def fault(self, **faults):
        """Sets faults of every server."""
        for one in self.servers.values():
            for name, value in faults.items():
                setattr(one.faults, name, value)


class TestCase(base.TestCase):
    """Plays calls on the paused clock."""

    def play(self, body, **more):
        """Runs `body(world)` in a world of its own."""

        async def whole():
            async with GatewayHarness(**more) as place:
                return await body(place)

        return self.run_paused(whole())


async def _answer_nothing(request):
    await asyncio.sleep(NEVER_S)


def route(name, kind, prefix, service=SERVICE, **more):
    """Returns a route as the store holds it."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": 0.8,
        "targetLatencyS": 0.2,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    } | more
