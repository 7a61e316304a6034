"""Tests of what is learned of durations, and of how long requests wait."""

import random

from banyantiller.gateway.decisions import durations, waiting
from banyantiller.tests import base

# Usual durations and objectives of services of unlike shape, in seconds.
SHAPES = ((0.005, 0.02), (0.06, 0.2), (0.22, 0.6), (2.0, 5.0), (0.02, 2.0))


def learned(usual_s, answers=30, seed=1):
    """Returns what is known after some answers of a route."""
    known = durations.Durations()
    rng = random.Random(seed)
    for _ in range(answers):
        known.record_duration("r", usual_s * rng.lognormvariate(0.0, 0.3))
    return known


class DurationsTest(base.TestCase):
    def test_services_of_unlike_shape_are_learned_from_a_few_answers(self):
        for usual_s, objective_s in SHAPES:
            found = learned(usual_s).usual_s("r", objective_s) / usual_s
            self.assertTrue(0.85 < found < 1.15, (usual_s, found))

    def test_before_any_answer_the_objective_tells(self):
        known = durations.Durations()
        self.assertAlmostEqual(0.24, known.usual_s("r", 0.6))

    def test_one_answer_that_was_held_up_says_little(self):
        known = learned(0.2)
        before = known.usual_s("r", 0.6)
        known.record_duration("r", 6.0)
        self.assertLess(known.usual_s("r", 0.6), 1.25 * before)

    def test_work_that_changes_is_learned_anew(self):
        known = learned(0.2)
        for _ in range(60):
            known.record_duration("r", 1.0)
        self.assertGreater(known.usual_s("r", 0.6), 0.9)

    def test_routes_that_are_gone_are_forgotten(self):
        known = learned(0.2)
        known.record_duration("s", 0.1)
        known.retain_routes(frozenset({"s"}))
        self.assertEqual({"s"}, set(known.usual))
        self.assertAlmostEqual(0.24, known.usual_s("r", 0.6))


class LimitTest(base.TestCase):
    def wait(self, usual_s, objective_s, urgent=False):
        return waiting.wait_limits(
            objective_s, usual_s, urgent, 0.0
        ).any_server_until

    def spare(self, usual_s, objective_s):
        return waiting.wait_limits(
            objective_s, usual_s, False, 0.0
        ).keep_last_slot_until

    def test_slot_to_spare_is_waited_for_as_long_as_that_can_gain(self):
        for usual_s, objective_s in SHAPES:
            found = self.spare(usual_s, objective_s)
            self.assertLessEqual(found, 0.25 * usual_s)
            self.assertLessEqual(found, 0.07 * objective_s)
        self.assertAlmostEqual(0.042, self.spare(0.22, 0.6))
        self.assertAlmostEqual(0.005, self.spare(0.02, 2.0))

    def test_time_for_the_work_is_left(self):
        for usual_s, objective_s in SHAPES:
            wait_s = self.wait(usual_s, objective_s)
            left_s = objective_s - wait_s
            self.assertTrue(
                left_s > usual_s or wait_s <= waiting.MIN_WAIT_S + 1e-9,
                (usual_s, objective_s, wait_s),
            )

    def test_wide_objective_allows_a_long_wait(self):
        self.assertGreater(self.wait(0.02, 2.0), 0.5)

    def test_narrow_objective_allows_a_short_wait(self):
        for usual_s in (0.31, 0.6, 6.0):
            self.assertAlmostEqual(0.042, self.wait(usual_s, 0.6))
        self.assertAlmostEqual(waiting.MIN_WAIT_S, self.wait(0.1, 0.2))

    def test_urgent_request_waits_longer(self):
        usual = self.wait(0.06, 0.2)
        self.assertGreater(self.wait(0.06, 0.2, urgent=True), 1.5 * usual)
