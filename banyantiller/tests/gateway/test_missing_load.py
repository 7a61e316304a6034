"""Tests of services some of whose servers tell no load, or not always."""

import asyncio

from banyantiller.tests.gateway import harness


class LoadTellingTest(harness.TestCase):
    def test_one_answer_without_a_load_does_not_blind_a_service(self):
        """A whole service is served without its load after one bare answer.

        One answer of one server to the question for its health came without
        the load, and the service was taken for one whose servers tell none, for
        the life of the process. Seen: `gateway: servers tell no load.` once,
        and no server was asked for its load in 10 requests.
        """

        async def body(place):
            place.servers["s0"].tells_load = False
            asker = place.gateway.prober
            entry = place.gateway.store_view.table.entries["s0"]
            asker.release(await asker.probe([entry], "/health"))
            place.servers["s0"].tells_load = True
            before = sum(one.asked for one in place.servers.values())
            for number in range(10):
                await place.request(f"a{number}")
            after = sum(one.asked for one in place.servers.values())
            return after - before

        self.assertGreater(self.play(body), 10)

    def test_servers_that_begin_to_tell_their_load_are_asked_again(self):
        """A service that is upgraded is served without its load for good.

        The daemon learned from the earlier release that its servers tell no
        load; the later one tells it in every answer, and nobody looks. Seen:
        no server was asked for its load in 10 requests, after 10 others.
        """

        async def body(place):
            for one in place.servers.values():
                one.tells_load = False
            await place.request("first")
            for one in place.servers.values():
                one.tells_load = True
            for number in range(10):
                await place.request(f"a{number}")
            before = sum(one.asked for one in place.servers.values())
            for number in range(10):
                await place.request(f"b{number}")
            after = sum(one.asked for one in place.servers.values())
            return after - before

        self.assertGreater(self.play(body), 10)

    def test_server_that_tells_no_load_is_not_asked_beside_others_that_do(self):
        """Servers that tell their load are not asked for it.

        One of three servers tells none, as during an upgrade, and the daemon
        took all of them for such servers. Seen: none of the three was asked in
        20 requests.
        """

        async def body(place):
            place.servers["s0"].tells_load = False
            for number in range(20):
                await place.request(f"a{number}")
            before = {name: one.asked for name, one in place.servers.items()}
            for number in range(20):
                await place.request(f"b{number}")
            return {
                name: one.asked > before[name]
                for name, one in place.servers.items()
            }

        self.assertEqual({"s0": False, "s1": True, "s2": True}, self.play(body))

    def test_servers_that_stop_to_tell_their_load_are_not_asked(self):
        async def body(place):
            await place.request("first")
            for one in place.servers.values():
                one.tells_load = False
            for number in range(10):
                await place.request(f"a{number}")
            before = sum(one.asked for one in place.servers.values())
            calls = [place.request(f"b{number}") for number in range(6)]
            found = await asyncio.gather(*calls)
            after = sum(one.asked for one in place.servers.values())
            return [answer.status for answer in found], after - before

        self.assertEqual(([200] * 6, 0), self.play(body))
