"""Tests of how a relay shares a service that is short of capacity."""

import math

import hypothesis
from hypothesis import strategies

from banyantiller.gateway.decisions import fair_share, service_load
from banyantiller.tests import base

DEMANDS = strategies.lists(
    strategies.builds(
        fair_share.Demand, strategies.floats(0, 300), strategies.floats(0.1, 99)
    ),
    min_size=1,
    max_size=84,
)
LIMIT_PER_S = 0.25


def load(free_share):
    """Returns a load with a share of free slots."""
    return service_load.ZoneLoad(9, free_share, 0.0, 0.0, 0.0, 0.0, 9.0, 0.5)


class LevelTest(base.TestCase):
    """Guards against shares that exceed or waste the capacity."""

    @hypothesis.given(DEMANDS, strategies.floats(0.1, 9999))
    def test_shares_use_the_capacity_and_no_more(self, demands, capacity):
        level = fair_share.fair_level(demands, capacity)
        granted = [min(one.per_s, level * one.weight) for one in demands]
        total = sum(one.per_s for one in demands)
        self.assertAlmostEqual(min(total, capacity), sum(granted), places=6)

    def test_small_use_is_granted_in_full(self):
        demands = [fair_share.Demand(*one) for one in ((1, 10), (90, 10))]
        self.assertEqual(2.0, fair_share.fair_level(demands, 21))

    def test_level_without_shortage_limits_nobody(self):
        demands = [fair_share.Demand(5, 1)]
        self.assertEqual(math.inf, fair_share.fair_level(demands, 5))

    @hypothesis.given(DEMANDS)
    def test_half_of_the_weight_uses_no_more_than_the_median(self, demands):
        median = fair_share.median_use(demands)
        within = [one for one in demands if one.per_s / one.weight <= median]
        weight = sum(one.weight for one in demands)
        self.assertGreaterEqual(
            sum(one.weight for one in within), weight / 2 - 1e-6
        )


class OrganisationUseTest(base.TestCase):
    """Guards against refusals of an organisation below its share."""

    @hypothesis.given(strategies.lists(strategies.floats(0, 9), max_size=60))
    def test_share_of_each_second_is_granted_in_any_pattern(self, pauses):
        """The requests keep to the share in each second, and use it up."""
        limit = 5.0
        use = fair_share.OrganisationUse(0.0)
        use.set_limit(limit, 0.0)
        now = 0.0
        recent = []
        for pause_s in pauses:
            now += pause_s
            recent = [at for at in recent if at > now - 1.0]
            while len(recent) < limit:
                recent.append(now)
                self.assertEqual(1, use.grant(1, now))

    def test_request_in_two_seconds_at_three_relays_is_granted(self):
        """Its part at a relay is a request in twelve seconds."""
        uses = [fair_share.OrganisationUse(0.0) for _ in range(3)]
        for use in uses:
            use.set_limit(LIMIT_PER_S / 3, 0.0)
        for number in range(60):
            now = number / LIMIT_PER_S
            self.assertTrue(any(use.grant(1, now) for use in uses))

    def test_more_than_the_share_is_refused(self):
        use = fair_share.OrganisationUse(0.0)
        use.set_limit(5.0, 0.0)
        granted = sum(use.grant(1, number / 50) for number in range(500))
        self.assertLessEqual(granted, 10 * 5 + 5 + 1)
        self.assertTrue(use.refusal().final)

    def test_limit_that_ends_leaves_no_debt(self):
        use = fair_share.OrganisationUse(0.0)
        use.set_limit(1.0, 0.0)
        use.grant(9, 0.1)
        use.set_limit(math.inf, 0.2)
        self.assertEqual(99, use.grant(99, 0.2))


class ServiceSharesTest(base.TestCase):
    """Guards against limits without a known shortage."""

    def play(self, *free_shares):
        """Returns whether a surge is limited after each second."""
        shares = fair_share.ServiceShares(0.0)
        found = []
        for second, free_share in enumerate(free_shares):
            known = None if free_share is None else load(free_share)
            for step in range(100):
                now = second + step / 100
                shares.adjust(known, now)
                shares.grant("large", 80.0, 1, 1, now)
                granted = shares.grant("surge", 40.0, 3, 3, now)
                shares.take_back("surge", granted // 2, now)
            found.append(shares.level < math.inf)
        return found

    def test_shortage_has_hysteresis(self):
        limited = self.play(0.5, 0.3, 0.1, 0.1, 0.3, 0.3)
        self.assertEqual([False, False, True, True, True, True], limited)

    def test_unknown_load_is_no_shortage(self):
        self.assertEqual([False, True, False], self.play(None, 0.0, None))

    def test_state_is_dropped_with_the_last_request(self):
        shares = fair_share.ServiceShares(0.0)
        shares.grant("o", 1.0, 1, 1, 0.0)
        shares.adjust(None, 9.0)
        self.assertEqual({}, shares.by_organisation)
