"""Tests of how one daemon relates requests to crashed servers."""

import random

import testtools

from banyantiller.quarantine import crash_table, crash_tracker

NOW = 1000.0


class Recorder:
    """A tracker and the arguments of its callbacks.

    Attributes:
        tracker: The tracker.
        published: Requests whose records were to be sent to peers.
        crashes: Crashed servers, with the identifier of a request on each.
        changes: Changes of quarantines.
    """

    def __init__(self):
        self.published = []
        self.crashes = []
        self.changes = []
        callbacks = crash_tracker.Callbacks(
            lambda names: self.published.extend(sorted(names)),
            lambda server, request: self.crashes.append(
                (server, request.request_id)
            ),
            self.changes.append,
        )
        table = crash_table.CrashTable(100.0, random.Random(1))
        self.tracker = crash_tracker.CrashTracker(table, callbacks)

    def record_unanswered(self, server, fingerprint="a", at=NOW):
        """Records that a request got no response from a server."""
        request = crash_tracker.UnansweredRequest(
            fingerprint, f"id-{fingerprint}", at - 0.1, at
        )
        self.tracker.record_unanswered(server, request)


class WatchTest(testtools.TestCase):
    def test_crash_counts_for_all_requests_on_the_server(self):
        recorder = Recorder()
        recorder.record_unanswered("s1", "a")
        recorder.record_unanswered("s1", "b")
        recorder.record_unanswered("s2", "c")
        recorder.tracker.record_refused_connection("s1", NOW + 0.1)
        self.assertEqual([("s1", "id-a"), ("s1", "id-b")], recorder.crashes)
        self.assertEqual(["a", "b"], recorder.published)
        self.assertTrue(recorder.tracker.is_suspect("a"))
        self.assertFalse(recorder.tracker.is_suspect("c"))

    def test_request_cancelled_long_before_a_crash_is_not_counted(self):
        recorder = Recorder()
        recorder.record_unanswered("s1")
        recorder.tracker.record_refused_connection(
            "s1", NOW + crash_tracker.MAX_FAILURE_AGE_S + 0.01
        )
        self.assertEqual([], recorder.crashes)

    def test_number_of_kept_requests_is_bounded(self):
        recorder = Recorder()
        for number in range(3 * crash_tracker.MAX_UNANSWERED):
            recorder.record_unanswered("s1", f"r{number}")
        self.assertEqual(
            crash_tracker.MAX_UNANSWERED, len(recorder.tracker.unanswered["s1"])
        )
        for number in range(2 * crash_tracker.MAX_RESPONSES):
            recorder.tracker.record_response(f"r{number}", NOW)
        self.assertEqual(
            crash_tracker.MAX_RESPONSES, len(recorder.tracker.response_times)
        )
        recorder.tracker.expire(NOW + 10)
        self.assertEqual({}, recorder.tracker.unanswered)

    def test_recent_response_is_published_when_a_peer_suspects_the_request(
        self,
    ):
        recorder = Recorder()
        recorder.tracker.record_response("a", NOW)
        record = crash_table.RecordFields(
            fingerprint="a",
            ends=[
                crash_table.CrashFields(
                    server=f"s{n}",
                    sent_age_ms=9000 - 2000 * n,
                    ended_age_ms=8000 - 2000 * n,
                )
                for n in range(3)
            ],
            answered_age_ms=-1,
        )
        self.assertTrue(recorder.tracker.receive_records([record], NOW + 1))
        self.assertIsNone(recorder.tracker.quarantine_left_s("a", NOW + 1))
        self.assertEqual(["a"], recorder.published)

    def test_each_change_is_reported_once(self):
        recorder = Recorder()
        for number in range(3):
            recorder.record_unanswered(f"s{number}", at=NOW + number)
            recorder.tracker.record_refused_connection(
                f"s{number}", NOW + number
            )
        self.assertEqual(1, len(recorder.changes))
        self.assertIsNotNone(recorder.tracker.quarantine_left_s("a", NOW + 3))
        self.assertTrue(recorder.tracker.lift("a", NOW + 4))
        self.assertEqual(2, len(recorder.changes))
        self.assertIsNone(recorder.tracker.quarantine_left_s("a", NOW + 4))
        self.assertFalse(recorder.tracker.lift("a", NOW + 5))
        self.assertFalse(recorder.tracker.lift("unknown", NOW + 5))
