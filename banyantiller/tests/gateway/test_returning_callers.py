"""Tests that callers are recognised after a rejection, at any daemon."""

import asyncio
import itertools
from types import SimpleNamespace

from msgspec import msgpack

from banyantiller.gateway import events, rejection_link, rejection_relay
from banyantiller.gateway.decisions import returning_callers, service_load
from banyantiller.http import messages
from banyantiller.tests import base
from banyantiller.tests.gateway import crash_harness, harness

# Index of the relay that is in trouble, and of daemons that are no relays.
RELAY, DAEMON, OTHER = 0, 3, 4
# Time that a rejection takes without a question to a relay, at most.
REJECTION_S = 0.2
# How late a relay responds that is late.
LATE_S = 0.3
# A daemon's bound of messages a second for all control work.
MESSAGE_BYTES_PER_S = 4096
KEY = "a828m82thhkmgjqnirth"


def fingerprint_of(number):
    """Returns the fingerprint of a request."""
    return f"{number:016x}{0:016x}"


class Fleet(crash_harness.Fleet):
    """Daemons that share load, and servers that reject all requests."""

    load_sharing = "on"

    async def add_daemon(self, port=0):
        """Starts one more daemon."""
        self.harness.seed += 1
        name = f"d{len(self.daemons)}-{port}"
        await self.harness.start_gateway(
            crash_harness.SEEDS, name, port, load_sharing=self.load_sharing
        )
        self.daemons.append(self.harness.gateway)
        return self.harness.gateway

    def shed(self, rejecting=True):
        """Makes all servers reject requests, or accept them again."""
        for server in self.running_servers():
            server.faults.shed = rejecting

    def delay(self, index):
        """Makes a relay respond late."""
        handle = self.daemons[index].handle_peer

        async def respond_late(request):
            await asyncio.sleep(LATE_S)
            return await handle(request)

        # The first control server is the harness's own.
        self.harness.controls[index + 1].handler = respond_late

    def outcomes(self):
        """Returns what is known of the rejected requests of all daemons."""
        found = [one.returning_callers.outcomes for one in self.daemons]
        return dict(sum(found, start=type(found[0])()))


class UnsharedFleet(Fleet):
    """The same daemons without shared load."""

    load_sharing = "auto"


