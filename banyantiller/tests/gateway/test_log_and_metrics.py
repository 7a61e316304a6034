"""Tests of the log lines and metrics of the gateway."""

import asyncio
import re

import structlog

from banyantiller.gateway import metrics, sampling
from banyantiller.tests import base
from banyantiller.tests.gateway import harness


class LogAndMetricsTest(base.TestCase):
    def play(self, body):
        """Runs `body(env)` and returns its result and the log lines."""

        async def whole():
            async with harness.GatewayHarness() as env:
                return await body(env)

        with structlog.testing.capture_logs() as lines:
            return self.run_paused(whole()), lines

    def test_each_call_is_logged_once_with_its_selection_inputs(self):
        async def body(env):
            await env.request("a")

        _, lines = self.play(body)
        (line,) = [entry for entry in lines if entry.get("id") == "a"]
        self.assertEqual("gateway: call ended.", line["event"])
        self.assertEqual(([0, 0, 2, 1.0], 4, 200.0), (
            line["load"], line["version"] * 2, line["objective_ms"]
        ))  # fmt: skip

    def test_each_failed_attempt_is_logged(self):
        async def body(env):
            env.fault(reset=True)
            await env.request("a")

        _, lines = self.play(body)
        events = [entry["event"] for entry in lines if entry.get("id") == "a"]
        self.assertEqual(
            ["gateway: a try failed."] * 2 + ["gateway: call ended."], events
        )

    def test_loss_and_return_of_the_store_are_logged(self):
        async def body(env):
            env.store.faults.reset = True
            await asyncio.sleep(6)
            env.store.faults.reset = False
            await asyncio.sleep(3)

        _, lines = self.play(body)
        events = [
            entry["event"] for entry in lines if "store is" in entry["event"]
        ]
        self.assertEqual(
            ["gateway: store is lost.", "gateway: store is back."], events
        )

    def test_line_of_a_refused_call_says_what_servers_lacked(self):
        async def silent(env):
            env.fault(silent=True)
            await env.request("a")
            page = metrics.MetricsPage(env.gateway)
            text = page.text().decode()
            page.instruments.close()
            return text

        async def not_registered(env):
            for instance in env.servers:
                env.store.remove("servers", instance)
            await asyncio.sleep(1)
            await env.request("a")

        async def busy(env):
            for server in env.servers.values():
                server.running = server.slots
            await env.request("a")

        for body, reason in (
            (silent, "servers_unresponsive"),
            (not_registered, "servers_not_registered"),
            (busy, "servers_busy"),
        ):
            text, lines = self.play(body)
            (line,) = [entry for entry in lines if entry.get("id") == "a"]
            self.assertEqual(
                ("no_server", reason), (line["error"], line["reason"])
            )
            if body is silent:
                self.assertIn(
                    'unresponsive_servers{service="orders"} 3.0', text
                )

    def test_successful_calls_are_sampled_and_failures_are_not(self):
        sampler = sampling.CallSampler()
        sampler.begin_second(1.0)
        successful = sum(sampler.should_log(True) for _ in range(100))
        failed = sum(sampler.should_log(False) for _ in range(100))
        self.assertEqual(
            (sampling.MAX_SUCCESSFUL_LINES_PER_S, 100), (successful, failed)
        )
        self.assertEqual((60, 0), sampler.begin_second(2.0))
        self.assertIsNone(sampler.begin_second(3.0))

    def test_metrics_page_has_counters_and_a_histogram(self):
        async def body(env):
            await env.request("a")
            await env.request("b", "/none/")
            page = metrics.MetricsPage(env.gateway)
            text = page.text().decode()
            page.instruments.close()
            return text

        text, _ = self.play(body)
        for expected in (
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
            self.assertIn(expected, text)

    def test_metrics_count_requests_by_server(self):
        async def body(env):
            for number in range(5):
                await env.request(f"a{number}")
            page = metrics.MetricsPage(env.gateway)
            text = page.text().decode()
            page.instruments.close()
            return text

        text, _ = self.play(body)
        counts = re.findall(r"server_sends_total\{.*\} (\d+)", text)
        self.assertEqual((3, 5), (len(counts), sum(map(int, counts))))
