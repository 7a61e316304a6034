"""Tests of requests that crash each server which runs them.

Guards against a fleet that loses server after server to one request. The
request crashes each server that starts to run it, and its caller repeats it
every tenth of a second at any daemon. If daemons don't remember which requests
were running on crashed servers, or don't share this with their peers, each call
crashes up to two servers: one with the first attempt and one with the retry.
In the fleet of these tests 30 servers crashed that way.

In the log, the failed attempts have the kind `connection_lost` and the same
fingerprint under different identifiers, and the servers refuse connections
afterwards (errno 111).
"""

import asyncio

from banyantiller.http import messages
from banyantiller.quarantine import crash_table
from banyantiller.tests import base
from banyantiller.tests.gateway import crash_harness

# All daemons know the request within this time of the third crash.
PROPAGATION_S = 3.0
# Maximum number of times that it may reach servers after that, in the fleet.
MAX_LATER_ARRIVALS = 3
PLAY_S = 15.0
# Interval at which it is sent, each time to the next daemon.
REPEAT_INTERVAL_S = 0.12
# Interval of other requests, and the share of them that has to be served during
# the last seconds.
OTHER_INTERVAL_S = 0.05
MIN_SERVED_SHARE = 0.95
LAST_S = 5.0


class CrashTest(base.TestCase):
    """Base of tests with a fleet in which a request crashes servers."""

    def play(self, body, crashing_path=crash_harness.CRASHING_PATH):
        """Runs `body(fleet)` with a new fleet."""
        return crash_harness.play(
            body, lambda env: crash_harness.Fleet(env, crashing_path)
        )

    async def repeat(
        self, fleet, *arguments, duration_s=PLAY_S, interval_s=REPEAT_INTERVAL_S
    ):
        """Sends a request at intervals; returns all responses."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        answers = []
        while loop.time() < until:
            daemon = fleet.daemons[len(answers) % len(fleet.daemons)]
            answers.append(
                fleet.start_task(fleet.send_request(daemon, *arguments))
            )
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*answers)

    async def send_others(self, fleet, duration_s=PLAY_S):
        """Sends other requests, each once; returns the last statuses."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        answers = []
        while loop.time() < began + duration_s:
            daemon = fleet.daemons[len(answers) % len(fleet.daemons)]
            path = f"/read/other-{len(answers)}"
            answers.append(fleet.start_task(fleet.send_request(daemon, path)))
            await asyncio.sleep(OTHER_INTERVAL_S)
        last = answers[-int(LAST_S / OTHER_INTERVAL_S) :]
        return [answer.status for answer in await asyncio.gather(*last)]

    def check_later_arrivals(self, fleet, target):
        """Checks how often the request arrives once all daemons know it."""
        since = fleet.crashes[2].at + PROPAGATION_S
        self.assertLessEqual(
            fleet.count_arrivals(target, since), MAX_LATER_ARRIVALS
        )


class RepeatedRequestTest(CrashTest):
    """A request that crashes servers is repeated at any daemon."""

    def test_it_reaches_servers_at_most_three_more_times(self):
        async def body(fleet):
            repeated = fleet.start_task(
                self.repeat(fleet, crash_harness.CRASHING_PATH)
            )
            statuses = await self.send_others(fleet)
            await repeated
            self.check_later_arrivals(fleet, crash_harness.CRASHING_PATH)
            served = statuses.count(200) / len(statuses)
            self.assertGreaterEqual(served, MIN_SERVED_SHARE)

        self.play(body)

    def test_it_is_rejected_as_not_run(self):
        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=6.0
            )
            # Waits for free servers, so that their lack is not the reason.
            await asyncio.sleep(crash_harness.REGISTRATION_TTL_S)
            daemon = fleet.daemons[0]
            answer = await fleet.send_request(
                daemon, crash_harness.CRASHING_PATH
            )
            self.assertEqual(503, answer.status)
            self.assertEqual(b"quarantined\n", answer.body)
            self.assertEqual("no", answer.headers["request-ran"])
            self.assertIn("retry-after", answer.headers)
            self.assertLess(answer.took_s, 0.05)

        self.play(body)

    def test_request_with_a_body_that_must_not_run_twice(self):
        arguments = (crash_harness.CRASHING_POST_PATH, "POST", b"deadly" * 5000)

        async def body(fleet):
            await self.repeat(fleet, *arguments)
            self.check_later_arrivals(fleet, crash_harness.CRASHING_POST_PATH)

        self.play(body, crash_harness.CRASHING_POST_PATH)

    def test_daemon_that_starts_later_learns_of_it(self):
        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=4.0
            )
            late_daemon = await fleet.add_daemon()
            await asyncio.sleep(PROPAGATION_S)
            crash_count = len(fleet.crashes)
            await fleet.send_request(late_daemon, crash_harness.CRASHING_PATH)
            self.assertEqual(crash_count, len(fleet.crashes))

        self.play(body)

    def test_daemon_that_observed_crashes_and_stopped(self):
        """It published its observations before it stopped."""

        async def body(fleet):
            observer = await fleet.add_daemon()
            for _ in range(3):
                await fleet.send_request(observer, crash_harness.CRASHING_PATH)
            await asyncio.sleep(0.2)
            fleet.daemons.remove(observer)
            observer.listener.close()
            await observer.close()
            crash_count = len(fleet.crashes)
            await asyncio.sleep(crash_harness.REGISTRATION_TTL_S)
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            self.assertEqual(3, crash_count)
            self.assertEqual(crash_count, len(fleet.crashes))

        self.play(body)

    def test_relays_restart_one_after_the_other(self):
        """Each fetches the records again from the other relays."""

        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            crash_count = len(fleet.crashes)
            for number, port in enumerate(crash_harness.RELAY_PORTS):
                await fleet.restart(number, port)
                await asyncio.sleep(PROPAGATION_S)
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=5.0
            )
            self.assertEqual(crash_count, len(fleet.crashes))

        self.play(body)

    def test_all_relays_restart_at_once(self):
        """No relay has the records; the other daemons send them again."""

        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            crash_count = len(fleet.crashes)
            for number, port in enumerate(crash_harness.RELAY_PORTS):
                await fleet.restart(number, port)
            await asyncio.sleep(PROPAGATION_S)
            await fleet.add_daemon()
            await asyncio.sleep(PROPAGATION_S)
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=5.0
            )
            self.assertEqual(crash_count, len(fleet.crashes))

        self.play(body)

    def test_pipelined_requests_on_one_connection(self):
        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            crash_count = len(fleet.crashes)
            await asyncio.sleep(crash_harness.REGISTRATION_TTL_S)
            caller = await fleet.connect(fleet.daemons[0])
            paths = ["/read/a", crash_harness.CRASHING_PATH, "/read/b"]
            for path in paths:
                caller.send(path, path)
            answers = [await caller.read() for _ in paths]
            caller.close()
            self.assertEqual([200, 503, 200], [a.status for a in answers])
            self.assertEqual(crash_count, len(fleet.crashes))

        self.play(body)


