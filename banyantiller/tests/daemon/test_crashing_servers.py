"""Tests of daemons whose servers crash while they run a request.

One request crashes each server that begins to run it and is repeated at any
daemon, so that other callers' requests on these servers fail too. Unless
daemons record the crashes and report them to their peers, each daemon treats
every repetition as a new request: 22 servers crashed in 12 s.
"""

import asyncio

from banyantiller.http import client, messages, outcomes, server
from banyantiller.store import memory
from banyantiller.tests import base
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole

PORTS = range(9001, 9007)
BUNDLE = """\
description: Six servers.
services:
  - name: desk
    path: /orders
    servers:
{servers}
    requests:
      - {{idempotent: true, methods: [GET, HEAD]}}
""".format(
    servers="\n".join(
        f"      - {{name: desk-{port}, address: 127.0.0.1, port: {port}}}"
        for port in PORTS
    )
)
CRASHING = "/orders/crashing"
CRASH_DELAY_S = 0.05
# A crashed server restarts at its address after this time.
RESTART_DELAY_S = 3.0
DAEMONS = 4
# All daemons quarantine the request within this time of the third crash; later
# it reaches servers at most MAX_LATER_ARRIVALS times.
PROPAGATION_S = 3.0
MAX_LATER_ARRIVALS = 3
SEND_INTERVAL_S = 0.12
SEND_DURATION_S = 12.0


class Fleet(whole.Fleet):
    """Daemons, and servers that a request crashes.

    Attributes:
        by_port: Running servers by port.
        crashes: Loop times at which servers crashed.
        arrivals: Loop times at which the crashing request reached servers.
        crash_enabled: Whether the request crashes servers.
    """

    def __init__(self):
        super().__init__()
        self.by_port = {}
        self.crashes = []
        self.arrivals = []
        self.crash_enabled = True
        self.tasks = set()

    async def start(self, count):
        """Starts servers and daemons, and rolls the bundle."""
        for port in PORTS:
            await self.start_server(port)
        for number in range(1, count + 1):
            await self.add(whole.settings(number))
        store = memory.MemoryStore(self.table)
        digest = await samples.prepare(store, BUNDLE)
        await samples.roll(store, digest)
        await asyncio.sleep(whole.SETTLED_S)

    async def start_server(self, port):
        """Starts a server that the crashing request can crash."""

        async def answer(request):
            if request.target.startswith(CRASHING) and self.crash_enabled:
                self.arrivals.append(asyncio.get_running_loop().time())
                await asyncio.sleep(CRASH_DELAY_S)
                self.start_task(self.crash_server(port))
                await asyncio.sleep(1000)
            return await self.answer(request)

        self.by_port[port] = server.HttpServer(answer)
        await self.by_port[port].start("127.0.0.1", port)

    async def crash_server(self, port):
        """Stops a server at once and restarts it after a delay."""
        crashed = self.by_port.pop(port, None)
        if crashed is None:
            return
        self.crashes.append(asyncio.get_running_loop().time())
        await crashed.close()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_server(port)

    def start_task(self, coroutine):
        """Runs a coroutine in the background until the fleet stops."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def stop(self):
        """Stops all daemons and servers."""
        for daemon in self.daemons:
            await daemon.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for backend in self.by_port.values():
            await backend.close()

    async def send(self, number, *arguments, headers=()):
        """Sends a request to a daemon; the status is 0 without a response."""
        user = client.HttpClient("127.0.0.1", 8001 + number)
        try:
            method, target, *rest = arguments
            body = rest[0] if rest else b""
            outcome = await user.request(method, target, 5.0, headers, body)
        finally:
            await user.close()
        if isinstance(outcome, outcomes.Answered):
            return outcome.response._replace(body=outcome.body)
        return messages.Response(0)

    async def repeat(self, *arguments, for_s=SEND_DURATION_S):
        """Sends a request repeatedly, to the daemons in turn."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        answers = []
        while loop.time() < until:
            number = len(answers) % len(self.daemons)
            answers.append(self.start_task(self.send(number, *arguments)))
            await asyncio.sleep(SEND_INTERVAL_S)
        return await asyncio.gather(*answers)


