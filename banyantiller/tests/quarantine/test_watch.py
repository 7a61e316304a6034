"""Tests of what one daemon sees of servers that end."""

import random

import testtools

from banyantiller.quarantine import table, watch

NOW = 1000.0


class Seen:
    """A watch and what it told.

    Attributes:
        watch: The watch.
        news: Requests of which something new was seen.
        ended: Servers that ended, with the identity of a request on each.
        verdicts: Changes of what is believed.
    """

    def __init__(self):
        self.news = []
        self.ended = []
        self.verdicts = []
        outlets = watch.Outlets(
            lambda names: self.news.extend(sorted(names)),
            lambda server, one: self.ended.append((server, one.request_id)),
            self.verdicts.append,
        )
        known = table.Table(100.0, random.Random(1))
        self.watch = watch.Watch(known, outlets)

    def broke(self, server, fingerprint="a", at=NOW):
        """A request got no answer from a server."""
        one = watch.Broken(fingerprint, f"id-{fingerprint}", at - 0.1, at)
        self.watch.no_answer(server, one)


class WatchTest(testtools.TestCase):
    def test_a_server_that_ends_takes_all_that_ran_there(self):
        seen = Seen()
        seen.broke("s1", "a")
        seen.broke("s1", "b")
        seen.broke("s2", "c")
        seen.watch.refused("s1", NOW + 0.1)
        self.assertEqual([("s1", "id-a"), ("s1", "id-b")], seen.ended)
        self.assertEqual(["a", "b"], seen.news)
        self.assertTrue(seen.watch.is_suspect("a"))
        self.assertFalse(seen.watch.is_suspect("c"))

    def test_one_that_was_given_up_long_before_has_no_part_in_it(self):
        seen = Seen()
        seen.broke("s1")
        seen.watch.refused("s1", NOW + watch.GIVEN_UP_S + 0.01)
        self.assertEqual([], seen.ended)

    def test_what_is_kept_is_bounded(self):
        seen = Seen()
        for number in range(3 * watch.MOST_BROKEN):
            seen.broke("s1", f"r{number}")
        self.assertEqual(watch.MOST_BROKEN, len(seen.watch.broken["s1"]))
        for number in range(2 * watch.MOST_ANSWERED):
            seen.watch.answered(f"r{number}", NOW)
        self.assertEqual(watch.MOST_ANSWERED, len(seen.watch.answers))
        seen.watch.expire(NOW + 10)
        self.assertEqual({}, seen.watch.broken)

    def test_what_was_answered_here_lately_is_told_at_once(self):
        seen = Seen()
        seen.watch.answered("a", NOW)
        told = table.RecordFields(
            fingerprint="a",
            ends=[
                table.EndFields(server=f"s{n}", sent_age_ms=9000 - 2000 * n,
                                ended_age_ms=8000 - 2000 * n)
                for n in range(3)
            ],
            answered_age_ms=-1,
        )  # fmt: skip
        self.assertTrue(seen.watch.learn([told], NOW + 1))
        self.assertIsNone(seen.watch.wait_s("a", NOW + 1))
        self.assertEqual(["a"], seen.news)

    def test_each_change_of_belief_is_told_once(self):
        seen = Seen()
        for number in range(3):
            seen.broke(f"s{number}", at=NOW + number)
            seen.watch.refused(f"s{number}", NOW + number)
        self.assertEqual(1, len(seen.verdicts))
        self.assertIsNotNone(seen.watch.wait_s("a", NOW + 3))
        self.assertTrue(seen.watch.lift("a", NOW + 4))
        self.assertEqual(2, len(seen.verdicts))
        self.assertIsNone(seen.watch.wait_s("a", NOW + 4))
        self.assertFalse(seen.watch.lift("a", NOW + 5))
        self.assertFalse(seen.watch.lift("unknown", NOW + 5))
