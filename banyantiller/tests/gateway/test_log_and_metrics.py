"""Tests of what the gateway logs and counts."""

import asyncio
import re

import structlog

from banyantiller.gateway import metrics, sampling
from banyantiller.tests import base
from banyantiller.tests.gateway import harness


class TellingTest(base.TestCase):
    def play(self, body):
        """Runs `body(world)` and returns its result and the log lines."""

        async def whole():
            async with harness.GatewayHarness() as place:
                return await body(place)

        with structlog.testing.capture_logs() as lines:
            return self.run_paused(whole()), lines

    def test_each_call_has_one_line_with_what_decided_it(self):
        async def body(place):
            await place.request("a")

        _, lines = self.play(body)
        (line,) = [one for one in lines if one.get("id") == "a"]
        self.assertEqual("gateway: call ended.", line["event"])
        self.assertEqual(([0, 0, 2, 1.0], 4, 200.0), (
            line["load"], line["version"] * 2, line["objective_ms"]
        ))  # fmt: skip

    def test_each_failed_try_has_a_line(self):
        async def body(place):
            place.fault(reset=True)
            await place.request("a")

        _, lines = self.play(body)
        events = [one["event"] for one in lines if one.get("id") == "a"]
        self.assertEqual(
            ["gateway: a try failed."] * 2 + ["gateway: call ended."], events
        )

    def test_lost_and_regained_store_has_a_line_each(self):
        async def body(place):
            place.store.faults.reset = True
            await asyncio.sleep(6)
            place.store.faults.reset = False
            await asyncio.sleep(3)

        _, lines = self.play(body)
        events = [one["event"] for one in lines if "store is" in one["event"]]
        self.assertEqual(
            ["gateway: store is lost.", "gateway: store is back."], events
        )

    def test_good_calls_are_sampled_and_failures_are_not(self):
        sampler = sampling.CallSampler()
        sampler.begin_second(1.0)
        good = sum(sampler.should_log(True) for _ in range(100))
        bad = sum(sampler.should_log(False) for _ in range(100))
        self.assertEqual((sampling.GOOD_LINES_S, 100), (good, bad))
        self.assertEqual((60, 0), sampler.begin_second(2.0))
        self.assertIsNone(sampler.begin_second(3.0))

    def test_metrics_page_has_counters_and_a_histogram(self):
        async def body(place):
            await place.request("a")
            await place.request("b", "/none/")
            page = metrics.Page(place.gateway)
            text = page.text().decode()
            page.instruments.close()
            return text

        text, _ = self.play(body)
        for wanted in (
            'banyantiller_gateway_calls_total{route="read",service="orders",'
            'status="200"} 1.0',
            'banyantiller_gateway_failures_total{kind="unknown_service"',
            'banyantiller_gateway_latency_seconds_bucket{le="0.1",'
            'service="orders"} 1.0',
            'banyantiller_gateway_latency_seconds_count{service="orders"} 1.0',
            'banyantiller_gateway_servers{service="orders"} 3.0',
            "banyantiller_gateway_ready 1.0",
            'banyantiller_gateway_server_failures_total{server="s0",'
            'service="orders"} 0.0',
        ):
            self.assertIn(wanted, text)

    def test_metrics_count_requests_by_server(self):
        async def body(place):
            for number in range(5):
                await place.request(f"a{number}")
            page = metrics.Page(place.gateway)
            text = page.text().decode()
            page.instruments.close()
            return text

        text, _ = self.play(body)
        found = re.findall(r"server_sends_total\{.*\} (\d+)", text)
        self.assertEqual((3, 5), (len(found), sum(map(int, found))))