class CrashingServersTest(base.TestCase):
    def run_with_fleet(self, body):
        """Runs `body(fleet)` with a new fleet."""

        async def run_body():
            fleet = Fleet()
            await fleet.start(DAEMONS)
            try:
                await body(fleet)
            finally:
                await fleet.stop()

        self.run_paused(run_body())

    def check_later_arrivals(self, fleet):
        """Checks arrivals at servers after all daemons must have learned."""
        since = fleet.crashes[2] + PROPAGATION_S
        later = [at for at in fleet.arrivals if at >= since]
        self.assertLessEqual(len(later), MAX_LATER_ARRIVALS)

    def test_crashing_request_reaches_servers_at_most_three_times_more(self):
        async def body(fleet):
            answers = await fleet.repeat("GET", CRASHING)
            self.check_later_arrivals(fleet)
            last = answers[-1]
            self.assertEqual(503, last.status)
            self.assertIn("quarantined", last.header("proxy-status"))
            self.assertNotEqual("", last.header("retry-after"))
            response = await fleet.send(0, "GET", "/orders/1")
            self.assertEqual(200, response.status)

        self.run_with_fleet(body)

    def test_crashing_request_with_a_body_in_several_reads(self):
        async def body(fleet):
            await fleet.repeat("POST", CRASHING, b"deadly" * 5000)
            self.check_later_arrivals(fleet)
            other = await fleet.send(0, "POST", "/orders/1", b"deadly" * 5000)
            self.assertEqual(200, other.status)

        self.run_with_fleet(body)

    def test_crashing_request_with_idempotency_keys(self):
        """Each request has a different key, and no claim is permanent."""

        async def body(fleet):
            for number in range(40):
                key = (("idempotency-key", f'"k{number}"'),)
                daemon = number % DAEMONS
                fleet.start_task(
                    fleet.send(daemon, "POST", CRASHING, headers=key)
                )
                await asyncio.sleep(SEND_INTERVAL_S)
            await asyncio.sleep(PROPAGATION_S)
            self.check_later_arrivals(fleet)

        self.run_with_fleet(body)

    def test_daemon_that_starts_later_learns_the_quarantine(self):
        async def body(fleet):
            await fleet.repeat("GET", CRASHING, for_s=4.0)
            await fleet.add(whole.settings(DAEMONS + 1))
            await asyncio.sleep(whole.SETTLED_S)
            crashed = len(fleet.crashes)
            await fleet.send(DAEMONS, "GET", CRASHING)
            self.assertEqual(crashed, len(fleet.crashes))

        self.run_with_fleet(body)

    def test_quarantine_can_be_lifted(self):
        async def body(fleet):
            await fleet.repeat("GET", CRASHING, for_s=3.0)
            fleet.crash_enabled = False
            await asyncio.sleep(RESTART_DELAY_S)
            daemon = fleet.daemons[0]
            (record,) = daemon.proxy.crash_detector.tracker.table.records
            target = f"/quarantine/lift?fingerprint={record}"
            self.assertEqual(1, daemon.proxy.crash_detector.count_quarantined())
            user = client.HttpClient("127.0.0.1", 8101)
            for status in (204, 404):
                outcome = await user.request("POST", target, 5.0)
                self.assertEqual(status, outcome.response.status)
            await user.close()
            await asyncio.sleep(PROPAGATION_S)
            for number in range(DAEMONS):
                answer = await fleet.send(number, "GET", CRASHING)
                self.assertEqual(200, answer.status)

        self.run_with_fleet(body)

    def test_frequent_request_during_simultaneous_crashes(self):
        """The request ran on the crashed servers by chance only."""

        async def body(fleet):
            fleet.crash_enabled = False
            popular = fleet.start_task(fleet.repeat("GET", "/orders/popular"))
            for _ in range(3):
                await asyncio.sleep(3.5)
                for port in list(fleet.by_port)[1:]:
                    fleet.start_task(fleet.crash_server(port))
            answers = await popular
            statuses = {answer.header("proxy-status") for answer in answers}
            self.assertFalse(
                any("quarantined" in status for status in statuses)
            )

        self.run_with_fleet(body)

    def test_request_is_retried_past_a_server_that_is_down(self):
        """No byte was sent to that server, so it does not count as a crash."""

        async def body(fleet):
            fleet.crash_enabled = False
            # Completed calls fill the retry budget.
            for number in range(400):
                await fleet.send(number % DAEMONS, "GET", "/orders/0")
            fleet.service_s = 0.2
            sent = [
                fleet.start_task(fleet.send(n % DAEMONS, "GET", f"/orders/{n}"))
                for n in range(8)
            ]
            await asyncio.sleep(0.1)
            # Two servers crash; a request from one may be retried at the other.
            for port in list(fleet.by_port)[:2]:
                fleet.start_task(fleet.crash_server(port))
            answers = await asyncio.gather(*sent)
            self.assertEqual({200}, {answer.status for answer in answers})

        self.run_with_fleet(body)
