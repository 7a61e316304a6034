"""Tests the speeds of servers relative to others of their service."""

import random

from banyantiller.gateway.decisions import server_speeds
from banyantiller.tests import base
from banyantiller.tests.gateway.decisions.test_server_health import server


def recorded(factors, responses, seed=1, mean_s=0.3):
    """Returns the speeds after some responses of each server.

    Args:
        factors: Actual duration relative to the usual, by instance.
        responses: Responses of each server.
        seed: Seed of the durations, which vary by half.
        mean_s: Usual duration as the daemon knows it, for work of 0.25 s.
    """
    speeds = server_speeds.ServerSpeeds()
    rng = random.Random(seed)
    for _ in range(responses):
        for instance, factor in factors.items():
            took_s = 0.25 * factor * rng.lognormvariate(0.0, 0.4)
            speeds.record_duration(server(instance), None, took_s, mean_s)
    return speeds


class ServerSpeedsTest(base.TestCase):
    FACTORS = dict.fromkeys("abcdefg", 1.0) | {"slow": 2.0}

    def test_server_of_twice_the_duration_is_found(self):
        """With 30 responses the factor is nearer to 2 than to 1."""
        for seed in range(10):
            speeds = recorded(self.FACTORS, 30, seed)
            self.assertGreater(speeds.factor(server("slow")), 1.5)
            for name in "abcdefg":
                self.assertLess(speeds.factor(server(name)), 1.25)

    def test_few_responses_change_little(self):
        """Guards against one late response that keeps requests away.

        A factor below 1.25 leaves an idle server good enough.
        """
        speeds = recorded(dict.fromkeys("abcdefgh", 1.0), 5)
        speeds.record_duration(server("new"), None, 1.25, 0.3)
        self.assertLess(speeds.factor(server("new")), 1.25)

    def test_restarted_server_has_no_history(self):
        """Guards against a new machine that is avoided for an earlier one."""
        speeds = recorded(self.FACTORS, 30)
        restarted = server("slow")._replace(started_ms=7)
        self.assertEqual(1.0, speeds.factor(restarted))
        speeds.retain([restarted])
        self.assertEqual({}, speeds.counts)
