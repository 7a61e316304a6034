"""A fleet in which a request crashes each server that runs it."""

import asyncio
import itertools
from typing import NamedTuple

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

RELAY_PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in RELAY_PORTS)
# Number of daemons that are not relays.
SUBSCRIBER_COUNT = 3
SERVER_COUNT = 6
# Time after which a crashed server restarts, as another instance at the same
# address.
DOWN_S = 3.0
# Time after which a registration without heartbeats is removed: three heartbeat
# intervals.
REGISTRATION_TTL_S = 4.5
# The retry window, after which daemons have counted each other.
SETTLE_S = 12.0
CRASHING_PATH = "/read/deadly"
CRASHING_POST_PATH = "/file/deadly"


class Crash(NamedTuple):
    """The crash of a server.

    Attributes:
        at: Loop time of the crash.
        instance: Instance name of the server.
    """

    at: float
    instance: str


class Fleet:
    """Daemons that know each other, and servers that a request crashes.

    Attributes:
        ports: Control ports of the daemons; 0 for a daemon without one.
        harness: The harness that the fleet runs in.
        crashing_path: Prefix of the targets of requests that crash servers.
        daemons: The daemons.
        crashes: Crashes of servers, in order.
        instance_numbers: Numbers for the instance names of servers.
        request_numbers: Numbers for the identifiers of requests.
        tasks: Background tasks.
    """

    ports = (*RELAY_PORTS, *[0] * SUBSCRIBER_COUNT)

    def __init__(self, harness, crashing_path):
        self.harness = harness
        self.crashing_path = crashing_path
        self.daemons = []
        self.crashes = []
        self.instance_numbers = itertools.count()
        self.request_numbers = itertools.count()
        self.tasks = set()

    async def start(self):
        """Replaces the harness's servers and starts the daemons."""
        for instance, server in self.harness.servers.items():
            server.stop()
            self.harness.store.remove("servers", instance)
        for _ in range(SERVER_COUNT):
            await self._start_server()
        for port in self.ports:
            await self.add_daemon(port)
        # Until then, daemons have no share of the retry budget.
        await asyncio.sleep(SETTLE_S)

    async def add_daemon(self, port=0):
        """Starts one more daemon and returns it."""
        self.harness.seed += 1
        name = f"d{len(self.daemons)}-{port}"
        await self.harness.start_gateway(SEEDS, name, port)
        self.daemons.append(self.harness.gateway)
        return self.harness.gateway

    async def restart(self, number, port):
        """Stops a daemon without draining and starts another in its place."""
        daemon = self.daemons[number]
        daemon.listener.close()
        await daemon.close()
        await self.harness.controls[number + 1].close()
        await self.harness.start_gateway(SEEDS, f"again{port}", port)
        self.daemons[number] = self.harness.gateway

    def running_servers(self):
        """Returns the running servers."""
        crashed = {crash.instance for crash in self.crashes}
        return [
            server
            for instance, server in self.harness.servers.items()
            if instance.startswith("e") and instance not in crashed
        ]

    async def connect(self, daemon):
        """Opens a caller's connection to a daemon."""
        self.harness.port = daemon.listener.sockets[0].getsockname()[1]
        return await harness.Caller.connect(self.harness)

    async def close(self):
        """Closes all daemons and cancels the background tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            daemon.listener.close()
            await daemon.close()

    async def send_request(self, daemon, *arguments, **more):
        """Sends a request with a new identifier to a daemon."""
        self.harness.port = daemon.listener.sockets[0].getsockname()[1]
        name = f"r{next(self.request_numbers)}"
        return await self.harness.request(name, *arguments, **more)

    def start_task(self, coroutine):
        """Starts a background task."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def count_arrivals(self, target, since=0.0):
        """Counts the requests for a target that reached servers."""
        return sum(
            arrival.target == target and arrival.at >= since
            for server in self.harness.servers.values()
            for arrival in server.arrivals
        )

    def crash(self, server):
        """Crashes a server."""
        server.stop()
        server.on_end()

    async def _start_server(self, port=0):
        instance = f"e{next(self.instance_numbers)}"
        server = await self.harness.add_server(instance, port=port)
        server.faults.ended_by = self.crashing_path
        server.on_end = lambda: self.start_task(self._restart_server(server))

    async def _restart_server(self, server):
        """Records a crash and restarts the server after a while."""
        loop = asyncio.get_running_loop()
        self.crashes.append(Crash(loop.time(), server.instance))
        await asyncio.sleep(DOWN_S)
        await self._start_server(server.port)
        await asyncio.sleep(REGISTRATION_TTL_S - DOWN_S)
        self.harness.store.remove("servers", server.instance)


def play(body, make_fleet):
    """Runs `body(fleet)` with a new fleet, on a paused clock.

    Args:
        body: Coroutine function.
        make_fleet: Returns the fleet for a harness.
    """

    async def whole():
        async with harness.GatewayHarness() as env:
            first_gateway = env.gateway
            fleet = make_fleet(env)
            try:
                await fleet.start()
                return await body(fleet)
            finally:
                await fleet.close()
                env.gateway = first_gateway

    return base.run_paused(whole())
