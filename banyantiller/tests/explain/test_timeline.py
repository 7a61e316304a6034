"""Tests of the timeline of one request."""

from banyantiller.explain import explanation, log_reader, timeline
from banyantiller.tests import base
from banyantiller.tests.explain.test_explanation import ended, line


class TimelineTest(base.TestCase):
    def build(self, *texts):
        (found,) = timeline.build_timelines(
            explanation.explain_request("a", log_reader.parse_lines(texts))
        )
        return found

    def test_times_are_relative_to_the_arrival(self):
        found = self.build(
            line("a try failed.", "00:00:09.950000", id="a", instance="s1",
                 kind="x", reason="reset", load=None),
            ended(instances=["s1", "s2"], sends=2, sent_ms=45.0),
        )  # fmt: skip
        self.assertEqual(
            [
                ("daemon", 0.0, 45.0, "attempts before the last one: 1"),
                ("s2", 45.0, 90.0, "ended with 200"),
            ],
            [tuple(span) for span in found.spans],
        )
        self.assertEqual(
            [("s1", 40.0, "a try failed (reset)")],
            [tuple(mark) for mark in found.marks],
        )
        self.assertEqual(["daemon", "s2", "s1"], found.rows())

    def test_rejected_request_only_waits(self):
        found = self.build(
            ended(status=503, error="no_server", instances=[], sends=0)
        )
        (span,) = found.spans
        self.assertEqual(("daemon", 0.0, 90.0), span[:3])

    def test_request_without_an_end_has_no_timeline(self):
        found = explanation.explain_request(
            "a",
            log_reader.parse_lines(
                [line("connecting to a server failed.", id="a")]
            ),
        )
        self.assertEqual([], timeline.build_timelines(found))
