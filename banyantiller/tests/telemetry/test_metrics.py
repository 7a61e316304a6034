"""Tests of tallies, metrics and the admin pages."""

import io
import json
from typing import Any

import structlog

from banyantiller.config import defaults
from banyantiller.errors import ErrorKind
from banyantiller.kernel import events
from banyantiller.telemetry import admin, logs, metrics, tallies
from banyantiller.tests import base
from banyantiller.tests.evidence import samples


def finished_call(**changes: Any) -> events.CallFinished:
    return samples.call(**{"service": "orders", "duration_s": 0.002, **changes})


class ExpositionTest(base.TestCase):
    def test_shows_calls_errors_and_quantiles(self) -> None:
        counts = tallies.CallTallies()
        instruments = metrics.Metrics()
        self.addCleanup(instruments.close)
        metrics.add_calls(instruments, counts)
        counts.record(finished_call())
        queue_full = ErrorKind.QUEUE_FULL
        counts.record(finished_call(status=503, error=queue_full, attempts=0))
        counts.record(finished_call(service="stock", attempts=2, cut=True))
        lines = instruments.exposition().decode().splitlines()
        expected = (
            'banyantiller_calls_total{service="orders",status="200"} 1.0',
            'banyantiller_calls_total{service="orders",status="503"} 1.0',
            'banyantiller_calls_total{service="stock",status="200"} 1.0',
            'banyantiller_errors_total{kind="queue_full",service="orders"} 1.0',
            'banyantiller_attempts_total{service="orders"} 1.0',
            'banyantiller_attempts_total{service="stock"} 2.0',
            'banyantiller_cut_total{service="stock"} 1.0',
        )
        found = [line for line in lines if "_total{" in line]
        self.assertEqual(sorted(expected), sorted(found))
        for service in ("orders", "stock"):
            name = "banyantiller_latency_seconds"
            labels = f'{{quantile="0.99",service="{service}"}}'
            (line,) = [x for x in lines if x.startswith(name + labels)]
            self.assertAlmostEqual(0.002, float(line.split()[1]), places=4)


class AdminTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.state = admin.Readiness(False, "no bundle is in force")
        instruments = metrics.Metrics()
        self.addCleanup(instruments.close)
        self.admin = admin.Admin(
            lambda: self.state, lambda: {"bundle": 4}, instruments
        )

    def test_health_is_independent_of_readiness(self) -> None:
        self.assertEqual(200, self.admin.answer("GET", "/healthz").status)
        page = self.admin.answer("GET", "/readyz")
        self.assertEqual(503, page.status)
        self.assertIn(b"no bundle", page.body)
        self.state = admin.Readiness(True)
        self.assertEqual(200, self.admin.answer("GET", "/readyz").status)

    def test_status_is_json_and_unknown_paths_list_the_known_ones(self) -> None:
        page = self.admin.answer("GET", "/status?verbose")
        self.assertEqual({"bundle": 4}, json.loads(page.body))
        page = self.admin.answer("GET", "/other")
        self.assertEqual(404, page.status)
        self.assertIn(b"/metrics", page.body)

    def test_methods_other_than_get_and_head_are_rejected(self) -> None:
        self.assertEqual(405, self.admin.answer("POST", "/status").status)


class LogsTest(base.TestCase):
    def test_lines_are_json_with_bound_fields_and_level(self) -> None:
        self.addCleanup(structlog.reset_defaults)
        out = io.StringIO()
        logs.configure(defaults.LogSettings(level="info"), out, daemon="d1")
        log = structlog.get_logger("banyantiller.test")
        log.debug("test: hidden.")
        log.info("test: shown.", count=2)
        lines = [json.loads(line) for line in out.getvalue().splitlines()]
        self.assertEqual(1, len(lines))
        self.assertEqual("test: shown.", lines[0]["event"])
        self.assertEqual("d1", lines[0]["daemon"])
        self.assertEqual(2, lines[0]["count"])
