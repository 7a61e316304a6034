"""Tests the estimates of durations and how long requests wait."""

import random

from banyantiller.gateway.decisions import durations, waiting
from banyantiller.tests import base

# Usual durations and latency objectives of different services, in seconds.
SERVICES = ((0.005, 0.02), (0.06, 0.2), (0.22, 0.6), (2.0, 5.0), (0.02, 2.0))


def recorded_durations(usual_s, responses=30, seed=1):
    """Returns the estimates after some responses of a route."""
    estimates = durations.Durations()
    rng = random.Random(seed)
    for _ in range(responses):
        estimates.record_duration("r", usual_s * rng.lognormvariate(0.0, 0.3))
    return estimates


class DurationsTest(base.TestCase):
    def test_few_responses_give_a_good_estimate(self):
        for usual_s, objective_s in SERVICES:
            found = (
                recorded_durations(usual_s).usual_s("r", objective_s) / usual_s
            )
            self.assertTrue(0.85 < found < 1.15, (usual_s, found))

    def test_objective_gives_the_first_estimate(self):
        estimates = durations.Durations()
        self.assertAlmostEqual(0.24, estimates.usual_s("r", 0.6))

    def test_one_slow_response_changes_little(self):
        estimates = recorded_durations(0.2)
        before = estimates.usual_s("r", 0.6)
        estimates.record_duration("r", 6.0)
        self.assertLess(estimates.usual_s("r", 0.6), 1.25 * before)

    def test_estimate_follows_a_changed_duration(self):
        estimates = recorded_durations(0.2)
        for _ in range(60):
            estimates.record_duration("r", 1.0)
        self.assertGreater(estimates.usual_s("r", 0.6), 0.9)

    def test_removed_routes_are_forgotten(self):
        estimates = recorded_durations(0.2)
        estimates.record_duration("s", 0.1)
        estimates.retain_routes(frozenset({"s"}))
        self.assertEqual({"s"}, set(estimates.mean_logs))
        self.assertAlmostEqual(0.24, estimates.usual_s("r", 0.6))


class WaitLimitsTest(base.TestCase):
    def wait(self, usual_s, objective_s, urgent=False):
        return waiting.wait_limits(
            objective_s, usual_s, urgent, 0.0
        ).any_server_until

    def keep_last_slot(self, usual_s, objective_s):
        return waiting.wait_limits(
            objective_s, usual_s, False, 0.0
        ).keep_last_slot_until

    def test_last_slot_is_kept_only_while_waiting_can_gain(self):
        for usual_s, objective_s in SERVICES:
            found = self.keep_last_slot(usual_s, objective_s)
            self.assertLessEqual(found, 0.25 * usual_s)
            self.assertLessEqual(found, 0.07 * objective_s)
        self.assertAlmostEqual(0.042, self.keep_last_slot(0.22, 0.6))
        self.assertAlmostEqual(0.005, self.keep_last_slot(0.02, 2.0))

    def test_time_for_the_request_itself_is_left(self):
        for usual_s, objective_s in SERVICES:
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
