"""Simulates cold servers that come back while a whole fleet waits."""

import itertools
import random

from banyantiller.gateway.decisions import cold_start
from banyantiller.tests import base

DAEMONS = 112
SERVERS = 400
# Requests a second that a server states, and the number in a second above which
# it crashes: one and a half times the stated rate plus eight.
PER_S = 2.1
MAX_PER_SECOND = 11
COLD_S = 3.0
# Share of the stated rate that one daemon uses, and the multiple of the stated
# rate that operators allow.
SHARE = 0.8 / DAEMONS
TOLERANCE = 1.5


def send_times(incarnation, shares, rng):
    """Returns the send times of daemons that send as often as they may.

    Args:
        incarnation: Identity of the server's incarnation.
        shares: Share that each daemon assumes for itself, by its name.
        rng: Source of the times at which they begin.
    """
    times = []
    for daemon, share in shares.items():
        allowance = cold_start.cold_allowance(daemon, incarnation, PER_S, share)
        at = rng.uniform(0, 0.05)
        while allowance.allowed and at < COLD_S:
            times.append(at)
            at += allowance.spacing_s
    return sorted(times)


def max_in_a_second(times):
    """Returns the maximum number of requests in any one second."""
    counts = (sum(start <= at < start + 1 for at in times) for start in times)
    return max(counts, default=0)


class ColdServersTest(base.TestCase):
    def simulate(self, factor):
        """Returns the send times at each server.

        Args:
            factor: Factor by which the daemons overestimate their shares.
        """
        rng = random.Random(1)
        names = [f"edge-zone-{number}" for number in range(DAEMONS)]
        shares = dict.fromkeys(names, factor * SHARE)
        return [
            send_times(f"i-{number:08x}", shares, rng)
            for number in range(SERVERS)
        ]

    def test_no_server_gets_more_than_it_can_handle(self):
        max_count = max(map(max_in_a_second, self.simulate(1.0)))
        self.assertLessEqual(max_count, MAX_PER_SECOND)

    def test_no_server_is_overloaded_if_daemons_count_half_of_the_fleet(self):
        max_count = max(map(max_in_a_second, self.simulate(2.0)))
        self.assertLessEqual(max_count, MAX_PER_SECOND)

    def test_fleet_sends_close_to_the_stated_rate(self):
        counts = [len(times) for times in self.simulate(1.0)]
        mean_per_s = sum(counts) / SERVERS / COLD_S
        self.assertGreater(mean_per_s, 0.7 * PER_S)
        self.assertLess(mean_per_s, 1.1 * TOLERANCE * PER_S)

    def test_lone_daemon_sends_at_the_stated_rate(self):
        allowance = cold_start.cold_allowance("d", "s", PER_S, 1.0)
        self.assertEqual((True, 1 / PER_S), allowance)

    def test_daemon_without_a_share_sends_nothing(self):
        allowances = [
            cold_start.cold_allowance(f"d{d}", f"s{s}", PER_S, 0.0)
            for d, s in itertools.product(range(20), range(20))
        ]
        self.assertFalse(any(allowance.allowed for allowance in allowances))

    def test_each_incarnation_has_its_own_draw(self):
        allowances = [
            cold_start.cold_allowance("d", f"s{s}", PER_S, 0.2)
            for s in range(200)
        ]
        drawn = sum(allowance.allowed for allowance in allowances)
        self.assertTrue(60 < drawn < 110, drawn)
