"""Replays the return of cold servers on which a whole fleet waits."""

import itertools
import random

from banyantiller.gateway.decisions import cold_start
from banyantiller.tests import base

DAEMONS = 112
SERVERS = 400
# What a server states, and what ends it: half as much again and eight more.
PER_S = 2.1
MOST = 11
COLD_S = 3.0
# Part of a daemon in the fleet's limits of which it makes use, and how many
# times the stated rate operators allow.
SHARE = 0.8 / DAEMONS
TOLERANCE = 1.5


def sends(start, shares, rng):
    """Returns when daemons send if each sends as often as it may.

    Args:
        start: Identity of the server's start.
        shares: Share that each daemon believes to have, by its name.
        rng: Source of the moments at which they begin.
    """
    times = []
    for daemon, share in shares.items():
        part = cold_start.cold_allowance(daemon, start, PER_S, share)
        at = rng.uniform(0, 0.05)
        while part.allowed and at < COLD_S:
            times.append(at)
            at += part.spacing_s
    return sorted(times)


def most_in_a_second(times):
    """Returns the most requests that any second has."""
    counts = (
        sum(begins <= at < begins + 1 for at in times) for begins in times
    )
    return max(counts, default=0)


class ColdServersTest(base.TestCase):
    def play(self, factor):
        """Returns the sends to each server.

        Args:
            factor: How many times too large the daemons' shares are.
        """
        rng = random.Random(1)
        names = [f"edge-zone-{number}" for number in range(DAEMONS)]
        shares = dict.fromkeys(names, factor * SHARE)
        return [
            sends(f"i-{number:08x}", shares, rng) for number in range(SERVERS)
        ]

    def test_no_server_gets_more_than_it_bears(self):
        most = max(map(most_in_a_second, self.play(1.0)))
        self.assertLessEqual(most, MOST)

    def test_no_server_gets_more_if_daemons_count_half_of_the_fleet(self):
        most = max(map(most_in_a_second, self.play(2.0)))
        self.assertLessEqual(most, MOST)

    def test_fleet_sends_nearly_what_a_server_states(self):
        counts = [len(times) for times in self.play(1.0)]
        mean_per_s = sum(counts) / SERVERS / COLD_S
        self.assertGreater(mean_per_s, 0.7 * PER_S)
        self.assertLess(mean_per_s, 1.1 * TOLERANCE * PER_S)

    def test_lone_daemon_sends_at_the_stated_rate(self):
        part = cold_start.cold_allowance("d", "s", PER_S, 1.0)
        self.assertEqual((True, 1 / PER_S), part)

    def test_daemon_without_a_share_sends_nothing(self):
        parts = [
            cold_start.cold_allowance(f"d{d}", f"s{s}", PER_S, 0.0)
            for d, s in itertools.product(range(20), range(20))
        ]
        self.assertFalse(any(part.allowed for part in parts))

    def test_draw_is_another_one_for_each_start(self):
        parts = [
            cold_start.cold_allowance("d", f"s{s}", PER_S, 0.2)
            for s in range(200)
        ]
        drawn = sum(part.allowed for part in parts)
        self.assertTrue(60 < drawn < 110, drawn)
