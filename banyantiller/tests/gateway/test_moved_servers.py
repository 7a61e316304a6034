"""Tests of servers whose address another server has, or that have another."""

import asyncio

from banyantiller.tests.gateway import harness


def usable(place):
    """Returns the servers that may get requests, by instance."""
    now = place.gateway.loop.time()
    found = place.gateway.store_view.table.usable(harness.SERVICE, now)
    return sorted(entry.server.instance for entry in found)


class MovedTest(harness.TestCase):
    def test_late_answer_of_an_earlier_address_takes_nobody_out(self):
        """A live server is left out until it registers something else.

        It registered at another address while a request to its earlier one,
        which another server has by now, was still under way. The answer, 421,
        took out the server by its name, and its registration is not told again
        before it changes. Seen: `gateway: server gone. instance=s0
        reason=address_reused` after `s0` had registered anew.
        """

        async def body(place):
            entry = place.gateway.store_view.table.entries["s0"]
            earlier = place.servers["s0"]
            earlier.instance = "x9"
            earlier.tells_load = False
            earlier.running = earlier.slots
            asked = asyncio.ensure_future(
                place.gateway.prober.probe([entry], "/health")
            )
            await asyncio.sleep(0.02)
            await place.add_server("s0")
            await asyncio.sleep(0.05)
            earlier.running = 0
            earlier.freed.set()
            place.gateway.prober.release(await asked)
            await asyncio.sleep(5)
            earlier.stop()
            return usable(place)

        self.assertEqual(["s0", "s1", "s2"], self.play(body))

    def test_server_that_registers_at_another_address_is_used_there(self):
        """A server that starts again elsewhere is left out for good.

        Its registration does not say when it started, so that a new address is
        all that tells the starts apart. The connections that were kept to the
        earlier address were used further, another server answered on them, and
        the live one was taken out. Seen: `gateway: server gone. instance=s0
        reason=address_reused`, and 503 for 12 requests of 12 where no other
        server was left.
        """

        async def body(place):
            for number in range(6):
                await place.request(f"a{number}")
            earlier = place.servers["s0"]
            earlier.instance = "x9"
            again = await place.add_server("s0")
            for name in ("s1", "s2"):
                place.store.remove("servers", name)
            await asyncio.sleep(1)
            answers = [
                await place.request(f"b{number}") for number in range(12)
            ]
            earlier.stop()
            statuses = [answer.status for answer in answers]
            return statuses, usable(place), sum(again.ran.values())

        self.assertEqual(([200] * 12, ["s0"], 12), self.play(body))

    def test_connection_to_an_earlier_address_is_not_kept_for_the_next(self):
        """A connection is kept for a server that is not at its other end.

        A server registered anew between the answer to a question and the
        return of the connection that it came on. Connections are kept by name,
        so the next request would go to the earlier address, whose answer takes
        the server out. Seen: one idle connection kept for the new address, to
        which none was opened.
        """

        async def body(place):
            known = place.gateway.store_view
            entry = known.table.entries["s0"]
            found = await place.gateway.prober.probe([entry], "/health")
            earlier = place.servers["s0"]
            again = await place.add_server("s0")
            await asyncio.sleep(1)
            place.gateway.prober.release(found)
            earlier.stop()
            home = place.gateway.pool_of(known.table.entries["s0"].server)
            return len(home.idle), home.server.port == again.port

        self.assertEqual((0, True), self.play(body))

    def test_server_that_left_and_starts_elsewhere_is_used(self):
        """A server that starts again after it left is left out for good.

        Its registration does not say when it started. What the earlier start
        said, that it leaves, was held against the later one, for the life of
        the process. Seen: `gateway: server joined. instance=s0 leaving=True`
        for a registration that says it is ready.
        """

        async def body(place):
            place.register("s0", state="draining")
            await asyncio.sleep(1)
            place.store.remove("servers", "s0")
            await asyncio.sleep(1)
            earlier = place.servers["s0"]
            await place.add_server("s0")
            await asyncio.sleep(1)
            earlier.stop()
            return usable(place)

        self.assertEqual(["s0", "s1", "s2"], self.play(body))
