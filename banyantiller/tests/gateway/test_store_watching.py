"""Tests of documents and registrations through outages of the store."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import harness


class FollowingTest(base.TestCase):
    def play(self, body):
        """Runs `body(world)` in a world on the paused clock."""

        async def whole():
            async with harness.GatewayHarness() as place:
                return await body(place)

        return self.run_paused(whole())

    def test_new_document_is_in_force_at_once(self):
        async def body(place):
            place.put_document([harness.route("new", "safe", "/new/")])
            await asyncio.sleep(0.05)
            return [
                (await place.request("a", path)).status
                for path in ("/new/x", "/read/x")
            ]

        self.assertEqual([200, 404], self.play(body))

    def test_older_document_is_never_taken(self):
        async def body(place):
            place.version = -2
            place.put_document([harness.route("old", "safe", "/old/")])
            await asyncio.sleep(0.05)
            return (await place.request("a", "/read/x")).status

        self.assertEqual(200, self.play(body))

    def test_unreadable_document_changes_nothing(self):
        async def body(place):
            place.put_document([{"name": "half", "routeType": "safe"}])
            await asyncio.sleep(0.05)
            counted = place.gateway.tallies.documents["unreadable"]
            return (await place.request("a")).status, counted

        self.assertEqual((200, 1), self.play(body))

    def test_document_is_in_force_soon_after_each_kind_of_outage(self):
        for fault in ("down", "busy", "silent", "reset"):

            async def body(place, fault=fault):
                setattr(place.store.faults, fault, True)
                await asyncio.sleep(7)
                setattr(place.store.faults, fault, False)
                place.put_document([harness.route("new", "safe", "/new/")])
                # A change has 3 s of calm store and 2 s more; half of it.
                await asyncio.sleep(2.5)
                return (await place.request("a", "/new/x")).status

            self.assertEqual(200, self.play(body), fault)

    def test_return_of_a_silent_store_is_seen_whenever_it_comes(self):
        # A watch that waited on the silent store once hid a document until
        # 3.1 s after the return.
        for tenths in range(50, 80, 3):

            async def body(place, away_s=tenths / 10):
                place.store.faults.silent = True
                await asyncio.sleep(away_s)
                place.store.faults.silent = False
                place.put_document([harness.route("new", "safe", "/new/")])
                await asyncio.sleep(2.2)
                return (await place.request("a", "/new/x")).status

            self.assertEqual(200, self.play(body), tenths)

    def test_lost_history_is_read_anew(self):
        async def body(place):
            place.store.faults.down = True
            await asyncio.sleep(0.5)
            place.put_document([harness.route("new", "safe", "/new/")])
            place.store.remove("servers", "s0")
            place.store.forget()
            place.store.faults.down = False
            await asyncio.sleep(6)
            return (await place.request("a", "/new/x")).status, sorted(
                place.gateway.store_view.table.entries
            )

        self.assertEqual((200, ["s1", "s2"]), self.play(body))

    def test_list_in_pages_is_whole(self):
        async def body(place):
            place.store.faults.page = 2
            await place.add_server("s3")
            place.store.forget()
            await asyncio.sleep(4)
            return sorted(place.gateway.store_view.table.entries)

        self.assertEqual(["s0", "s1", "s2", "s3"], self.play(body))

    def test_leaving_server_gets_nothing_new_and_never_comes_back(self):
        async def body(place):
            place.register("s0", state="draining")
            await asyncio.sleep(1)
            place.register("s0", state="ready")
            await asyncio.sleep(1)
            before = len(place.servers["s0"].seen)
            for number in range(12):
                await place.request(f"a{number}")
            return len(place.servers["s0"].seen) - before

        self.assertEqual(0, self.play(body))

    def test_removed_server_gets_nothing_new(self):
        async def body(place):
            place.store.remove("servers", "s0")
            await asyncio.sleep(1)
            for number in range(12):
                await place.request(f"a{number}")
            return len(place.servers["s0"].seen)

        self.assertEqual(0, self.play(body))

    def test_registrations_that_lapse_in_an_outage_serve_until_they_return(
        self,
    ):
        async def body(place):
            place.store.faults.down = True
            await asyncio.sleep(6)
            for name in ("s0", "s1", "s2"):
                place.store.remove("servers", name)
            place.store.faults.down = False
            await asyncio.sleep(1.5)
            first = (await place.request("a")).status
            place.register("s0")
            await asyncio.sleep(3)
            return first, sorted(place.gateway.store_view.table.entries)

        self.assertEqual((200, ["s0"]), self.play(body))

    def test_reused_address_is_noticed_and_the_request_goes_elsewhere(self):
        async def body(place):
            stranger = await place.add_server("x9", "other")
            place.servers["s0"].stop()
            place.gateway.store_view.table.entries[
                "s0"
            ].server = place.gateway.store_view.table.entries[
                "s0"
            ].server._replace(port=stranger.port)
            found = [await place.request(f"a{n}") for n in range(8)]
            ran = [stranger.ran[f"a{n}"] for n in range(8)]
            known = "s0" in place.gateway.store_view.table.entries
            return [answer.status for answer in found], sum(ran), known

        self.assertEqual(([200] * 8, 0, False), self.play(body))

    def test_daemon_that_knows_nothing_yet_says_when_to_come_back(self):
        async def body(place):
            place.store.faults.down = True
            await place.start_gateway()
            answer = await place.request("a")
            return (
                answer.status,
                answer.headers["request-ran"],
                (place.gateway.not_ready()),
            )

        status, ran, reason = self.play(body)
        self.assertEqual((503, "no"), (status, ran))
        self.assertEqual("no document is in force", reason)
