"""Tests of what is taken for a limit of a server, and what is logged of it."""

import asyncio
import random

import structlog

from banyantiller.platform import headers
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

UNREADABLE = ("", "many", "-1", "nan", "inf", "1e9", "1,5", "9" * 10, "٣")


class DecodingTest(base.TestCase):
    def test_decimal_numbers_are_read(self):
        for text, per_s in (("0", 0), ("1.5", 1.5), (" 12. ", 12), (".5", 0.5)):
            self.assertEqual(per_s, headers.read_limit([text]))

    def test_anything_else_is_an_error_that_shows_a_part_of_it(self):
        for text in UNREADABLE:
            error = self.assertRaises(ValueError, headers.read_limit, [text])
            self.assertLess(len(str(error)), 60)

    def test_two_fields_are_read_if_they_are_the_same(self):
        self.assertEqual(2.0, headers.read_limit(["2", "2"]))
        self.assertRaises(ValueError, headers.read_limit, ["2", "3"])


class TellingTest(harness.TestCase):
    def lines(self, body):
        """Returns the events that a play logs on limits."""
        with structlog.testing.capture_logs() as found:
            self.play(body)
        return [
            line["event"].removeprefix("gateway: ")
            for line in found
            if "limit" in line["event"]
        ]

    async def ask(self, place, count=8):
        for _ in range(count):
            await place.request(f"{random.getrandbits(32)}")

    def test_each_change_of_a_limit_is_one_line(self):
        async def body(place):
            # A daemon that can't count others takes a small part.
            one = place.servers["s0"]
            for text in ("24", "24", "12", ""):
                one.limit = text
                await self.ask(place, 20)
                await asyncio.sleep(3)
                await self.ask(place, 20)

        wanted = ["server names a limit."] * 2
        wanted.append("server names no limit any more.")
        self.assertEqual(wanted, self.lines(body))

    def test_limit_that_cannot_be_read_is_one_line_and_ends_nothing(self):
        async def body(place):
            place.servers["s0"].limit = "many"
            await self.ask(place, 20)
            self.assertGreater(len(place.servers["s0"].arrivals), 1)
            status = (await place.request("last")).status
            self.assertEqual(200, status)

        self.assertEqual(["limit is unreadable."], self.lines(body))

    def test_limit_counts_in_a_refusal_too(self):
        async def body(place):
            place.fault(shed=True)
            place.servers["s0"].limit = "5"
            await self.ask(place)
            return place.gateway.server_limits.count_limited()

        self.assertEqual(1, self.play(body))

    def test_answer_to_an_earlier_request_neither_lifts_nor_lowers(self):
        async def body(place):
            server = place.gateway.store_view.table.entries["s0"].server
            limits = place.gateway.server_limits
            now = asyncio.get_running_loop().time()
            said = []
            for text, sent_at in (
                ("4", now),
                ("2", now - 0.1),
                ("", now - 0.1),
                ("2", now + 0.1),
                ("", now + 0.2),
                ("2", now + 0.1),
            ):
                fields = (("server-limit", text),) if text else ()
                limits.record_response(server, fields, sent_at)
                (known,) = limits.by_incarnation.values()
                said.append(known.per_s)
            return said

        wanted = [4.0, 4.0, 4.0, 2.0, None, None]
        self.assertEqual(wanted, self.play(body))

    def test_answer_to_a_question_for_health_lifts_nothing(self):
        async def body(place):
            place.servers["s0"].limit = "5"
            await self.ask(place)
            asked = place.gateway.prober.probe_count
            entries = [place.gateway.store_view.table.entries["s0"]]
            found = await place.gateway.prober.probe(entries, "/health")
            place.gateway.prober.release(found)
            self.assertGreater(place.gateway.prober.probe_count, asked)
            return place.gateway.server_limits.count_limited()

        self.assertEqual(1, self.play(body))

    def test_limit_of_an_earlier_start_does_not_count_for_a_later_one(self):
        async def body(place):
            place.servers["s0"].limit = "5"
            await self.ask(place)
            place.servers["s0"].stop()
            await place.add_server("s0")
            place.register("s0", born=1)
            await asyncio.sleep(1)
            server = place.gateway.store_view.table.entries["s0"].server
            before = place.gateway.server_limits.is_limited(server)
            await asyncio.sleep(12)
            return before, len(place.gateway.server_limits.by_incarnation)

        self.assertEqual((False, 0), self.play(body))
