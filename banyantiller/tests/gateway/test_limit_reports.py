"""Tests of decoding, tracking and logging the limits of servers."""

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

    def test_other_values_raise_an_error_that_shows_a_part_of_them(self):
        for text in UNREADABLE:
            error = self.assertRaises(ValueError, headers.read_limit, [text])
            self.assertLess(len(str(error)), 60)

    def test_repeated_fields_are_read_if_they_are_equal(self):
        self.assertEqual(2.0, headers.read_limit(["2", "2"]))
        self.assertRaises(ValueError, headers.read_limit, ["2", "3"])


class LimitReportsTest(harness.TestCase):
    def limit_events(self, body):
        """Returns the log events about limits that occur during `body`."""
        with structlog.testing.capture_logs() as found:
            self.play(body)
        return [
            line["event"].removeprefix("gateway: ")
            for line in found
            if "limit" in line["event"]
        ]

    async def send_many(self, env, count=8):
        for _ in range(count):
            await env.request(f"{random.getrandbits(32)}")

    def test_each_change_of_a_limit_is_one_line(self):
        async def body(env):
            # A daemon that can't count its peers uses a small share.
            one = env.servers["s0"]
            for text in ("24", "24", "12", ""):
                one.limit = text
                await self.send_many(env, 20)
                await asyncio.sleep(3)
                await self.send_many(env, 20)

        expected = ["server names a limit."] * 2
        expected.append("server names no limit any more.")
        self.assertEqual(expected, self.limit_events(body))

    def test_unreadable_limit_is_one_line_and_blocks_nothing(self):
        async def body(env):
            env.servers["s0"].limit = "many"
            await self.send_many(env, 20)
            self.assertGreater(len(env.servers["s0"].arrivals), 1)
            status = (await env.request("last")).status
            self.assertEqual(200, status)

        self.assertEqual(["limit is unreadable."], self.limit_events(body))

    def test_limit_in_a_rejection_counts(self):
        async def body(env):
            env.fault(shed=True)
            env.servers["s0"].limit = "5"
            await self.send_many(env)
            return env.gateway.server_limits.count_limited()

        self.assertEqual(1, self.play(body))

    def test_response_to_an_earlier_request_changes_nothing(self):
        async def body(env):
            server = env.gateway.store_view.table.entries["s0"].server
            limits = env.gateway.server_limits
            now = asyncio.get_running_loop().time()
            limits_seen = []
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
                limits_seen.append(known.per_s)
            return limits_seen

        expected = [4.0, 4.0, 4.0, 2.0, None, None]
        self.assertEqual(expected, self.play(body))

    def test_response_to_a_health_probe_lifts_no_limit(self):
        async def body(env):
            env.servers["s0"].limit = "5"
            await self.send_many(env)
            asked = env.gateway.prober.probe_count
            entries = [env.gateway.store_view.table.entries["s0"]]
            found = await env.gateway.prober.probe(entries, "/health")
            env.gateway.prober.release(found)
            self.assertGreater(env.gateway.prober.probe_count, asked)
            return env.gateway.server_limits.count_limited()

        self.assertEqual(1, self.play(body))

    def test_limit_of_an_earlier_incarnation_does_not_apply_to_a_later_one(
        self,
    ):
        async def body(env):
            env.servers["s0"].limit = "5"
            await self.send_many(env)
            env.servers["s0"].stop()
            await env.add_server("s0")
            env.register("s0", born=1)
            await asyncio.sleep(1)
            server = env.gateway.store_view.table.entries["s0"].server
            before = env.gateway.server_limits.is_limited(server)
            await asyncio.sleep(12)
            return before, len(env.gateway.server_limits.by_incarnation)

        self.assertEqual((False, 0), self.play(body))
