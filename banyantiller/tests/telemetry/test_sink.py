"""Tests of log output that may be stuck."""

import os

from banyantiller.telemetry import sink
from banyantiller.tests import base

LINE = "x" * 999 + "\n"


class SinkTest(base.TestCase):
    def pipe(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        return reading, sink.Sink(writing)

    def test_lines_pass(self):
        reading, output = self.pipe()
        output.write("one\n")
        output.write("two\n")
        self.assertEqual(b"one\ntwo\n", os.read(reading, 100))

    def test_stuck_output_drops_whole_lines_and_tells_when_it_flows(self):
        reading, output = self.pipe()
        for _ in range(200):
            output.write(LINE)
        self.assertGreater(output.lost, 100)
        text = b""
        for _ in range(40):
            text += os.read(reading, 4096)
            output.write("after\n")
            if b"lines were lost" in text:
                break
        whole = [one for one in text.split(b"\n")[:-1] if one.startswith(b"x")]
        self.assertEqual({999}, {len(one) for one in whole})
        self.assertIn(b"telemetry: lines were lost.", text)

    def test_closed_output_is_no_error(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, writing)
        output = sink.Sink(writing)
        os.close(reading)
        output.write("one\n")
        self.assertEqual(1, output.lost)
