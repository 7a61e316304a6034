"""Checks the guarantees under random faults, with the real dispatcher."""

import asyncio
import collections
import random

from banyantiller.routing import adaptive
from banyantiller.tests import base
from banyantiller.tests.proxy import fakes

SERVERS = 4
CALLERS = 25
CALLS = 12
FAULTS = (
    "refuse", "reset", "shed", "garbage",
    "half head", "half body", "unresponsive",
)  # fmt: skip


class FaultyServers:
    """Servers that usually respond with the name of the request.

    Attributes:
        run: Number of runs by request.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.run: collections.Counter[bytes] = collections.Counter()

    async def script(self, connection: fakes.FakeConnection) -> None:
        while True:
            fault = ""
            if self.random.random() < 0.25:
                fault = self.random.choice(FAULTS)
            if fault == "refuse":
                connection.reset()
                return
            head, sent = await connection.message()
            name = sent or head.split()[1]
            await asyncio.sleep(self.random.expovariate(50))
            if fault == "shed":
                await connection.send(
                    b"HTTP/1.1 503 X\r\nRequest-Not-Run: 1\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
                continue
            self.run[name] += 1
            response = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (
                len(name),
                name,
            )
            if fault in ("reset", "unresponsive"):
                await asyncio.sleep(3.0 if fault == "unresponsive" else 0.0)
                connection.reset()
                return
            if fault == "garbage":
                await connection.send(b"\x00\x01\r\n\r\n")
                return
            if fault:
                cut = 9 if fault == "half head" else len(response) - 1
                await connection.send(response[:cut])
                return
            await connection.send(response)


class FaultsTest(base.TestCase):
    def check(self, seed: int) -> collections.Counter[str]:
        servers = FaultyServers(seed)
        outcomes: collections.Counter[str] = collections.Counter()

        async def call(bench: fakes.Bench, name: bytes) -> None:
            lookup = name.endswith(b"0")
            method = b"GET /" + name if lookup else b"POST /"
            sent = b"" if lookup else name
            got = await bench.exchange(
                method + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                b"X-Request-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%b"
                % (len(sent), sent)
            )
            key = b"/" + name if lookup else name
            head, _, response = got.partition(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 200"):
                outcomes["answered"] += 1
                # The body is complete, or the connection was visibly cut.
                self.assertIn(response, (key, key[:-1], b""))
                self.assertGreaterEqual(servers.run[key], 1)
            elif b"request-ran: no" in head:
                outcomes["not run"] += 1
                self.assertEqual(0, servers.run[key], head)
            else:
                outcomes["unknown"] += 1
            if not lookup:
                self.assertLessEqual(servers.run[key], 1, head)

        async def caller(bench: fakes.Bench, number: int) -> None:
            for turn in range(CALLS):
                await call(bench, b"%d-%d" % (number, turn))

        async def body() -> None:
            scripts = [servers.script] * SERVERS
            bench = await fakes.Bench.start(
                *scripts, create=adaptive.create, slots=4
            )
            await asyncio.gather(*(caller(bench, n) for n in range(CALLERS)))
            await asyncio.sleep(5)
            self.assertEqual(CALLERS * CALLS, len(bench.finished))
            self.assertEqual(0, bench.proxy.in_flight)
            driver = bench.proxy.drivers["orders"]
            self.assertEqual(({}, {}), (driver.calls, driver.attempts))
            load = driver.dispatcher.own_load(0.0)
            self.assertEqual(0, sum(load.values()))
            for pool in driver.pools.values():
                self.assertEqual(len(pool.idle), len(pool.open_connections))
            await bench.proxy.close()

        self.run_paused(body())
        self.assertGreater(max(servers.run.values()), 1)
        return outcomes

    def test_guarantees_hold_under_random_faults(self) -> None:
        outcomes: collections.Counter[str] = collections.Counter()
        for seed in range(5):
            outcomes += self.check(seed)
        for outcome in ("answered", "not run", "unknown"):
            self.assertGreater(outcomes[outcome], 0, outcomes)
