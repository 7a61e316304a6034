"""Whole daemons, real claims and counting backend servers under faults."""

import asyncio
import collections
import random

from banyantiller.http import client, outcomes
from banyantiller.store import memory
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole
from banyantiller.tests.faults import seeds

SEEDS = 6
DAEMONS = 3
ORDERS = 12
LOOKUPS = 12
TRIES = 3
HOST = "127.0.0.1"
SPAN_S = 20.0
PATIENCE_S = 40.0
BACKEND_FAULTS = (
    *["none"] * 12,
    "reset_before",
    "reset_after",
    "cut",
    "silent",
    "garbage",
    "shed",
)
SHED = b"HTTP/1.1 503 No\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


class FaultyFleet(whole.Fleet):
    """Daemons in front of backend servers that fail at random.

    Attributes:
        runs: How often each try of each request was run.
        problems: Answers that a caller must never get.
        told: How many answers had each status.
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.runs = collections.Counter()
        self.problems = []
        self.told = collections.Counter()

    async def start(self, count):
        for port in whole.BACKEND_PORTS:
            server = await asyncio.start_server(self.serve, HOST, port)
            self.servers.append(server)
        for number in range(1, count + 1):
            await self.add(whole.settings(number))
        store = memory.MemoryStore(self.table)
        digest = await samples.prepare(store, samples.BUNDLE)
        await samples.roll(store, digest)
        await asyncio.sleep(whole.SETTLED_S)

    async def serve(self, reader, writer):
        try:
            while await self.one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fault = self.rng.choice(BACKEND_FAULTS)
        if fault == "reset_before":
            writer.transport.abort()
            return False
        fields = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if line
        )
        body = await reader.readexactly(int(fields.get(b"content-length", 0)))
        if fault == "shed":
            writer.write(SHED)
            return True
        name = body or head.split(b" ")[1]
        self.runs[name, fields.get(b"x-try", b"")] += 1
        return await self.answer_with(name, fault, writer)

    async def answer_with(self, name, fault, writer):
        await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.3)))
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
            len(name) + 5,
            b"done " + name,
        )
        match fault:
            case "reset_after":
                writer.transport.abort()
                return False
            case "cut":
                writer.write(answer[:-3])
                return False
            case "silent":
                await asyncio.sleep(60)
                return False
            case "garbage":
                writer.write(b"\x00\x01 not http \r\n\r\n")
                return False
        writer.write(answer)
        return True

    async def order(self, number):
        """Sends one order, and sends it again through other daemons."""
        name = b"order-%d" % number
        await asyncio.sleep(self.rng.uniform(0, SPAN_S))
        repeats = [self.rng.uniform(0, 5) for _ in range(TRIES)]
        tries = (
            self.call("POST", "/orders", name, attempt, wait)
            for attempt, wait in enumerate(repeats)
        )
        await asyncio.gather(*tries)

    async def lookup(self, number):
        await asyncio.sleep(self.rng.uniform(0, SPAN_S))
        await self.call("GET", f"/orders/{number}", b"", 0, 0)

    async def call(self, method, target, body, attempt, wait):
        await asyncio.sleep(wait)
        port = 8000 + self.rng.randint(1, DAEMONS)
        headers = [("x-try", str(attempt))]
        if body:
            headers.append(("idempotency-key", f'"{body.decode()}"'))
        http = client.HttpClient(HOST, port)
        async with asyncio.timeout(PATIENCE_S):
            outcome = await http.request(
                method, target, 30.0, tuple(headers), body
            )
        await http.close()
        if isinstance(outcome, outcomes.Answered):
            name = body or target.encode()
            self.check(name, str(attempt).encode(), outcome)

    def check(self, name, attempt, outcome):
        response = outcome.response
        self.told[response.status] += 1
        if response.status == 200 and outcome.body != b"done " + name:
            self.problems.append(f"{name} got {outcome.body}")
        if response.header("request-ran") == "no" and self.runs[name, attempt]:
            self.problems.append(f"{name} ran, told {response}")

    async def disturb(self):
        """Lets the object API fail for single daemons, and rolls a bundle."""
        for number in range(8):
            await asyncio.sleep(self.rng.uniform(0, SPAN_S / 4))
            store = self.rng.choice(self.stores)
            store.faults = memory.Faults(
                down=self.rng.random() < 0.3,
                slow_s=self.rng.choice((0.0, 0.0, 0.5, 2.5)),
                lose_answers=self.rng.choice((0, 0, 1, 3)),
                silent_watches=self.rng.random() < 0.3,
            )
            store.serve_stale(self.rng.random() < 0.3)
            if number in (2, 5):
                await self.kill(self.rng.randrange(DAEMONS))
            if number == 3:
                text = samples.BUNDLE.replace("First", "Second")
                plain = memory.MemoryStore(self.table)
                digest = await samples.prepare(plain, text)
                await samples.roll(plain, digest)

    async def kill(self, index):
        """Ends a daemon at once and starts another one in its place."""
        daemon = self.daemons[index]
        await daemon.kernel.stop()
        await daemon.proxy.close()
        await daemon.peers.close()
        await daemon.admin_server.close()
        await asyncio.sleep(self.rng.uniform(0, 2))
        await self.add(daemon.settings)
        self.daemons[index] = self.daemons.pop()
        self.stores[index] = self.stores.pop()

    async def heal(self):
        for store in self.stores:
            store.faults = memory.Faults()
            store.serve_stale(False)
        await asyncio.sleep(90)

    async def stop(self):
        cut = [await daemon.stop() for daemon in self.daemons]
        for server in self.servers:
            server.close()
        return cut


async def run(seed):
    fleet = FaultyFleet(random.Random(seed))
    await fleet.start(DAEMONS)
    disturbing = asyncio.create_task(fleet.disturb())
    calls = [fleet.order(number) for number in range(ORDERS)]
    calls += [fleet.lookup(number) for number in range(LOOKUPS)]
    await asyncio.gather(*calls)
    await disturbing
    await fleet.heal()
    versions = [daemon.state()["bundle"] for daemon in fleet.daemons]
    left = [daemon.state()["in_flight"] for daemon in fleet.daemons]
    cut = await fleet.stop()
    return fleet, versions, left, cut


class WholeDaemonsTest(TestCase):
    def test_promises_hold_under_random_faults(self):
        told = collections.Counter()
        for seed in seeds.seeds(SEEDS):
            fleet, versions, left, cut = self.run_paused(run(seed))
            self.assertEqual([], fleet.problems, seed)
            orders = collections.Counter()
            for (name, _), runs in fleet.runs.items():
                if name.startswith(b"order-"):
                    orders[name] += runs
            twice = {name: runs for name, runs in orders.items() if runs > 1}
            self.assertEqual({}, twice, seed)
            self.assertEqual([2] * DAEMONS, versions, seed)
            self.assertEqual([0] * DAEMONS, left, seed)
            self.assertEqual([0] * DAEMONS, cut, seed)
            told += fleet.told
        self.assertGreater(told[200], SEEDS * LOOKUPS)
        self.assertGreater(len(told), 3)
