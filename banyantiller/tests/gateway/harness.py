"""Runs a gateway, a store and servers in one process, on a paused clock."""

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
# Longer than any test scenario.
NEVER_S = 3600.0


class Response(NamedTuple):
    """A reply as a caller received it."""

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
    async def connect(cls, env):
        """Connects to the gateway."""
        return cls(*await asyncio.open_connection(ADDRESS, env.port))

    def send(self, request_id, path="/read/x", method="GET", body=b"", **more):
        """Sends a request; requests may be pipelined."""
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
        self.writer.write(head.encode("latin-1") + body)

    async def read(self):
        """Reads the next reply; None if the connection is closed before it."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
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
                took_s = loop.time() - started_at
                return Response(head.status_code, headers, body, took_s)

    def close(self):
        """Aborts the connection."""
        self.writer.transport.abort()


class GatewayHarness:
    """A gateway between callers and servers.

    Attributes:
        store: Stand-in of the store.
        servers: Stand-ins of servers by instance.
        gateway: The gateway.
        gateway_class: Class of gateways to start.
        port: Port on which it listens for callers.
        unresponsive: Servers that accept requests of peers but do not respond,
            by the control port of the daemon that takes their place.
    """

    def __init__(self, seed=1):
        self.store = platform_store.PlatformStore()
        self.servers = {}
        self.seed = seed
        self.version = 0
        self.tasks = []
        self.controls = []
        self.unresponsive = {}
        self.gateway_class = gateways.Gateway

    async def __aenter__(self):
        """Starts the store, three servers and the gateway."""
        self.http = server.HttpServer(self.store.handle)
        self.bound = await self.http.start(ADDRESS, 0)
        self.put_document()
        for index in range(3):
            await self.add_server(f"s{index}")
        await self.start_gateway()
        await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc):
        """Stops everything."""
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
        """Starts a gateway with its store watchers and periodic tasks."""
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
        self.gateway = self.gateway_class(settings, adapter, rng)
        bodies = [
            watcher.run()
            for watcher in self.gateway.store_view.store_watchers()
        ]
        bodies.append(self.gateway.run_housekeeping())
        bodies.append(self.gateway.quarantine_sync.run())
        bodies.append(self.gateway.relay_succession.run())
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
        """Leaves queries to a daemon without a response until it starts.

        Queries sent before the start never get one, as with a machine that has
        no power.
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
        organisations=None,
        **limits,
    ):
        """Writes a new version of the document to the store.

        Callers need keys if `organisations` is a list.
        """
        tenants = {} if organisations is None else {"tenants": organisations}
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
            }
            | tenants,
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
        """Sends a request on a new connection and returns the reply."""
        caller = await Caller.connect(self)
        caller.send(request_id, *arguments, **more)
        answer = await caller.read()
        caller.close()
        return answer

    def ran(self, request_id):
        """Returns how often a request was executed."""
        return sum(
            stand_in.ran[request_id] for stand_in in self.servers.values()
        )

    def fault(self, **faults):
        """Sets faults of every server."""
        for stand_in in self.servers.values():
            for name, value in faults.items():
                setattr(stand_in.faults, name, value)


class TestCase(base.TestCase):
    """Runs scenarios on the paused clock."""

    def play(self, body, **more):
        """Runs `body(env)` with a new `GatewayHarness`."""

        async def whole():
            async with GatewayHarness(**more) as env:
                return await body(env)

        return self.run_paused(whole())


async def _answer_nothing(request):
    await asyncio.sleep(NEVER_S)


def route(name, kind, prefix, service=SERVICE, **more):
    """Returns a route in the format of the store."""
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
