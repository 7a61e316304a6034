"""Tests of requests that end each server which runs them.

Callers saw their requests fail on servers that ended, over and over. One
request ended each server that began to run it and came again, every tenth of a
second, at any daemon. No daemon remembered what a request had done to servers
before, and none told another, so each call started from nothing and ended up
to two servers.

Lines of one call in a fleet where 25 servers ended. Each of them refused new
connections from then on, and eleven calls lost two, all of one route:

    a try failed. id=a1c14741a7115151 instance=i-e7b437ff13
        kind=connection_lost load=[0, 0, 2, 1.0]
    server gives no answer. instance=i-e7b437ff13 error=[Errno 111] ...
    a try failed. id=a1c14741a7115151 instance=i-718e0652e5
        kind=connection_lost load=[0, 0, 2, 1.0]

In the fleet played here 30 servers ended, and the lines of all tries that
failed had one fingerprint under as many identities.
"""

import asyncio

from banyantiller.http import messages
from banyantiller.quarantine import crash_table
from banyantiller.tests import base
from banyantiller.tests.gateway import crash_harness, harness

# It is known to all within this time of the third server that ended under it.
KNOWN_WITHIN_S = 3.0
# How often it may still reach servers after that, in the whole fleet.
MOST_LATER = 3
PLAYED_S = 15.0
# How often it comes, each time at the next daemon.
EACH_S = 0.12
# What others send meanwhile, and which part of it is to be served in the end.
OTHERS_EACH_S = 0.05
SERVED = 0.95
LAST_S = 5.0


class EndingTest(base.TestCase):
    """Plays fleets in which a request ends servers."""

    def play(self, body, ended_by=crash_harness.DEADLY):
        """Runs `body(fleet)` in a fleet of its own."""

        async def whole():
            async with harness.GatewayHarness() as place:
                alone = place.gateway
                fleet = crash_harness.Fleet(place, ended_by)
                try:
                    await fleet.start()
                    return await body(fleet)
                finally:
                    await fleet.close()
                    place.gateway = alone

        return self.run_paused(whole())

    async def repeat(self, fleet, *arguments, for_s=PLAYED_S, each_s=EACH_S):
        """Sends a request again and again; returns what its caller got."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        answers = []
        while loop.time() < until:
            daemon = fleet.daemons[len(answers) % len(fleet.daemons)]
            answers.append(fleet.begin(fleet.ask(daemon, *arguments)))
            await asyncio.sleep(each_s)
        return await asyncio.gather(*answers)

    async def others(self, fleet, for_s=PLAYED_S):
        """Sends other requests, each once; returns statuses of the last."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        answers = []
        while loop.time() < began + for_s:
            daemon = fleet.daemons[len(answers) % len(fleet.daemons)]
            path = f"/read/other-{len(answers)}"
            answers.append(fleet.begin(fleet.ask(daemon, path)))
            await asyncio.sleep(OTHERS_EACH_S)
        last = answers[-int(LAST_S / OTHERS_EACH_S) :]
        return [answer.status for answer in await asyncio.gather(*last)]

    def check_later(self, fleet, target):
        """Checks what reached servers once all daemons have to know."""
        since = fleet.crashes[2].at + KNOWN_WITHIN_S
        self.assertLessEqual(fleet.arrivals(target, since), MOST_LATER)


class RepeatedRequestTest(EndingTest):
    """A request that ends servers comes again at any daemon."""

    def test_it_reaches_servers_three_times_more_at_most(self):
        async def body(fleet):
            deadly = fleet.begin(self.repeat(fleet, crash_harness.DEADLY))
            statuses = await self.others(fleet)
            await deadly
            self.check_later(fleet, crash_harness.DEADLY)
            served = statuses.count(200) / len(statuses)
            self.assertGreaterEqual(served, SERVED)

        self.play(body)

    def test_it_is_refused_as_not_run(self):
        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=6.0)
            # With servers free, so that it is not refused for want of one.
            await asyncio.sleep(crash_harness.LAPSE_S)
            daemon = fleet.daemons[0]
            answer = await fleet.ask(daemon, crash_harness.DEADLY)
            self.assertEqual(503, answer.status)
            self.assertEqual(b"quarantined\n", answer.body)
            self.assertEqual("no", answer.headers["request-ran"])
            self.assertIn("retry-after", answer.headers)
            self.assertLess(answer.took_s, 0.05)

        self.play(body)

    def test_one_with_a_body_that_may_not_run_twice(self):
        arguments = (crash_harness.DEADLY_POST, "POST", b"deadly" * 5000)

        async def body(fleet):
            await self.repeat(fleet, *arguments)
            self.check_later(fleet, crash_harness.DEADLY_POST)

        self.play(body, crash_harness.DEADLY_POST)

    def test_a_daemon_that_starts_later_knows(self):
        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=4.0)
            late = await fleet.add_daemon()
            await asyncio.sleep(KNOWN_WITHIN_S)
            ended = len(fleet.crashes)
            await fleet.ask(late, crash_harness.DEADLY)
            self.assertEqual(ended, len(fleet.crashes))

        self.play(body)

    def test_a_daemon_that_saw_an_end_and_is_gone(self):
        """What it saw was told before."""

        async def body(fleet):
            teller = await fleet.add_daemon()
            for _ in range(3):
                await fleet.ask(teller, crash_harness.DEADLY)
            await asyncio.sleep(0.2)
            fleet.daemons.remove(teller)
            teller.listener.close()
            await teller.close()
            ended = len(fleet.crashes)
            await asyncio.sleep(crash_harness.LAPSE_S)
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            self.assertEqual(3, ended)
            self.assertEqual(ended, len(fleet.crashes))

        self.play(body)

    def test_all_daemons_that_are_asked_start_again(self):
        """One after the other; each learns it anew from the next."""

        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            ended = len(fleet.crashes)
            for number, port in enumerate(crash_harness.PORTS):
                await fleet.restart(number, port)
                await asyncio.sleep(KNOWN_WITHIN_S)
            await self.repeat(fleet, crash_harness.DEADLY, for_s=5.0)
            self.assertEqual(ended, len(fleet.crashes))

        self.play(body)

    def test_all_daemons_that_are_asked_start_again_at_once(self):
        """Nobody is left to ask; those that know remind them."""

        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            ended = len(fleet.crashes)
            for number, port in enumerate(crash_harness.PORTS):
                await fleet.restart(number, port)
            await asyncio.sleep(KNOWN_WITHIN_S)
            await fleet.add_daemon()
            await asyncio.sleep(KNOWN_WITHIN_S)
            await self.repeat(fleet, crash_harness.DEADLY, for_s=5.0)
            self.assertEqual(ended, len(fleet.crashes))

        self.play(body)

    def test_requests_sent_ahead_on_one_connection(self):
        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            ended = len(fleet.crashes)
            await asyncio.sleep(crash_harness.LAPSE_S)
            caller = await fleet.connect(fleet.daemons[0])
            paths = ["/read/a", crash_harness.DEADLY, "/read/b"]
            for path in paths:
                caller.send(path, path)
            answers = [await caller.read() for _ in paths]
            caller.close()
            self.assertEqual([200, 503, 200], [a.status for a in answers])
            self.assertEqual(ended, len(fleet.crashes))

        self.play(body)


