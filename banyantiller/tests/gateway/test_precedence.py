"""Tests how a gateway that shares loads treats requests by their cost."""

import asyncio

import msgspec

from banyantiller.gateway import forwarded_calls, forwarding
from banyantiller.tests.gateway import harness
from banyantiller.tests.gateway.decisions import test_precedence
from banyantiller.utils import decoding

# Routes of different services and priorities.
ROUTES = [
    harness.route("read", "safe", "/read/", "other", priority=2),
    harness.route("file", "unsafe", "/file/", priority=1),
]
FIELDS = {
    "daemon": "d2",
    "method": "GET",
    "target": "/read/x",
    "host": harness.HOST,
    "headers": [],
    "body": b"",
    "has_body": False,
    "request_id": "a",
    "fingerprint": "f",
    "waited_ms": 5.0,
    "remaining_ms": 500.0,
    "version": 2,
    "route": "read",
    "service": harness.SERVICE,
    "idempotent": True,
    "objective_ms": 200.0,
    "attempted": [],
    "urgent": False,
}


class PrecedenceTest(harness.TestCase):
    async def restart(self, env, load_sharing="on", load=None):
        """Starts a gateway that knows a load of each service."""
        await env.start_gateway(name="d9", load_sharing=load_sharing)
        env.gateway.service_loads.service_load = lambda service, now: load
        await asyncio.sleep(0.1)

    def wait_of_lone_kind(self, load_sharing):
        """Returns the reply to a request whose servers are busy for 0.09 s."""

        async def body(env):
            env.put_document(ROUTES)
            await self.restart(env, load_sharing)
            for server in env.servers.values():
                server.running = server.slots
            asyncio.get_running_loop().call_later(
                0.09, lambda: setattr(env.servers["s2"], "running", 0)
            )
            answer = await env.request("a", "/file/x", "POST", b"x")
            return answer.status, dict(env.gateway.tallies.precedence)

        return self.play(body)

    def test_most_urgent_kind_waits_although_it_is_alone_on_its_service(self):
        status, counted = self.wait_of_lone_kind("on")
        self.assertEqual(200, status)
        self.assertEqual({(harness.SERVICE, "waited", "urgent"): 1}, counted)

    def test_nothing_changes_while_loads_are_not_shared(self):
        self.assertEqual((503, {}), self.wait_of_lone_kind("off"))

    def test_hopeless_request_is_rejected_at_once_and_does_not_run(self):
        async def body(env):
            await self.restart(env)
            first = await env.request("a")
            answer = await env.request("b", deadline_ms=20)
            return first.status, answer, env.ran("b")

        first, answer, ran = self.play(body)
        self.assertEqual((200, 503, 0), (first, answer.status, ran))
        self.assertLess(answer.took_s, 0.01)
        self.assertIn("retry-after", answer.headers)

    def time_of_slow_read(self, load):
        """Returns how long a read takes whose first server stops responding."""

        async def body(env):
            await self.restart(env, load=load)
            await env.request("a")
            env.fault(mute=True)
            call = asyncio.ensure_future(env.request("b"))
            await asyncio.sleep(0.02)
            # Only the request that runs stays without a response.
            env.fault(mute=False)
            answer = await call
            return answer.status, answer.took_s

        return self.play(body)

    def test_slow_read_is_hedged_in_time_if_servers_are_known_free(self):
        status, took_s = self.time_of_slow_read(test_precedence.FREE)
        self.assertEqual(200, status)
        self.assertLess(took_s, 0.2)

    def test_slow_read_is_not_hedged_early_if_the_load_is_unknown(self):
        _, took_s = self.time_of_slow_read(None)
        self.assertGreater(took_s, 0.2)

    def test_retry_is_kept_for_a_returning_caller(self):
        async def body(env):
            load = test_precedence.REJECTING._replace(rejected_share=0.95)
            await self.restart(env, load=load)
            # The window allows one retry.
            env.gateway.settings = env.gateway.settings._replace(
                retry_extra=24.0
            )
            env.gateway.budget_of(harness.SERVICE).rounding = 0.0
            env.fault(shed=True)
            await env.request("a", deadline_ms=700)
            first = env.gateway.tallies.retries[harness.SERVICE]
            await env.request("a", deadline_ms=400)
            tallies = env.gateway.tallies
            return first, tallies.retries[harness.SERVICE], tallies.precedence

        first, second, counted = self.play(body)
        self.assertEqual((0, 1), (first, second))
        reserved = (harness.SERVICE, "retry_reserved", "service_rejects")
        self.assertEqual({reserved: 1}, counted)

    def test_forwarded_call_keeps_its_cost(self):
        async def body(env):
            daemon = forwarded_calls.ForwardedCalls(env.gateway)
            more = {"rank": 0.0, "elapsed_ms": 300.0, "returned": True}
            return [
                daemon._build_call(
                    decoding.from_msgpack(
                        msgspec.msgpack.encode(FIELDS | added),
                        forwarding.ForwardedRequest,
                    )
                )
                for added in ({}, more)
            ]

        # The first is from a daemon of the previous build, or without sharing.
        for call, expected in zip(
            self.play(body), ((0.5, 0.0, False), (0.0, 0.3, True)), strict=True
        ):
            found = (call.rank, call.elapsed_s, call.returned)
            self.assertEqual(expected, found)
