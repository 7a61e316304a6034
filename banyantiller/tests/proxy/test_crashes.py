"""Tests of what the data path concludes from servers that ended."""

import random
from types import SimpleNamespace

from banyantiller.proxy import crashes
from banyantiller.quarantine import fingerprint
from banyantiller.tests import base


def call(target=b"/a"):
    """Returns a call that was read whole."""
    digest = fingerprint.Fingerprint(b"GET", b"x", target, b"")
    head = SimpleNamespace(chunked=False, content_length=None)
    body = SimpleNamespace(complete=True)
    return SimpleNamespace(
        fingerprint=digest, head=head, body=body, request_id=b"id"
    )


class Clock:
    """Wall time that a test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class CrashesTest(base.TestCase):
    def run_with_tracker(self, body):
        async def run_body():
            wall = Clock()
            body(
                crashes.CrashTracker(300.0, None, wall, random.Random(1)), wall
            )

        self.run_paused(run_body())

    def record_crash(self, tracker, server, request):
        tracker.record_no_response(server, request, 0.0)
        tracker.record_connection_refused(server)

    def test_one_end_that_was_seen_already_counts_once(self):
        def body(tracker, wall):
            request = call()
            self.record_crash(tracker, "s/1", request)
            # Its second connection there broke as well.
            self.assertTrue(tracker.should_retry(request, "s/1"))
            self.assertFalse(tracker.should_retry(request, "s/2"))

        self.run_with_tracker(body)

    def test_the_ends_of_one_server_are_told_apart(self):
        def body(tracker, wall):
            request = call()
            for _ in range(3):
                self.record_crash(tracker, "s/1", request)
            self.assertEqual(
                1, len(tracker.watch.table.ends_of(request.fingerprint.text()))
            )
            wall.now += crashes.CRASH_WINDOW_S
            self.record_crash(tracker, "s/1", request)
            self.assertEqual(
                2, len(tracker.watch.table.ends_of(request.fingerprint.text()))
            )

        self.run_with_tracker(body)

    def test_a_body_that_is_not_there_yet(self):
        def body(tracker, wall):
            request = call()
            request.head.content_length = 5
            request.body.complete = False
            self.record_crash(tracker, "s/1", request)
            self.assertFalse(tracker.is_suspect(request))
            self.assertIsNone(tracker.quarantine_left_s(request))
            self.assertTrue(tracker.should_retry(request, "s/2"))

        self.run_with_tracker(body)
