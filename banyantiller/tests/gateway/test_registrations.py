"""Tests of servers that start again, and of entries of other writers."""

import asyncio

from banyantiller.gateway import servers, types
from banyantiller.tests import base
from banyantiller.tests.gateway import harness


def server(started_ms, **more):
    """Returns a registration of one instance."""
    found = types.Server("s0", "one", "10.0.0.1", 80, "z", 2, False, 0.0)
    return found._replace(started_ms=started_ms, **more)


class StartedAgainTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.table = servers.ServerTable()
        self.table.set_evacuated_zones(frozenset())

    def usable(self, now=1.0):
        return [
            entry.server.started_ms for entry in self.table.usable("one", now)
        ]

    def test_nothing_of_the_earlier_start_is_believed(self):
        self.table.put(server(100), 0.0)
        before = self.table.entries["s0"]
        before.health.record_no_response(0.0)
        before.health.record_result(False, 0.0)
        gone = self.table.put(server(200), 1.0)
        after = self.table.entries["s0"]
        self.assertEqual(100, gone.started_ms)
        self.assertIsNot(before, after)
        self.assertFalse(after.health.is_unresponsive(1.0))
        self.assertEqual(0.0, after.health.failure_rate_at(1.0))

    def test_start_after_leaving_is_used(self):
        self.table.put(server(100, leaving=True), 0.0)
        self.assertEqual([], self.usable())
        self.table.put(server(200), 0.0)
        self.assertEqual([200], self.usable())

    def test_start_that_left_stays_out(self):
        self.table.put(server(100, leaving=True), 0.0)
        self.table.put(server(100), 0.0)
        self.table.remove("s0", "registration_removed")
        self.table.put(server(100), 0.0)
        self.assertEqual([], self.usable())

    def test_earlier_start_never_replaces_a_later_one(self):
        self.table.put(server(200), 0.0)
        self.table.put(server(100, leaving=True), 0.0)
        self.assertEqual([200], self.usable())
        self.table.remove("s0", "registration_removed")
        self.table.put(server(100), 0.0)
        self.assertEqual([], self.usable())

    def test_start_that_is_not_told_is_one_start(self):
        self.table.put(server(0), 0.0)
        self.assertIsNone(self.table.put(server(0), 1.0))
        self.assertEqual([0], self.usable())


class RegistrationsTest(harness.TestCase):
    def test_server_that_starts_again_after_leaving_serves(self):
        async def body(place):
            for name in place.servers:
                place.register(name, state="draining", born=1000)
            await asyncio.sleep(1)
            before = (await place.request("a")).status
            for name in place.servers:
                place.register(name, born=2000)
            await asyncio.sleep(1)
            return before, (await place.request("b")).status

        self.assertEqual((503, 200), self.play(body))

    def test_connections_of_the_earlier_start_are_not_used(self):
        async def body(place):
            await place.request("a")
            place.servers["s0"].stop()
            again = await place.add_server("s0", slots=2)
            place.register("s0", born=2000)
            for name in ("s1", "s2"):
                place.store.remove("servers", name)
            await asyncio.sleep(1)
            answers = [await place.request(f"b{n}") for n in range(4)]
            return [one.status for one in answers], sum(again.ran.values())

        self.assertEqual(([200] * 4, 4), self.play(body))

    def test_entry_of_another_writer_names_no_server_and_others_hold(self):
        for spoilt in (
            None,
            [],
            "\udcff",
            {"service": harness.SERVICE},
            {"service": harness.SERVICE, "state": "ready", "address": 7},
        ):

            async def body(place, spoilt=spoilt):
                place.store.put("servers", "s0", spoilt)
                place.store.put("servers", "x1", spoilt)
                await asyncio.sleep(2)
                known = sorted(place.gateway.store_view.table.entries)
                counted = place.gateway.tallies.registrations["unreadable"]
                place.register("s0")
                await asyncio.sleep(2)
                back = sorted(place.gateway.store_view.table.entries)
                return known, counted, back

            self.assertEqual(
                (["s1", "s2"], 2, ["s0", "s1", "s2"]),
                self.play(body),
                ascii(spoilt),
            )

    def test_spoilt_entries_are_listed_beside_good_ones(self):
        async def body(place):
            place.store.put("servers", "a0", "\udcff")
            await place.start_gateway()
            await asyncio.sleep(1)
            return sorted(place.gateway.store_view.table.entries)

        self.assertEqual(["s0", "s1", "s2"], self.play(body))
