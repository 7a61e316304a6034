"""Tests of the conclusions from servers that crashed while running requests."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from banyantiller.quarantine import crash_table
from banyantiller.quarantine.crash_table import Crash

PERIOD_S = 100.0
NOW = 1000.0


def make_table(seed=1):
    return crash_table.CrashTable(PERIOD_S, random.Random(seed))


def crash_in_sequence(table, request, servers, at=NOW):
    """Records crashes, each 0.1 s after the request was sent to the server."""
    for number, server in enumerate(servers):
        sent_at = at + number * 0.2
        table.record_crash(request, server, Crash(sent_at, sent_at + 0.1))


class CauseTest(testtools.TestCase):
    def test_three_crashes_in_sequence_quarantine_a_request(self):
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2"])
        self.assertIsNone(table.quarantined_until("a", NOW + 1))
        crash_in_sequence(table, "a", ["s3"], NOW + 1)
        until = table.quarantined_until("a", NOW + 2)
        self.assertGreaterEqual(until, NOW + 1.1 + PERIOD_S)
        most = PERIOD_S * (1 + crash_table.RETRY_SPREAD)
        self.assertLessEqual(until, NOW + 1.1 + most)

    def test_simultaneous_crashes_do_not_quarantine(self):
        """A popular request runs on many servers when they lose power."""
        table = make_table()
        for number in range(8):
            crash = Crash(NOW + number * 0.01, NOW + 1.0)
            table.record_crash("a", f"s{number}", crash)
        self.assertIsNone(table.quarantined_until("a", NOW + 1))

    def test_response_of_another_server_clears_a_request(self):
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2"])
        table.record_response("a", NOW + 0.5)
        crash_in_sequence(table, "a", ["s3", "s4"], NOW + 1)
        self.assertIsNone(table.quarantined_until("a", NOW + 2))

    def test_response_ends_a_quarantine(self):
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2", "s3"])
        changes = table.record_response("a", NOW + 5)
        self.assertEqual(["a"], [change.fingerprint for change in changes])
        self.assertIsNone(table.quarantined_until("a", NOW + 5))

    def test_response_long_before_the_crashes_is_ignored(self):
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2", "s3"])
        table.record_response("a", NOW - crash_table.RECENT_RESPONSE_S)
        self.assertIsNotNone(table.quarantined_until("a", NOW + 1))

    def test_response_shortly_before_the_crashes_clears_a_request(self):
        """Two other requests crash every server; a popular one runs on all."""
        table = make_table()
        for number, other_request in enumerate(["x", "y", "x", "y", "x"]):
            at = NOW + number * 0.1
            server = f"s{number}"
            table.record_crash(other_request, server, Crash(at - 0.1, at))
            table.record_crash("a", server, Crash(at - 0.1, at), NOW - 0.2)
        self.assertIsNone(table.quarantined_until("a", NOW + 1))
        self.assertIsNotNone(table.quarantined_until("x", NOW + 1))

    def test_request_beside_the_cause_is_released(self):
        """It is released when the other request crashes one more server."""
        for other_request in ("0", "z"):
            table = make_table()
            crash_in_sequence(table, "m", ["s1", "s2", "s3"])
            crash_in_sequence(table, other_request, ["s1", "s2", "s3", "s4"])
            self.assertIsNone(
                table.quarantined_until("m", NOW + 2), other_request
            )
            self.assertIsNotNone(
                table.quarantined_until(other_request, NOW + 2)
            )

    def test_request_that_was_sent_last_is_taken_for_the_cause(self):
        """Guards against a harmless request that is chosen by its name."""
        for harmless in ("0", "z"):
            table = make_table()
            for number, server in enumerate(["s1", "s2", "s3"]):
                at = NOW + number * 0.2
                table.record_crash(harmless, server, Crash(at - 0.1, at))
                table.record_crash("m", server, Crash(at - 0.005, at))
            self.assertIsNone(table.quarantined_until(harmless, NOW + 1))
            self.assertIsNotNone(table.quarantined_until("m", NOW + 1))

    def test_quarantine_is_short_while_others_may_be_the_cause(self):
        """Guards against a harmless request that is refused for minutes."""
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2", "s3"])
        crash_in_sequence(table, "b", ["s1", "s2", "s3"])
        later = NOW + 1.5 * crash_table.AMBIGUOUS_PERIOD_S
        self.assertIsNotNone(table.quarantined_until("a", NOW + 1))
        self.assertIsNone(table.quarantined_until("a", later))
        # Once it has crashed one more server, nothing else explains that.
        crash_in_sequence(table, "a", ["s4"], later)
        until = table.quarantined_until("a", later + 1)
        self.assertGreaterEqual(until, later + PERIOD_S)

    def test_harmless_request_is_cleared_once_it_is_sent_again(self):
        table = make_table()
        for number, server in enumerate(["s1", "s2", "s3"]):
            at = NOW + number * 0.2
            table.record_crash("harmless", server, Crash(at - 0.005, at))
            table.record_crash("deadly", server, Crash(at - 0.1, at))
        later = NOW + 1.5 * crash_table.AMBIGUOUS_PERIOD_S
        table.record_response("harmless", later)
        self.assertIsNone(table.quarantined_until("harmless", later))
        crash_in_sequence(table, "deadly", ["s4"], later)
        until = table.quarantined_until("deadly", later + 1)
        self.assertGreaterEqual(until, later + PERIOD_S)

    def test_one_crash_after_the_period_renews_a_quarantine(self):
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2", "s3"])
        later = NOW + 2 * PERIOD_S
        self.assertIsNone(table.quarantined_until("a", later))
        crash_in_sequence(table, "a", ["s4"], later)
        self.assertIsNotNone(table.quarantined_until("a", later + 1))

    def test_number_of_kept_crashes_is_bounded(self):
        """The bound on kept crashes must not hide the latest one."""
        table = make_table()
        for number in range(3 * crash_table.MAX_CRASHES):
            at = NOW + 2 * PERIOD_S * number
            table.record_crash("a", f"s{number}", Crash(at, at + 0.1))
        self.assertEqual(
            crash_table.MAX_CRASHES, len(table.records["a"].crashes)
        )
        self.assertIsNotNone(table.quarantined_until("a", at + 1))

    def test_old_records_are_removed(self):
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2", "s3"])
        table.expire(NOW + PERIOD_S)
        self.assertIn("a", table.records)
        table.expire(NOW + 1 + crash_table.RETENTION_PERIODS * PERIOD_S)
        self.assertEqual({}, table.records)


class BoundTest(testtools.TestCase):
    def test_other_requests_do_not_evict_a_quarantined_one(self):
        """A caller may send a different body each time."""
        table = make_table()
        crash_in_sequence(table, "a", ["s1", "s2", "s3"])
        for number in range(2 * crash_table.MAX_REQUESTS):
            table.record_crash(f"b{number}", "s9", Crash(NOW + 5, NOW + 6))
        self.assertEqual(crash_table.MAX_REQUESTS, len(table.records))
        self.assertIsNotNone(table.quarantined_until("a", NOW + 7))

    def test_exported_records_are_filtered(self):
        table = make_table()
        table.record_crash("a", "s1", Crash(NOW, NOW + 0.1))
        self.assertEqual([], table.export_changes(NOW + 1, min_crashes=2))
        table.record_crash("a", "s2", Crash(NOW, NOW + 0.2))
        (exported,) = table.export_changes(NOW + 1, min_crashes=2)
        self.assertEqual("a", exported["fingerprint"])
        self.assertEqual(
            [], table.export_changes(NOW + 1, table.latest_revision(2), 2)
        )


FACTS = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.sampled_from(["s1", "s2", "s3", "s4", "response"]),
        st.integers(0, 50),
        st.integers(0, 50),
    ),
    max_size=12,
)


class AgreementTest(testtools.TestCase):
    """Daemons with the same records quarantine the same requests."""

    @settings(max_examples=200, deadline=None)
    @given(facts=FACTS, order=st.randoms(use_true_random=False))
    def test_order_and_duplicates_make_no_difference(self, facts, order):
        # A server crashes once, and each daemon observed the same.
        crashes = {}
        responses = []
        for request, event, sent, after in facts:
            if event == "response":
                responses.append((request, NOW + sent))
            else:
                crash = Crash(NOW + sent, NOW + sent + after)
                crashes.setdefault((request, event), crash)
        messages = [
            self.crash_record(*key, crash) for key, crash in crashes.items()
        ]
        messages += [self.response_record(*response) for response in responses]
        first = make_table()
        for message in messages:
            first.merge_records([message], NOW + 200, {})
        shuffled = messages * 2
        order.shuffle(shuffled)
        second = make_table()
        for message in shuffled:
            second.merge_records([message], NOW + 200, {})
        third = make_table()
        third.merge_records(second.export_changes(NOW + 300), NOW + 300, {})
        quarantines = [
            {
                name: record.quarantined_until
                for name, record in table.records.items()
                if record.crashes
            }
            for table in (first, second, third)
        ]
        for quarantine in quarantines[1:]:
            self.assertEqual(set(quarantines[0]), set(quarantine))
            for name, until in quarantine.items():
                same = (until > 0) == (quarantines[0][name] > 0)
                self.assertTrue(same, name)

    def crash_record(self, request, server, crash):
        fields = crash_table.CrashFields(
            server=server,
            sent_age_ms=round((NOW + 200 - crash.sent_at) * 1000),
            ended_age_ms=round((NOW + 200 - crash.crashed_at) * 1000),
        )
        return crash_table.RecordFields(
            fingerprint=request, ends=[fields], answered_age_ms=-1
        )

    def response_record(self, request, at):
        age_ms = round((NOW + 200 - at) * 1000)
        return crash_table.RecordFields(
            fingerprint=request, ends=[], answered_age_ms=age_ms
        )
