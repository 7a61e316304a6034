"""Tests of traffic shares of groups of servers."""

import hypothesis
from hypothesis import strategies

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import shares, types
from banyantiller.tests.base import TestCase
from banyantiller.tests.routing.driver import (
    Driver,
    failure,
    of_type,
    server_states,
)


def service(**percents):
    shares_by_group = tuple(options.Share(g, p) for g, p in percents.items())
    return options.Service("lookups", (), shares=shares_by_group)


def servers():
    return server_states(4) + tuple(
        types.ServerState(f"n{i}", "zone-a", 2, "next") for i in range(2)
    )


class SharesTest(TestCase):
    @hypothesis.settings(derandomize=True, max_examples=30, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, 99), min_size=2))
    def test_within_one_percent_over_a_thousand_calls(self, weights):
        total = sum(weights)
        shares_by_group = tuple(
            options.Share(f"g{i}", 100 * w / total)
            for i, w in enumerate(weights)
        )
        round_robin = shares.GroupRoundRobin()
        round_robin.configure(
            shares_by_group, [share.group for share in shares_by_group]
        )
        counts = dict.fromkeys(round_robin.weights, 0)
        for _ in range(1000):
            counts[round_robin.next_group()] += 1
        for share in shares_by_group:
            error = counts[share.group] / 1000 - share.percent / 100
            self.assertLessEqual(abs(error), 0.01)

    def test_calls_go_by_shares_through_the_dispatcher(self):
        driver = Driver(servers(), service(main=90.0, next=10.0))
        counts = {"b": 0, "n": 0}
        for _ in range(1000):
            (start,) = driver.submit()
            counts[start.server[0]] += 1
            driver.respond(start.attempt_id)
        self.assertEqual({"b": 900, "n": 100}, counts)

    def test_group_without_usable_servers_uses_other_groups(self):
        driver = Driver(servers(), service(main=50.0, next=50.0))
        leaving = tuple(
            s._replace(leaving=s.group == "next") for s in servers()
        )
        driver.dispatcher.configure(driver.service, leaving, driver.now)
        for _ in range(20):
            (start,) = driver.submit()
            self.assertEqual("b", start.server[0])
            driver.respond(start.attempt_id)

    def test_retry_stays_in_its_group(self):
        driver = Driver(servers(), service(main=50.0, next=50.0))
        driver.warm_up(100)
        failing = failure(ErrorKind.CONNECT_FAILED, Ran.NO)
        for _ in range(10):
            (first,) = driver.submit()
            (second,) = of_type(
                driver.receive_head(first.attempt_id, failing), types.Start
            )
            self.assertEqual(first.server[0], second.server[0])
            driver.respond(second.attempt_id)
            driver.now += 10.0