class OtherRequestsTest(EndingTest):
    """Requests that merely ran on servers that ended are not refused."""

    def quarantined(self, answers):
        """Counts the answers that refuse a request for good or a while."""
        return sum(answer.body == b"quarantined\n" for answer in answers)

    def test_those_beside_the_one_that_ends_servers(self):
        async def body(fleet):
            popular = fleet.begin(self.repeat(fleet, "/read/popular"))
            await self.repeat(fleet, crash_harness.DEADLY)
            answers = await popular
            self.assertEqual(0, self.quarantined(answers))
            self.assertEqual({200}, {answer.status for answer in answers[-40:]})

        self.play(body)

    def test_a_popular_one_when_most_servers_end_again_and_again(self):
        async def body(fleet):
            popular = fleet.begin(
                self.repeat(fleet, "/read/popular", for_s=20.0, each_s=0.01)
            )
            for _ in range(3):
                await asyncio.sleep(5.0)
                for server in fleet.running()[1:]:
                    fleet.crash(server)
            answers = await popular
            self.assertGreater(len(fleet.crashes), 12)
            self.assertEqual(0, self.quarantined(answers))

        self.play(body)

    def test_one_whose_connections_are_reset(self):
        """A server that resets a connection and goes on has not ended."""

        async def body(fleet):
            for server in fleet.running():
                server.faults.reset = True
            await self.repeat(fleet, "/read/a", for_s=3.0)
            for server in fleet.running():
                server.faults.reset = False
            daemon = fleet.daemons[0]
            answer = await fleet.ask(daemon, "/read/a")
            self.assertEqual(200, answer.status)

        self.play(body)

    def test_the_same_of_another_caller(self):
        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            await asyncio.sleep(crash_harness.LAPSE_S)
            for server in fleet.running():
                server.faults.ended_by = ""
            more = {"credential": "another"}
            daemon = fleet.daemons[0]
            answer = await fleet.ask(daemon, crash_harness.DEADLY, **more)
            self.assertEqual(200, answer.status)
            answer = await fleet.ask(daemon, crash_harness.DEADLY)
            self.assertEqual(503, answer.status)

        self.play(body)

    def test_a_quarantine_can_be_lifted(self):
        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            await asyncio.sleep(crash_harness.LAPSE_S)
            for server in fleet.running():
                # The operators have mended the servers.
                server.faults.ended_by = ""
            (record,) = fleet.daemons[
                -1
            ].crash_detector.watch.table.records.values()
            target = f"/quarantine/lift?fingerprint={record.fingerprint}"
            response = await fleet.daemons[0].handle_peer(
                messages.Request("POST", target)
            )
            self.assertEqual(204, response.status)
            await asyncio.sleep(KNOWN_WITHIN_S)
            for daemon in fleet.daemons:
                answer = await fleet.ask(daemon, crash_harness.DEADLY)
                self.assertEqual(200, answer.status)

        self.play(body)

    def test_it_ends_by_itself(self):
        async def body(fleet):
            await self.repeat(fleet, crash_harness.DEADLY, for_s=3.0)
            for server in fleet.running():
                server.faults.ended_by = ""
            period_s = fleet.daemons[0].settings.quarantine_s
            await asyncio.sleep(period_s * (1 + crash_table.RETRY_SPREAD))
            for server in fleet.running():
                server.faults.ended_by = ""
            answer = await fleet.ask(fleet.daemons[0], crash_harness.DEADLY)
            self.assertEqual(200, answer.status)

        self.play(body)
