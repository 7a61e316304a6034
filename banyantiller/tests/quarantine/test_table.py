"""Tests of what is concluded from servers that ended with requests on them."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from banyantiller.quarantine import table
from banyantiller.quarantine.table import End

PERIOD_S = 100.0
NOW = 1000.0


def make(seed=1):
    return table.Table(PERIOD_S, random.Random(seed))


def one_after_the_other(known, request, servers, at=NOW):
    """Lets servers end under a request, each 0.1 s after it was sent there."""
    for number, server in enumerate(servers):
        sent_at = at + number * 0.2
        known.ended(request, server, End(sent_at, sent_at + 0.1))


class CauseTest(testtools.TestCase):
    def test_three_servers_one_after_the_other(self):
        known = make()
        one_after_the_other(known, "a", ["s1", "s2"])
        self.assertIsNone(known.refused_until("a", NOW + 1))
        one_after_the_other(known, "a", ["s3"], NOW + 1)
        until = known.refused_until("a", NOW + 2)
        self.assertGreaterEqual(until, NOW + 1.1 + PERIOD_S)
        most = PERIOD_S * (1 + table.SPREAD)
        self.assertLessEqual(until, NOW + 1.1 + most)

    def test_many_servers_that_end_at_once(self):
        """A popular request is on many servers when they lose power."""
        known = make()
        for number in range(8):
            end = End(NOW + number * 0.01, NOW + 1.0)
            known.ended("a", f"s{number}", end)
        self.assertIsNone(known.refused_until("a", NOW + 1))

    def test_a_request_that_is_answered_elsewhere(self):
        known = make()
        one_after_the_other(known, "a", ["s1", "s2"])
        known.answered("a", NOW + 0.5)
        one_after_the_other(known, "a", ["s3", "s4"], NOW + 1)
        self.assertIsNone(known.refused_until("a", NOW + 2))

    def test_an_answer_ends_a_quarantine(self):
        known = make()
        one_after_the_other(known, "a", ["s1", "s2", "s3"])
        verdicts = known.answered("a", NOW + 5)
        self.assertEqual(["a"], [v.fingerprint for v in verdicts])
        self.assertIsNone(known.refused_until("a", NOW + 5))

    def test_an_answer_from_long_before_the_ends_says_nothing(self):
        known = make()
        one_after_the_other(known, "a", ["s1", "s2", "s3"])
        known.answered("a", NOW - table.ANSWERED_LATELY_S)
        self.assertIsNotNone(known.refused_until("a", NOW + 1))

    def test_one_that_was_answered_shortly_before(self):
        """Two other requests end every server, and a popular one is on all."""
        known = make()
        for number, other in enumerate(["x", "y", "x", "y", "x"]):
            at = NOW + number * 0.1
            server = f"s{number}"
            known.ended(other, server, End(at - 0.1, at))
            known.ended("a", server, End(at - 0.1, at), NOW - 0.2)
        self.assertIsNone(known.refused_until("a", NOW + 1))
        self.assertIsNotNone(known.refused_until("x", NOW + 1))

    def test_one_that_ran_beside_another_on_the_same_servers(self):
        """It is let go as soon as the other one ends one server more."""
        for other in ("0", "z"):
            known = make()
            one_after_the_other(known, "m", ["s1", "s2", "s3"])
            one_after_the_other(known, other, ["s1", "s2", "s3", "s4"])
            self.assertIsNone(known.refused_until("m", NOW + 2), other)
            self.assertIsNotNone(known.refused_until(other, NOW + 2))

    def test_after_the_period_one_more_end_is_enough(self):
        known = make()
        one_after_the_other(known, "a", ["s1", "s2", "s3"])
        later = NOW + 2 * PERIOD_S
        self.assertIsNone(known.refused_until("a", later))
        one_after_the_other(known, "a", ["s4"], later)
        self.assertIsNotNone(known.refused_until("a", later + 1))

    def test_many_ends_in_the_end(self):
        """The bound on kept ends must not hide the latest one."""
        known = make()
        for number in range(3 * table.MOST_ENDS):
            at = NOW + 2 * PERIOD_S * number
            known.ended("a", f"s{number}", End(at, at + 0.1))
        self.assertEqual(table.MOST_ENDS, len(known.records["a"].ends))
        self.assertIsNotNone(known.refused_until("a", at + 1))

    def test_it_is_forgotten(self):
        known = make()
        one_after_the_other(known, "a", ["s1", "s2", "s3"])
        known.expire(NOW + PERIOD_S)
        self.assertIn("a", known.records)
        known.expire(NOW + 1 + table.FORGOTTEN_AFTER * PERIOD_S)
        self.assertEqual({}, known.records)


class BoundTest(testtools.TestCase):
    def test_others_make_no_room_for_what_is_refused(self):
        """A caller may send another body each time."""
        known = make()
        one_after_the_other(known, "a", ["s1", "s2", "s3"])
        for number in range(2 * table.MOST_REQUESTS):
            known.ended(f"b{number}", "s9", End(NOW + 5, NOW + 6))
        self.assertEqual(table.MOST_REQUESTS, len(known.records))
        self.assertIsNotNone(known.refused_until("a", NOW + 7))

    def test_others_are_told_what_concerns_them(self):
        known = make()
        known.ended("a", "s1", End(NOW, NOW + 0.1))
        self.assertEqual([], known.tell(NOW + 1, least_ends=2))
        known.ended("a", "s2", End(NOW, NOW + 0.2))
        (told,) = known.tell(NOW + 1, least_ends=2)
        self.assertEqual("a", told["fingerprint"])
        self.assertEqual([], known.tell(NOW + 1, known.newest(2), 2))


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
        ends = {}
        answers = []
        for request, what, sent, after in facts:
            if what == "answer":
                answers.append((request, NOW + sent))
            else:
                end = End(NOW + sent, NOW + sent + after)
                ends.setdefault((request, what), end)
        messages = [self.message_of_end(*key, end) for key, end in ends.items()]
        messages += [self.message_of_answer(*answer) for answer in answers]
        first = make()
        for message in messages:
            first.learn([message], NOW + 200, {})
        mixed = messages * 2
        order.shuffle(mixed)
        second = make()
        for message in mixed:
            second.learn([message], NOW + 200, {})
        third = make()
        third.learn(second.tell(NOW + 300), NOW + 300, {})
        beliefs = [
            {
                name: record.refused_until
                for name, record in known.records.items()
                if record.ends
            }
            for known in (first, second, third)
        ]
        for belief in beliefs[1:]:
            self.assertEqual(set(beliefs[0]), set(belief))
            for name, until in belief.items():
                same = (until > 0) == (beliefs[0][name] > 0)
                self.assertTrue(same, name)

    def message_of_end(self, request, server, end):
        fields = table.EndFields(
            server=server,
            sent_age_ms=round((NOW + 200 - end.sent_at) * 1000),
            ended_age_ms=round((NOW + 200 - end.ended_at) * 1000),
        )
        return table.RecordFields(
            fingerprint=request, ends=[fields], answered_age_ms=-1
        )

    def message_of_answer(self, request, at):
        age_ms = round((NOW + 200 - at) * 1000)
        return table.RecordFields(
            fingerprint=request, ends=[], answered_age_ms=age_ms
        )
