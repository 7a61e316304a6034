"""Tests of restarted servers and of malformed registrations."""

import asyncio

from banyantiller.gateway import servers, types
from banyantiller.tests import base
from banyantiller.tests.gateway import harness


def registration(started_ms, **more):
    """Returns a registration of the instance `s0`."""
    found = types.Server("s0", "one", "10.0.0.1", 80, "z", 2, False, 0.0)
    return found._replace(started_ms=started_ms, **more)


class RestartTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.table = servers.ServerTable()
        self.table.set_evacuated_zones(frozenset())

    def usable(self, now=1.0):
        return [
            entry.server.started_ms for entry in self.table.usable("one", now)
        ]

    def test_health_of_the_earlier_incarnation_is_dropped(self):
        self.table.put(registration(100), 0.0)
        before = self.table.entries["s0"]
        before.health.record_no_response(0.0)
        before.health.record_result(False, 0.0)
        replaced = self.table.put(registration(200), 1.0)
        after = self.table.entries["s0"]
        self.assertEqual(100, replaced.started_ms)
        self.assertIsNot(before, after)
        self.assertFalse(after.health.is_unresponsive(1.0))
        self.assertEqual(0.0, after.health.failure_rate_at(1.0))

    def test_incarnation_after_a_shutdown_is_used(self):
        self.table.put(registration(100, leaving=True), 0.0)
        self.assertEqual([], self.usable())
        self.table.put(registration(200), 0.0)
        self.assertEqual([200], self.usable())

    def test_incarnation_that_shut_down_gets_no_requests(self):
        self.table.put(registration(100, leaving=True), 0.0)
        self.table.put(registration(100), 0.0)
        self.table.remove("s0", "registration_removed")
        self.table.put(registration(100), 0.0)
        self.assertEqual([], self.usable())

    def test_earlier_incarnation_never_replaces_a_later_one(self):
        self.table.put(registration(200), 0.0)
        self.table.put(registration(100, leaving=True), 0.0)
        self.assertEqual([200], self.usable())
        self.table.remove("s0", "registration_removed")
        self.table.put(registration(100), 0.0)
        self.assertEqual([], self.usable())

    def test_registrations_without_start_time_are_one_incarnation(self):
        self.table.put(registration(0), 0.0)
        self.assertIsNone(self.table.put(registration(0), 1.0))
        self.assertEqual([0], self.usable())


class RegistrationsTest(harness.TestCase):
    def test_server_that_restarts_after_its_shutdown_gets_requests(self):
        async def body(env):
            for name in env.servers:
                env.register(name, state="draining", born=1000)
            await asyncio.sleep(1)
            before = (await env.request("a")).status
            for name in env.servers:
                env.register(name, born=2000)
            await asyncio.sleep(1)
            return before, (await env.request("b")).status

        self.assertEqual((503, 200), self.play(body))

    def test_connections_to_the_earlier_incarnation_are_not_used(self):
        async def body(env):
            await env.request("a")
            env.servers["s0"].stop()
            restarted = await env.add_server("s0", slots=2)
            env.register("s0", born=2000)
            for name in ("s1", "s2"):
                env.store.remove("servers", name)
            await asyncio.sleep(1)
            answers = [await env.request(f"b{n}") for n in range(4)]
            return [one.status for one in answers], sum(restarted.ran.values())

        self.assertEqual(([200] * 4, 4), self.play(body))

    def test_malformed_registration_is_ignored_and_others_stay(self):
        for malformed in (
            None,
            [],
            "\udcff",
            {"service": harness.SERVICE},
            {"service": harness.SERVICE, "state": "ready", "address": 7},
        ):

            async def body(env, malformed=malformed):
                env.store.put("servers", "s0", malformed)
                env.store.put("servers", "x1", malformed)
                await asyncio.sleep(2)
                registered = sorted(env.gateway.store_view.table.entries)
                unreadable_count = env.gateway.tallies.registrations[
                    "unreadable"
                ]
                env.register("s0")
                await asyncio.sleep(2)
                back = sorted(env.gateway.store_view.table.entries)
                return registered, unreadable_count, back

            self.assertEqual(
                (["s1", "s2"], 2, ["s0", "s1", "s2"]),
                self.play(body),
                ascii(malformed),
            )

    def test_malformed_registrations_do_not_hide_valid_ones(self):
        async def body(env):
            env.store.put("servers", "a0", "\udcff")
            await env.start_gateway()
            await asyncio.sleep(1)
            return sorted(env.gateway.store_view.table.entries)

        self.assertEqual(["s0", "s1", "s2"], self.play(body))
