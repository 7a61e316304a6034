"""Tests of log output that may be blocked."""

import os

from banyantiller.telemetry import sink
from banyantiller.tests import base

LINE = "x" * 999 + "\n"


class SinkTest(base.TestCase):
    def pipe(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        return read_end, sink.Sink(write_end)

    def test_lines_are_written(self):
        read_end, output = self.pipe()
        output.write("one\n")
        output.write("two\n")
        self.assertEqual(b"one\ntwo\n", os.read(read_end, 100))

    def test_blocked_output_drops_whole_lines_and_reports_the_loss(self):
        read_end, output = self.pipe()
        for _ in range(200):
            output.write(LINE)
        self.assertGreater(output.lost, 100)
        text = b""
        for _ in range(40):
            text += os.read(read_end, 4096)
            output.write("after\n")
            if b"lines were lost" in text:
                break
        whole = [
            line for line in text.split(b"\n")[:-1] if line.startswith(b"x")
        ]
        self.assertEqual({999}, {len(line) for line in whole})
        self.assertIn(b"telemetry: lines were lost.", text)

    def test_closed_output_raises_no_error(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        output = sink.Sink(write_end)
        os.close(read_end)
        output.write("one\n")
        self.assertEqual(1, output.lost)
