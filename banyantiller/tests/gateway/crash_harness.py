"""A fleet in which a request ends each server that runs it."""

import asyncio
import itertools
from typing import NamedTuple

from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
# Daemons besides those that the others ask.
OTHERS = 3
SERVERS = 6
# A server that ended is back after so long, as another instance at its address.
DOWN_S = 3.0
# A registration without a heartbeat is removed after three of them.
LAPSE_S = 4.5
# The retry window, in which daemons have counted each other.
SETTLE_S = 12.0
DEADLY = "/read/deadly"
DEADLY_POST = "/file/deadly"


class Crash(NamedTuple):
    """The end of a server under a request.

    Attributes:
        at: Loop time.
        instance: The server.
    """

    at: float
    instance: str


class Fleet:
    """Daemons that know each other, and servers that a request ends.

    Attributes:
        harness: The world that it is in.
        daemons: The daemons.
        crashes: Servers that ended, in order.
        starts: Counts the starts of servers.
    """

    def __init__(self, harness, ended_by):
        self.harness = harness
        self.ended_by = ended_by
        self.daemons = []
        self.crashes = []
        self.starts = itertools.count()
        self.names = itertools.count()
        self.tasks = set()

    async def start(self):
        """Starts servers in place of the world's own, and the daemons."""
        for instance, server in self.harness.servers.items():
            server.stop()
            self.harness.store.remove("servers", instance)
        for _ in range(SERVERS):
            await self._start_server()
        for port in (*PORTS, *[0] * OTHERS):
            await self.add_daemon(port)
        # Before, daemons have no part of the retry budget.
        await asyncio.sleep(SETTLE_S)

    async def add_daemon(self, port=0):
        """Starts one more daemon and returns it."""
        self.harness.seed += 1
        name = f"d{len(self.daemons)}-{port}"
        await self.harness.start_gateway(SEEDS, name, port)
        self.daemons.append(self.harness.gateway)
        return self.harness.gateway

    async def restart(self, number, port):
        """Ends a daemon at once and starts another in its place."""
        daemon = self.daemons[number]
        daemon.listener.close()
        await daemon.close()
        await self.harness.controls[number + 1].close()
        await self.harness.start_gateway(SEEDS, f"again{port}", port)
        self.daemons[number] = self.harness.gateway

    def running(self):
        """Returns the servers that run."""
        ended = {end.instance for end in self.crashes}
        return [
            server
            for instance, server in self.harness.servers.items()
            if instance.startswith("e") and instance not in ended
        ]

    async def connect(self, daemon):
        """Opens a caller's connection to a daemon."""
        self.harness.port = daemon.listener.sockets[0].getsockname()[1]
        return await harness.Caller.connect(self.harness)

    async def close(self):
        """Closes all daemons and what goes on by itself."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            daemon.listener.close()
            await daemon.close()

    async def ask(self, daemon, *arguments, **more):
        """Sends a request of a new identity to a daemon."""
        self.harness.port = daemon.listener.sockets[0].getsockname()[1]
        name = f"r{next(self.names)}"
        return await self.harness.request(name, *arguments, **more)

    def begin(self, work):
        """Lets work go on by itself."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def arrivals(self, target, since=0.0):
        """Counts the requests for a target that reached servers."""
        return sum(
            arrival.target == target and arrival.at >= since
            for one in self.harness.servers.values()
            for arrival in one.arrivals
        )

    def crash(self, server):
        """Ends a server at once."""
        server.stop()
        server.on_end()

    async def _start_server(self, port=0):
        instance = f"e{next(self.starts)}"
        one = await self.harness.add_server(instance, port=port)
        one.faults.ended_by = self.ended_by
        one.on_end = lambda: self.begin(self._back(one))

    async def _back(self, one):
        loop = asyncio.get_running_loop()
        self.crashes.append(Crash(loop.time(), one.instance))
        await asyncio.sleep(DOWN_S)
        await self._start_server(one.port)
        await asyncio.sleep(LAPSE_S - DOWN_S)
        self.harness.store.remove("servers", one.instance)
