"""Tests what requests may use, under the loads that `precedence` names."""

import functools
import math

from banyantiller.gateway.decisions import (
    caller_budgets,
    hedging,
    precedence,
    service_load,
    waiting,
)
from banyantiller.tests import base
from banyantiller.tests.gateway.decisions import load_simulation

Kind = load_simulation.Kind
# A third of a deployment: 43 servers of two slots.
CHARGE = Kind("charge", 20, 0.15, 0.41, 1.231, 0.0)
READ = Kind("read", 54, 0.22, 0.618, 1.546, 0.5)
PUBLICATION = Kind("publication", 30, 0.29, 1.519, 2.532, 1.0)
# Two kinds of one priority; one has much more time than it needs.
CATALOGUE = Kind("catalogue", 43, 0.241, 0.914, 4.541, 0.5)
ARCHIVE = Kind("archive", 12.5, 0.2, 1.862, 6.053, 0.5)
# All servers reject requests for 8.5 s; the budget is a third as well.
OUTAGE = {
    "rejected": 0.55,
    "daemons": 45,
    "extra": 69.0,
    "begin_s": 10.0,
    "length_s": 8.5,
}
# No kind may be served less than a quarter as often as all requests.
MIN_SHARE = 0.25
SEEDS = range(3)

FREE = service_load.ZoneLoad(24, 0.9, 0.9, 0.0, 0.0, 0.0, 200.0, 0.1)
FULL = FREE._replace(free_share=0.05, idle_share=0.0)
REJECTING = FREE._replace(rejected_share=0.55)
COST = precedence.RequestCost(0.5, 0.3, 0.2, False, 1.0)
URGENT = COST._replace(rank=0.0)


def known(load):
    return load


def unknown(load):
    return None


def wrong(load):
    """Returns a load that claims the opposite: much free room."""
    return load._replace(free_share=1.0, idle_share=1.0, slow_share=0.0)


@functools.cache
def shares(servers, kinds, load_of, **more):
    """Returns mean shares served in time and served, by kind and of all."""
    found = [
        load_simulation.Simulation(servers, 2, seed, load_of, **more).run(kinds)
        for seed in SEEDS
    ]
    return {
        name: tuple(
            sum(one[name][part] for one in found) / len(found)
            for part in (0, 1)
        )
        for name in found[0]
    }


class SimulationTest(base.TestCase):
    def check_nobody_starves(self, found):
        for part in (0, 1):
            mean = sum(one[part] for one in found.values()) / len(found)
            for name, one in found.items():
                self.assertGreaterEqual(one[part], MIN_SHARE * mean, name)

    def test_most_urgent_kind_loses_least_in_a_burst_of_another(self):
        kinds = (READ._replace(surge=2.5), PUBLICATION, CHARGE)
        before = shares(43, kinds, None)
        for load_of in (known, unknown):
            now = shares(43, kinds, load_of)
            self.assertGreater(now["charge"][0], before["charge"][0])
            self.assertGreater(now["charge"][1], now["read"][1])
            self.check_nobody_starves(now)

    def test_burst_of_the_only_kind_loses_fewer_requests(self):
        kinds = (CHARGE._replace(surge=2.5),)
        before = shares(8, kinds, None)["charge"]
        now = shares(8, kinds, known)["charge"]
        self.assertGreater(now[1], before[1])

    def test_returning_callers_get_the_retries_while_servers_reject(self):
        kinds = (READ, PUBLICATION)
        before = shares(54, kinds, None, **OUTAGE)
        now = shares(54, kinds, known, **OUTAGE)
        for name in ("read", "publication"):
            self.assertGreater(now[name][1], before[name][1])
        self.check_nobody_starves(now)

    def test_kinds_of_one_priority_with_unlike_work_are_both_served(self):
        kinds = (CATALOGUE, ARCHIVE._replace(surge=2.5))
        before = shares(16, kinds, None)
        now = shares(16, kinds, known)
        # The kind that can wait gives way to the one that can't.
        self.assertGreater(now["catalogue"][0], before["catalogue"][0])
        self.check_nobody_starves(now)

    def test_wrong_or_old_load_starves_nobody(self):
        kinds = (READ._replace(surge=2.5), PUBLICATION, CHARGE)
        self.check_nobody_starves(shares(43, kinds, wrong))
        self.check_nobody_starves(shares(43, kinds, known, load_age_s=2.0))

    def test_unknown_load_changes_nothing_but_for_the_most_urgent(self):
        kinds = (READ._replace(surge=2.5), PUBLICATION)
        self.assertEqual(shares(36, kinds, None), shares(36, kinds, unknown))

    def test_unrecognised_callers_lose_little_to_the_reserve(self):
        kinds = (READ, PUBLICATION)
        before = shares(54, kinds, None, **OUTAGE)
        now = shares(54, kinds, known, recognised=False, **OUTAGE)
        # Only the first refused retries of each daemon are withheld.
        withheld = precedence.MAX_UNRETURNED * 45 / (84 * 8.5)
        self.assertGreater(now["read"][1], before["read"][1] - withheld)


