"""Tests of what is concluded from servers that ended with requests on them."""

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


def crash_in_sequence(known, request, servers, at=NOW):
    """Lets servers end under a request, each 0.1 s after it was sent there."""
    for number, server in enumerate(servers):
        sent_at = at + number * 0.2
        known.record_crash(request, server, Crash(sent_at, sent_at + 0.1))


class CauseTest(testtools.TestCase):
    def test_three_servers_one_after_the_other(self):
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2"])
        self.assertIsNone(known.quarantined_until("a", NOW + 1))
        crash_in_sequence(known, "a", ["s3"], NOW + 1)
        until = known.quarantined_until("a", NOW + 2)
        self.assertGreaterEqual(until, NOW + 1.1 + PERIOD_S)
        most = PERIOD_S * (1 + crash_table.RETRY_SPREAD)
        self.assertLessEqual(until, NOW + 1.1 + most)

    def test_many_servers_that_end_at_once(self):
        """A popular request is on many servers when they lose power."""
        known = make_table()
        for number in range(8):
            crash = Crash(NOW + number * 0.01, NOW + 1.0)
            known.record_crash("a", f"s{number}", crash)
        self.assertIsNone(known.quarantined_until("a", NOW + 1))

    def test_a_request_that_is_answered_elsewhere(self):
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2"])
        known.record_response("a", NOW + 0.5)
        crash_in_sequence(known, "a", ["s3", "s4"], NOW + 1)
        self.assertIsNone(known.quarantined_until("a", NOW + 2))

    def test_an_answer_ends_a_quarantine(self):
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2", "s3"])
        changes = known.record_response("a", NOW + 5)
        self.assertEqual(["a"], [change.fingerprint for change in changes])
        self.assertIsNone(known.quarantined_until("a", NOW + 5))

    def test_an_answer_from_long_before_the_ends_says_nothing(self):
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2", "s3"])
        known.record_response("a", NOW - crash_table.RECENT_RESPONSE_S)
        self.assertIsNotNone(known.quarantined_until("a", NOW + 1))

    def test_one_that_was_answered_shortly_before(self):
        """Two other requests end every server, and a popular one is on all."""
        known = make_table()
        for number, other_request in enumerate(["x", "y", "x", "y", "x"]):
            at = NOW + number * 0.1
            server = f"s{number}"
            known.record_crash(other_request, server, Crash(at - 0.1, at))
            known.record_crash("a", server, Crash(at - 0.1, at), NOW - 0.2)
        self.assertIsNone(known.quarantined_until("a", NOW + 1))
        self.assertIsNotNone(known.quarantined_until("x", NOW + 1))

    def test_one_that_ran_beside_another_on_the_same_servers(self):
        """It is let go as soon as the other one ends one server more."""
        for other_request in ("0", "z"):
            known = make_table()
            crash_in_sequence(known, "m", ["s1", "s2", "s3"])
            crash_in_sequence(known, other_request, ["s1", "s2", "s3", "s4"])
            self.assertIsNone(
                known.quarantined_until("m", NOW + 2), other_request
            )
            self.assertIsNotNone(
                known.quarantined_until(other_request, NOW + 2)
            )

    def test_after_the_period_one_more_end_is_enough(self):
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2", "s3"])
        later = NOW + 2 * PERIOD_S
        self.assertIsNone(known.quarantined_until("a", later))
        crash_in_sequence(known, "a", ["s4"], later)
        self.assertIsNotNone(known.quarantined_until("a", later + 1))

    def test_many_ends_in_the_end(self):
        """The bound on kept ends must not hide the latest one."""
        known = make_table()
        for number in range(3 * crash_table.MAX_CRASHES):
            at = NOW + 2 * PERIOD_S * number
            known.record_crash("a", f"s{number}", Crash(at, at + 0.1))
        self.assertEqual(
            crash_table.MAX_CRASHES, len(known.records["a"].crashes)
        )
        self.assertIsNotNone(known.quarantined_until("a", at + 1))

    def test_it_is_forgotten(self):
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2", "s3"])
        known.expire(NOW + PERIOD_S)
        self.assertIn("a", known.records)
        known.expire(NOW + 1 + crash_table.RETENTION_PERIODS * PERIOD_S)
        self.assertEqual({}, known.records)


class BoundTest(testtools.TestCase):
    def test_others_make_no_room_for_what_is_refused(self):
        """A caller may send another body each time."""
        known = make_table()
        crash_in_sequence(known, "a", ["s1", "s2", "s3"])
        for number in range(2 * crash_table.MAX_REQUESTS):
            known.record_crash(f"b{number}", "s9", Crash(NOW + 5, NOW + 6))
        self.assertEqual(crash_table.MAX_REQUESTS, len(known.records))
        self.assertIsNotNone(known.quarantined_until("a", NOW + 7))

    def test_others_are_told_what_concerns_them(self):
        known = make_table()
        known.record_crash("a", "s1", Crash(NOW, NOW + 0.1))
        self.assertEqual([], known.export_changes(NOW + 1, min_crashes=2))
        known.record_crash("a", "s2", Crash(NOW, NOW + 0.2))
        (exported,) = known.export_changes(NOW + 1, min_crashes=2)
        self.assertEqual("a", exported["fingerprint"])
        self.assertEqual(
            [], known.export_changes(NOW + 1, known.latest_revision(2), 2)
        )


FACTS = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.sampled_from(["s1", "s2", "s3", "s4", "answer"]),
        st.integers(0, 50),
        st.integers(0, 50),
    ),
    max_size=12,
)


class AgreementTest(testtools.TestCase):
    """Daemons that were told the same believe the same."""

    @settings(max_examples=200, deadline=None)
    @given(facts=FACTS, order=st.randoms(use_true_random=False))
    def test_order_and_duplicates_make_no_difference(self, facts, order):
        # A server ends once, and each daemon saw the same of it.
        crashes = {}
        answers = []
        for request, event, sent, after in facts:
            if event == "answer":
                answers.append((request, NOW + sent))
            else:
                crash = Crash(NOW + sent, NOW + sent + after)
                crashes.setdefault((request, event), crash)
        messages = [
            self.crash_record(*key, crash) for key, crash in crashes.items()
        ]
        messages += [self.response_record(*answer) for answer in answers]
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
                for name, record in known.records.items()
                if record.crashes
            }
            for known in (first, second, third)
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