class OtherRequestsTest(CrashTest):
    """Requests that only ran on crashed servers are not rejected."""

    def quarantined(self, answers):
        """Counts the responses that reject a request as quarantined."""
        return sum(answer.body == b"quarantined\n" for answer in answers)

    def test_requests_that_run_beside_the_crashing_one(self):
        async def body(fleet):
            popular = fleet.start_task(self.repeat(fleet, "/read/popular"))
            await self.repeat(fleet, crash_harness.CRASHING_PATH)
            answers = await popular
            self.assertEqual(0, self.quarantined(answers))
            self.assertEqual({200}, {answer.status for answer in answers[-40:]})

        self.play(body)

    def test_popular_request_while_most_servers_crash_repeatedly(self):
        async def body(fleet):
            popular = fleet.start_task(
                self.repeat(
                    fleet, "/read/popular", duration_s=20.0, interval_s=0.01
                )
            )
            for _ in range(3):
                await asyncio.sleep(5.0)
                for server in fleet.running_servers()[1:]:
                    fleet.crash(server)
            answers = await popular
            self.assertGreater(len(fleet.crashes), 12)
            self.assertEqual(0, self.quarantined(answers))

        self.play(body)

    def test_request_whose_connections_are_reset(self):
        """A server that resets a connection but still runs has not crashed."""

        async def body(fleet):
            for server in fleet.running_servers():
                server.faults.reset = True
            await self.repeat(fleet, "/read/a", duration_s=3.0)
            for server in fleet.running_servers():
                server.faults.reset = False
            daemon = fleet.daemons[0]
            answer = await fleet.send_request(daemon, "/read/a")
            self.assertEqual(200, answer.status)

        self.play(body)

    def test_same_request_of_another_caller(self):
        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            await asyncio.sleep(crash_harness.REGISTRATION_TTL_S)
            for server in fleet.running_servers():
                server.faults.ended_by = ""
            more = {"credential": "another"}
            daemon = fleet.daemons[0]
            answer = await fleet.send_request(
                daemon, crash_harness.CRASHING_PATH, **more
            )
            self.assertEqual(200, answer.status)
            answer = await fleet.send_request(
                daemon, crash_harness.CRASHING_PATH
            )
            self.assertEqual(503, answer.status)

        self.play(body)

    def test_quarantine_can_be_lifted(self):
        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            await asyncio.sleep(crash_harness.REGISTRATION_TTL_S)
            for server in fleet.running_servers():
                # The operators have repaired the servers.
                server.faults.ended_by = ""
            (record,) = fleet.daemons[
                -1
            ].crash_detector.tracker.table.records.values()
            target = f"/quarantine/lift?fingerprint={record.fingerprint}"
            response = await fleet.daemons[0].handle_peer(
                messages.Request("POST", target)
            )
            self.assertEqual(204, response.status)
            await asyncio.sleep(PROPAGATION_S)
            for daemon in fleet.daemons:
                answer = await fleet.send_request(
                    daemon, crash_harness.CRASHING_PATH
                )
                self.assertEqual(200, answer.status)

        self.play(body)

    def test_quarantine_expires(self):
        async def body(fleet):
            await self.repeat(
                fleet, crash_harness.CRASHING_PATH, duration_s=3.0
            )
            for server in fleet.running_servers():
                server.faults.ended_by = ""
            period_s = fleet.daemons[0].settings.quarantine_s
            await asyncio.sleep(period_s * (1 + crash_table.RETRY_SPREAD))
            for server in fleet.running_servers():
                server.faults.ended_by = ""
            answer = await fleet.send_request(
                fleet.daemons[0], crash_harness.CRASHING_PATH
            )
            self.assertEqual(200, answer.status)

        self.play(body)