class ReturningCallersTest(base.TestCase):
    def play(self, body, fleet=Fleet):
        """Runs `body(fleet)` while all servers reject requests."""

        async def whole(fleet):
            fleet.shed()
            return await body(fleet)

        return crash_harness.play(whole, lambda env: fleet(env, "/read/deadly"))

    async def ask(self, fleet, index=DAEMON, count=1, relay=RELAY):
        """Asks for one request of a relay; returns answers and their times."""
        part = fleet.daemons[index].returning_callers
        loop = asyncio.get_running_loop()
        fingerprint = next(
            text
            for text in map(fingerprint_of, itertools.count())
            if part._relay_of(bytes.fromhex(text)[:8])
            == crash_harness.SEEDS[relay]
        )
        found = []
        for _ in range(count):
            began = loop.time()
            answer = await part.seen_before(fingerprint, harness.SERVICE)
            found.append((answer, loop.time() - began))
        return found

    async def check_without_relay(self, fleet, result):
        """Checks that a relay in trouble delays few requests, and briefly."""
        part = fleet.daemons[DAEMON].returning_callers
        began = asyncio.get_running_loop().time()
        # Other parts also report a relay that they lost.
        lines = []
        recorder = SimpleNamespace(PeerLost=events.PeerLost, emit=lines.append)
        self.patch(rejection_link, "events", recorder)
        for answer, took_s in await self.ask(fleet, count=20):
            self.assertFalse(answer)
            self.assertLessEqual(took_s, 0.05 + 1e-6)
        await asyncio.sleep(0.5)
        await self.ask(fleet)
        self.assertLess(
            asyncio.get_running_loop().time() - began, rejection_link.SKIP_S
        )
        self.assertEqual({result: 1}, dict(part.message_results))
        self.assertEqual(21, part.outcomes["unknown"])
        # Requests of the other relays are not concerned.
        found = await self.ask(fleet, count=2, relay=1)
        self.assertEqual([False, True], [answer for answer, _ in found])
        await asyncio.sleep(rejection_link.SKIP_S)
        await self.ask(fleet)
        await asyncio.sleep(0.1)
        self.assertEqual(2, part.message_results[result])
        address = crash_harness.SEEDS[RELAY]
        self.assertEqual([events.PeerLost(address, result)], lines)

    def test_caller_is_recognised_at_another_daemon(self):
        """Guards against retries that go to whoever asks first."""

        async def body(fleet):
            replies = []
            for index in (DAEMON, OTHER, 0, 5):
                reply = await fleet.send_request(fleet.daemons[index])
                replies.append(reply.status)
            other = await fleet.send_request(fleet.daemons[OTHER], "/read/y")
            return [*replies, other.status], fleet.outcomes()

        statuses, outcomes = self.play(body)
        self.assertEqual([503] * 5, statuses)
        self.assertEqual({"first": 2, "returned": 2, "repeated": 1}, outcomes)

    def test_callers_that_retry_at_once_and_often_have_no_precedence(self):
        async def body(fleet):
            calls = [
                fleet.send_request(fleet.daemons[number % 6])
                for number in range(60)
            ]
            await asyncio.gather(*calls)
            return fleet.outcomes()

        outcomes = self.play(body)
        self.assertLessEqual(
            outcomes["returned"], returning_callers.REPEATED - 1
        )
        self.assertEqual(60, sum(outcomes.values()))

    def test_request_that_a_second_server_serves_is_not_a_returning_one(self):
        """Guards against precedence for a caller that polls."""

        async def body(fleet):
            daemon = fleet.daemons[DAEMON]
            part = daemon.returning_callers
            seen_before = part.seen_before

            async def recover(*arguments):
                fleet.shed(False)
                return await seen_before(*arguments)

            part.seen_before = recover
            for _ in range(2):
                fleet.shed()
                reply = await fleet.send_request(daemon)
                self.assertEqual(200, reply.status)
                await asyncio.sleep(rejection_link.WITHDRAW_S + 0.1)
            return dict(part.outcomes)

        self.assertEqual({"first": 2}, self.play(body))

    def test_lost_relay(self):
        async def body(fleet):
            await fleet.harness.controls[RELAY + 1].close()
            await self.check_without_relay(fleet, "silent")

        self.play(body)

    def test_late_relay(self):
        """Guards against calls that wait for a relay that is cut off."""

        async def body(fleet):
            fleet.delay(RELAY)
            await self.check_without_relay(fleet, "silent")

        self.play(body)

    def test_relay_of_the_previous_build(self):
        """Such a relay does not know the path."""

        async def body(fleet):
            relay = fleet.daemons[RELAY]
            relay.settings = relay.settings._replace(load_sharing="off")
            request = messages.Request("POST", rejection_relay.PATH, (), b"")
            self.assertEqual(404, (await relay.handle_peer(request)).status)
            await self.check_without_relay(fleet, "not_ready")

        self.play(body)

    def test_restarted_relay_knows_no_callers(self):
        async def body(fleet):
            first = await self.ask(fleet, count=2)
            await fleet.restart(RELAY, crash_harness.RELAY_PORTS[RELAY])
            relay = fleet.daemons[RELAY]
            relay.settings = relay.settings._replace(load_sharing="on")
            return first + await self.ask(fleet, OTHER, 2)

        found = self.play(body)
        self.assertEqual([False, True] * 2, [answer for answer, _ in found])

    def test_rejections_are_not_delayed_past_the_deadline(self):
        async def body(fleet):
            for index in range(len(crash_harness.SEEDS)):
                fleet.delay(index)
            part = fleet.daemons[DAEMON].returning_callers
            loop = asyncio.get_running_loop()
            began = loop.time()
            for number, limit_s in enumerate((-1.0, 0.0, 0.02)):
                await part.seen_before(fingerprint_of(number), "", limit_s)
            took_s = loop.time() - began
            await asyncio.sleep(2.0)
            reply = await fleet.send_request(fleet.daemons[DAEMON])
            return took_s, reply

        took_s, reply = self.play(body)
        self.assertLessEqual(took_s, 0.02 + 1e-6)
        self.assertEqual(503, reply.status)
        self.assertLess(
            reply.took_s, REJECTION_S + rejection_link.ASK_TIMEOUT_S
        )

    def test_nothing_is_asked_without_shared_load(self):
        async def body(fleet):
            for _ in range(6):
                await fleet.send_request(fleet.daemons[DAEMON])
            parts = [one.returning_callers for one in fleet.daemons]
            return [(part.outcomes, part.message_results) for part in parts]

        for outcomes, results in self.play(body, UnsharedFleet):
            self.assertEqual((0, 0), (outcomes.total(), results.total()))

    def test_daemon_without_relays_keeps_its_own_table(self):
        async def body(env):
            env.gateway.settings = env.gateway.settings._replace(
                load_sharing="on"
            )
            env.fault(shed=True)
            for number in range(3):
                await env.request(f"r{number}")
            part = env.gateway.returning_callers
            return dict(part.outcomes), part.message_results.total()

        async def whole():
            async with harness.GatewayHarness() as env:
                return await body(env)

        outcomes, sent = self.run_paused(whole())
        self.assertEqual({"first": 1, "returned": 2}, outcomes)
        self.assertEqual(0, sent)

    def test_refusal_beyond_an_allowance_gives_no_precedence(self):
        """Guards against an organisation that gains from its surge."""

        async def body(fleet):
            organisation = {"name": "north", "apiKeys": [KEY]}
            organisation |= {"ratePerS": 0.1, "burst": 0}
            fleet.harness.put_document(organisations=[organisation])
            await asyncio.sleep(2.0)
            statuses = []
            for index in (DAEMON, OTHER) * 6:
                reply = await fleet.send_request(
                    fleet.daemons[index], credential=KEY
                )
                statuses.append(reply.status)
            return statuses, fleet.outcomes()

        statuses, outcomes = self.play(body)
        self.assertGreater(statuses.count(429), 6)
        self.assertEqual(statuses.count(503), sum(outcomes.values()))

    def test_callers_are_told_to_come_back_one_after_the_other(self):
        """Guards against callers of many daemons that come back together."""

        async def body(fleet):
            known = service_load.ZoneLoad(6, 0, 0, 0, 1, 0.0, 10.0, 0.2)
            for daemon in fleet.daemons:
                daemon.service_loads.service_load = lambda *_: known
                daemon.returning_callers.relay.load = lambda *_: known
            replies = [
                await fleet.send_request(
                    fleet.daemons[number % 6],
                    f"/read/{number}",
                    deadline_ms=3000,
                )
                for number in range(6)
            ]
            return [float(one.headers["retry-after"]) for one in replies]

        times = self.play(body)
        # The route permits 0.8 s; six slots become free in 0.6 s.
        self.assertLessEqual(max(times), 0.8 / 3)
        self.assertGreater(max(times) - min(times), 0.03)

    def test_messages_stay_within_the_bound_at_312_daemons(self):
        """Guards against a cost that grows with the load.

        A daemon rejects each of its two requests a second.
        """

        async def body(fleet):
            sent = []
            relay = fleet.daemons[RELAY].returning_callers.relay
            handle = relay.handle

            def record(request):
                reply = handle(request)
                sent.append(len(request.body) + len(reply.body))
                return reply

            relay.handle = record
            await self.ask(fleet, count=10)
            part = fleet.daemons[DAEMON].returning_callers
            together = [
                part.seen_before(fingerprint_of(number), harness.SERVICE)
                for number in range(100, 300)
            ]
            await asyncio.gather(*together)
            return sent, part.message_results["answered"]

        sent, count = self.play(body)
        # Request line, fields and status line are below 200 bytes.
        self.assertLess(2 * (max(sent[:10]) + 200), MESSAGE_BYTES_PER_S / 4)
        # One message is under way, and the rest shares the next ones.
        self.assertLessEqual(count - 10, 3 * 4)

    def test_unreadable_message_is_rejected(self):
        async def body(fleet):
            relay = fleet.daemons[RELAY].returning_callers.relay
            other = fleet.daemons[DAEMON].returning_callers.relay
            long = [bytes(8)] * (rejection_relay.MAX_FINGERPRINTS + 1)
            bodies = (
                b"\xff",
                msgpack.encode({"rejected": {}, "served": long}),
                msgpack.encode({"rejected": {}, "served": []}),
            )
            requests = [
                messages.Request("POST", rejection_relay.PATH, (), body)
                for body in bodies
            ]
            found = [relay.handle(one).status for one in requests]
            return [*found, other.handle(requests[2]).status]

        self.assertEqual([400, 400, 200, 503], self.play(body))
