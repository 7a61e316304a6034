"""Tests of the detector of requests that crash servers."""

import random
from types import SimpleNamespace

from banyantiller.proxy import crashes
from banyantiller.quarantine import fingerprint
from banyantiller.tests import base


def call(target=b"/a"):
    """Returns a call whose request was received completely."""
    digest = fingerprint.Fingerprint(b"GET", b"x", target, b"")
    head = SimpleNamespace(chunked=False, content_length=None)
    body = SimpleNamespace(complete=True)
    return SimpleNamespace(
        fingerprint=digest, head=head, body=body, request_id=b"id"
    )


class Clock:
    """A wall clock that a test sets."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class CrashesTest(base.TestCase):
    def run_with_detector(self, body):
        async def run_body():
            wall = Clock()
            body(
                crashes.CrashDetector(300.0, None, wall, random.Random(1)), wall
            )

        self.run_paused(run_body())

    def record_crash(self, detector, server, request):
        detector.record_loss(server, request, 0.0)
        detector.record_refusal(server)

    def test_known_crash_of_the_same_server_counts_once(self):
        def body(detector, wall):
            request = call()
            self.record_crash(detector, "s/1", request)
            # A second connection to the crashed server broke as well.
            self.assertTrue(detector.should_retry(request, "s/1"))
            self.assertFalse(detector.should_retry(request, "s/2"))

        self.run_with_detector(body)

    def test_crashes_of_a_server_are_distinguished_by_window(self):
        def body(detector, wall):
            request = call()
            for _ in range(3):
                self.record_crash(detector, "s/1", request)
            self.assertEqual(
                1,
                len(
                    detector.tracker.table.crashed_servers(
                        request.fingerprint.hexdigest()
                    )
                ),
            )
            wall.now += crashes.CRASH_WINDOW_S
            self.record_crash(detector, "s/1", request)
            self.assertEqual(
                2,
                len(
                    detector.tracker.table.crashed_servers(
                        request.fingerprint.hexdigest()
                    )
                ),
            )

        self.run_with_detector(body)

    def test_incomplete_body_is_not_tracked(self):
        def body(detector, wall):
            request = call()
            request.head.content_length = 5
            request.body.complete = False
            self.record_crash(detector, "s/1", request)
            self.assertFalse(detector.is_suspect(request))
            self.assertIsNone(detector.quarantine_left_s(request))
            self.assertTrue(detector.should_retry(request, "s/2"))

        self.run_with_detector(body)
