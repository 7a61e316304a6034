"""Tests server health, scores, retry budgets and the server table."""

import collections
import random

from banyantiller.gateway import servers, types
from banyantiller.gateway.decisions import (
    budget,
    scoring,
    selection,
    server_health,
)
from banyantiller.tests import base

IDLE = types.Load(0, 0, 2, 1.0)


def server(instance="i", leaving=False, service="one"):
    return types.Server(instance, service, "h", 1, "z", 2, leaving, 0.0)


class ServerHealthTest(base.TestCase):
    def test_skip_time_doubles_and_one_response_ends_it(self):
        health = server_health.ServerHealth()
        lengths = []
        for _ in range(6):
            health.record_no_response(10.0)
            lengths.append(health.unresponsive_until - 10.0)
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0, 4.0], lengths)
        self.assertTrue(health.is_unresponsive(13.9))
        self.assertTrue(health.record_response())
        self.assertFalse(health.is_unresponsive(10.1))

    def test_failures_fade_by_half_in_their_half_life(self):
        health = server_health.ServerHealth()
        for _ in range(20):
            health.record_result(False, 5.0)
        full = health.failure_rate_at(5.0)
        later = health.failure_rate_at(5.0 + server_health.FAILURE_HALF_LIFE_S)
        self.assertGreater(full, 0.99)
        self.assertAlmostEqual(full / 2, later)

    def test_clock_that_steps_back_changes_no_rate(self):
        health = server_health.ServerHealth()
        health.record_result(False, 5.0)
        self.assertEqual(health.failure_rate, health.failure_rate_at(4.0))


class ScoreTest(base.TestCase):
    def score(self, load, failures=0.0, local=True, warming=False):
        return scoring.score(load, failures, local, warming)

    def test_order_of_servers(self):
        best_first = [
            self.score(IDLE),
            self.score(IDLE, local=False),
            self.score(types.Load(1, 0, 2, 1.0)),
            self.score(IDLE, warming=True),
            self.score(types.Load(2, 0, 2, 1.0)),
            self.score(types.Load(0, 0, 2, 5.0)),
            self.score(types.Load(2, 4, 2, 5.0)),
        ]
        self.assertEqual(sorted(best_first), best_first)

    def test_server_that_fails_half_is_worse_than_a_slow_one(self):
        self.assertGreater(
            self.score(IDLE, failures=0.5),
            self.score(types.Load(0, 0, 2, 4.0)),
        )

    def test_slot_is_free_only_without_a_queue(self):
        self.assertTrue(scoring.has_free_slot(types.Load(1, 0, 2, 1.0)))
        self.assertFalse(scoring.has_free_slot(types.Load(1, 1, 2, 1.0)))
        self.assertFalse(scoring.has_free_slot(types.Load(2, 0, 2, 1.0)))


class BudgetTest(base.TestCase):
    def test_no_window_exceeds_the_ratio(self):
        retry_budget = budget.RetryBudget(10.0, 0.2, 2.0)
        spent = []
        for tick in range(600):
            now = tick / 10
            retry_budget.record_request(now)
            if retry_budget.try_spend(now):
                spent.append(now)
        for begin in range(50):
            inside = [t for t in spent if begin < t <= begin + 10]
            self.assertLessEqual(len(inside), 0.2 * 100 + 2)
        self.assertGreater(len(spent), 100)

    def test_share_of_the_budget_is_reserved(self):
        retry_budget = budget.RetryBudget(10.0, 0.0, 10.0)
        first = sum(retry_budget.try_spend(1.0, 0.6) for _ in range(20))
        rest = sum(retry_budget.try_spend(1.0) for _ in range(20))
        self.assertEqual((6, 4), (first, rest))


