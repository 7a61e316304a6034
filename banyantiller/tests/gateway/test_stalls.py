"""Tests that the log tells the causes of a process that stood still apart."""

import time

import structlog

from banyantiller.gateway import stalls
from banyantiller.tests import base

STALLED = "gateway: the process stood still."


class StallsTest(base.TestCase):
    """Guards against gaps whose cause can't be found afterwards."""

    def lines_of(self, body, late_s):
        """Returns the lines of a check after `body()`."""
        detector = stalls.StallDetector()
        with structlog.testing.capture_logs() as lines:
            body()
            detector.check(late_s)
        detector.close()
        return [line for line in lines if line["event"] == STALLED]

    def test_long_step_shows_as_processor_time(self):
        def work():
            ends_at = time.process_time() + 0.6
            while time.process_time() < ends_at:
                pass

        (line,) = self.lines_of(work, 0.6)
        self.assertGreater(line["cpu_ms"], 500)

    def test_blocked_process_shows_neither(self):
        (line,) = self.lines_of(lambda: time.sleep(0.6), 0.6)
        self.assertLess(line["cpu_ms"], 100)

    def test_short_gap_has_no_line(self):
        self.assertEqual([], self.lines_of(lambda: None, 0.4))

    def test_system_without_the_file_leaves_the_time_unknown(self):
        detector = stalls.StallDetector()
        detector.close()
        with structlog.testing.capture_logs() as lines:
            detector.check(1.0)
        self.assertIsNone(lines[0]["waited_ms"])