class DecisionsTest(base.TestCase):
    def wait_s(self, cost, load):
        usual = waiting.WaitLimits(0.02, 0.036)
        return precedence.wait_limits(cost, load, usual, 0.0).any_server_until

    def test_most_urgent_request_waits_while_its_objective_allows(self):
        for load in (None, FULL, FREE):
            self.assertAlmostEqual(0.3, self.wait_s(URGENT, load))

    def test_wait_ends_while_a_response_can_still_be_in_time(self):
        for rank in (0.0, 0.5, 1.0):
            cost = COST._replace(rank=rank, remaining_s=0.21)
            for load in (None, FULL, FREE):
                self.assertLessEqual(
                    self.wait_s(cost, load), waiting.MIN_WAIT_S
                )

    def test_least_urgent_gives_way_only_in_a_known_shortage(self):
        cost = COST._replace(rank=1.0)
        self.assertEqual(0.036, self.wait_s(cost, None))
        self.assertEqual(0.036, self.wait_s(cost, FREE))
        self.assertLess(self.wait_s(cost, FULL), 0.036)

    def test_hopeless_request_is_one_that_misses_the_deadline(self):
        self.assertFalse(precedence.is_hopeless(COST))
        late = COST._replace(remaining_s=0.05)
        self.assertTrue(precedence.is_hopeless(late))
        # It may still be in time, so that only a shortage decides against it.
        close = COST._replace(remaining_s=0.15)
        self.assertFalse(precedence.is_hopeless(close, FREE))
        self.assertTrue(precedence.is_hopeless(close, FULL))

    def test_budget_share_of_zero_reserves_without_an_error(self):
        share = precedence.retry_share(COST, REJECTING, 0.0, 3)
        self.assertTrue(0 <= share < 1)
        back = COST._replace(returned=True)
        self.assertEqual(1.0, precedence.retry_share(back, REJECTING, 0.0, 3))

    def test_first_tries_get_retries_that_would_be_left_unused(self):
        plenty = precedence.retry_share(COST, REJECTING, 2.0, 3)
        scarce = precedence.retry_share(COST, REJECTING, 0.4, 3)
        self.assertGreater(plenty, scarce)
        urgent = precedence.retry_share(URGENT, REJECTING, 0.4, 3)
        self.assertGreater(urgent, scarce)

    def test_early_hedge_needs_free_room_and_time(self):
        self.assertTrue(precedence.may_hedge(COST, FREE, 0.35))
        self.assertFalse(precedence.may_hedge(COST, FREE, 0.25))
        late = COST._replace(slack_s=-0.01)
        self.assertFalse(precedence.may_hedge(late, FREE, 0.35))
        for load in (None, FULL, REJECTING):
            self.assertFalse(precedence.may_hedge(COST, load, 0.35))

    def test_slow_attempt_is_still_probed_and_hedged_when_late(self):
        """An early wake just after the time of the probe must not skip it."""
        first = hedging.FirstAttempt(0.0, 0.6, False)
        at, wakes = 0.0, []
        while not hedging.should_hedge(first._replace(waited_s=at)):
            cost = COST._replace(slack_s=0.4 - at)
            wake_s, probes = precedence.next_wake(
                first._replace(waited_s=at), cost
            )
            at += wake_s
            wakes.append(probes)
            first = first._replace(probed=first.probed or probes)
        self.assertEqual(1, wakes.count(True))
        self.assertLess(at, 0.6 * hedging.LATE_SHARE + 0.01)


class CallerBudgetsTest(base.TestCase):
    def test_retry_is_recognised_by_its_remaining_time(self):
        budgets = caller_budgets.CallerBudgets()
        for stated_s in (1.223, 1.1, 1.038):
            found = budgets.record("r", stated_s, math.inf, 0.0)
            self.assertEqual(caller_budgets.UNKNOWN, found, stated_s)
        found = budgets.record("r", 0.8, math.inf, 1.0)
        self.assertTrue(found.returned)
        # The first try stated 1.038 to 1.223 s.
        self.assertTrue(0.238 < found.before_s < 0.423, found)

    def test_callers_with_different_times_are_not_taken_for_retries(self):
        budgets = caller_budgets.CallerBudgets()
        for number in range(40):
            stated_s = 2.0 if number % 8 == 0 else 0.5
            found = budgets.record("r", stated_s, math.inf, number * 0.1)
        self.assertEqual(caller_budgets.UNKNOWN, found)

    def test_outdated_longest_time_is_forgotten(self):
        budgets = caller_budgets.CallerBudgets()
        budgets.record("r", 9.0, math.inf, 0.0)
        found = budgets.record("r", 1.0, math.inf, 70.0)
        self.assertEqual(caller_budgets.UNKNOWN, found)

    def test_time_beyond_the_route_timeout_makes_nobody_late(self):
        budgets = caller_budgets.CallerBudgets()
        budgets.record("r", 999999.0, 2.0, 0.0)
        self.assertFalse(budgets.record("r", 2.0, 2.0, 1.0).returned)