class MinShareTest(base.TestCase):
    def test_minimum_is_zero_until_a_window_after_the_start(self):
        min_share = budget.MinShare(10.0, 100.0)
        min_share.record(0.5, 101.0)
        min_share.record(0.5, 108.0)
        self.assertEqual(0.0, min_share.minimum(110.9))
        self.assertEqual(0.5, min_share.minimum(111.0))

    def test_larger_share_counts_after_a_window_and_a_smaller_at_once(self):
        min_share = budget.MinShare(10.0, 0.0)
        min_share.record(0.25, 1.0)
        self.assertEqual(0.25, min_share.minimum(20.0))
        min_share.record(0.5, 20.0)
        min_share.record(0.4, 22.0)
        self.assertEqual(0.25, min_share.minimum(30.0))
        self.assertEqual(0.4, min_share.minimum(32.0))
        min_share.record(0.1, 33.0)
        self.assertEqual(0.1, min_share.minimum(33.0))

    def test_minimum_covers_all_shares_in_the_window(self):
        rng = random.Random(4)
        for _ in range(200):
            min_share = budget.MinShare(10.0, 0.0)
            recorded = [(0.0, 0.0)]
            for at in sorted(rng.uniform(0, 60) for _ in range(25)):
                recorded.append((at, rng.choice((0.1, 0.2, 0.3, 0.5))))
                min_share.record(recorded[-1][1], at)
                begin = [p for t, p in recorded if t <= at - 10.0][-1:]
                inside = [p for t, p in recorded if at - 10.0 < t <= at]
                self.assertLessEqual(min_share.minimum(at), min(begin + inside))


class PreferenceTest(base.TestCase):
    def test_daemon_prefers_the_same_few_servers_and_fleets_reach_all(self):
        async def body():
            entries = [
                servers.ServerEntry(server(f"i{n}"), 0.0) for n in range(40)
            ]
            reached = set()
            for number in range(30):
                selector = selection.ServerSelector(
                    f"d{number}", "zone-a", random.Random(number)
                )
                rounds = [
                    selector._preferred(entries).entries for _ in range(50)
                ]
                few = [one for one in rounds if len(one) < len(entries)]
                self.assertEqual(1, len({tuple(map(id, one)) for one in few}))
                self.assertGreater(len(few), 35)
                self.assertLess(len(few), 50)
                reached |= {entry.server.instance for entry in few[0]}
            return reached

        self.assertEqual(40, len(self.run_paused(body())))

    def test_few_servers_of_other_zones_are_preferred(self):
        """Only preferred servers of other zones are probed regularly.

        New connections to any of 126 servers cost a fleet as much as a tenth of
        its VMs.
        """
        local = [servers.ServerEntry(server(f"n{n}"), 0.0) for n in range(40)]
        remote = [
            servers.ServerEntry(server(f"f{n}")._replace(zone="zone-b"), 0.0)
            for n in range(126)
        ]
        for rate in (0.0, 1.0):
            selector = selection.ServerSelector("d1", "z", random.Random(5))
            probed = collections.Counter()
            for _ in range(200):
                selector.local_zone_success["s"] = rate
                first = selector.first_probes("s", local + remote)
                rest = selector.more_probes("s", local + remote, first, [])
                probed.update(e.server.instance for e in (*first.probed, *rest))
            common = [name for name, count in probed.items() if count > 15]
            self.assertLessEqual(len(common), 2 * selection.PREFERRED_SERVERS)
            share = sum(probed[name] for name in common) / probed.total()
            self.assertGreater(share, 0.75)
            self.assertGreater(len(probed), 60)


class ServerTableTest(base.TestCase):
    def test_instance_that_left_is_not_used_again(self):
        table = servers.ServerTable()
        table.set_evacuated_zones(frozenset())
        table.put(server(leaving=True), 0.0)
        table.put(server(leaving=False), 1.0)
        self.assertEqual([], table.usable("one", 1.0))
        table.remove("i", "gone")
        table.put(server(leaving=False), 2.0)
        self.assertEqual([], table.usable("one", 2.0))

    def test_lapsed_server_is_used_for_a_moment_and_then_removed(self):
        table = servers.ServerTable()
        table.set_evacuated_zones(frozenset())
        table.put(server(), 0.0)
        table.lapse("i", 1.0)
        self.assertEqual(1, len(table.usable("one", 2.7)))
        self.assertEqual(0, len(table.usable("one", 2.9)))
        self.assertEqual(1, len(table.expire(2.9)))
        self.assertEqual({}, table.entries)

    def test_lapsed_server_that_comes_back_stays(self):
        table = servers.ServerTable()
        table.set_evacuated_zones(frozenset())
        table.put(server(), 0.0)
        table.lapse("i", 1.0)
        table.put(server(), 2.0)
        self.assertEqual(1, len(table.usable("one", 9.0)))
        self.assertEqual([], table.expire(9.0))

    def test_server_may_change_its_service(self):
        table = servers.ServerTable()
        table.set_evacuated_zones(frozenset())
        table.put(server(), 0.0)
        table.put(server(service="two"), 1.0)
        self.assertEqual([], table.usable("one", 1.0))
        self.assertEqual(1, len(table.usable("two", 1.0)))
