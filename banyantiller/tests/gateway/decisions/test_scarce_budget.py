"""Simulates a fleet's retry budget while servers reject requests.

Only decisions are simulated, without sockets: each daemon has a small share of
the budget, and callers retry once, at any daemon.
"""

import heapq
import random
from typing import NamedTuple

from banyantiller.gateway.decisions import budget
from banyantiller.tests import base

DAEMONS = 60
RATE_PER_S = 57.0
RATIO, EXTRA, WINDOW_S = 0.2, 96.0, 10.0
# Shares of RATIO and EXTRA that daemons use.
RATIO_USE, SHARE_USE = 0.9, 0.8
# Share of all requests that servers reject, and when they do, in seconds.
REJECTED_SHARE, BEGIN_S, END_S, LAST_S = 0.56, 12.0, 20.0, 22.0
CALLER_RETRY_S = 0.06


class Request(NamedTuple):
    """A request of a caller; requests are ordered by time."""

    at: float
    number: int
    first_at: float


class Fleet:
    """Daemons that share the budget as in a running gateway."""

    def __init__(self, seed, rounds):
        self.random = random.Random(seed)
        self.budgets = []
        for number in range(DAEMONS):
            rounding = 0.0
            if rounds:
                rounding = budget.rounding(f"d{seed}-{number}", "s")
            extra = SHARE_USE * EXTRA / DAEMONS
            self.budgets.append(
                budget.RetryBudget(WINDOW_S, RATIO * RATIO_USE, extra, rounding)
            )
        self.requests, self.retries = [], []

    def rejects(self, now):
        return BEGIN_S <= now < END_S and self.random.random() < REJECTED_SHARE

    def serve(self, request):
        """Returns whether a request is served."""
        number = self.random.randrange(DAEMONS)
        retry_budget, now = self.budgets[number], request.at
        self.requests.append(now)
        retry_budget.record_request(now)
        if not self.rejects(now):
            return True
        if not retry_budget.try_spend(now):
            return False
        self.retries.append(now)
        return not self.rejects(now)


class Outcome(NamedTuple):
    """Result of the time in which servers rejected requests.

    Attributes:
        served: Share of the requests that were served.
        max_used: Largest share of the whole budget spent in any window.
    """

    served: float
    max_used: float


def simulate(seed, rounds):
    """Simulates `LAST_S` seconds; see `Outcome`."""
    fleet = Fleet(seed, rounds)
    rng = random.Random(seed)
    queue, at, number = [], 0.0, 0
    while at < LAST_S:
        at += rng.expovariate(RATE_PER_S)
        number += 1
        heapq.heappush(queue, Request(at, number, at))
    served, counted = 0, 0
    while queue:
        request = heapq.heappop(queue)
        in_outage = BEGIN_S <= request.first_at < END_S
        first = request.at == request.first_at
        counted += in_outage and first
        if fleet.serve(request):
            served += in_outage
        elif first:
            retry = request._replace(at=request.at + CALLER_RETRY_S)
            heapq.heappush(queue, retry)
    return Outcome(served / counted, max_used(fleet))


def max_used(fleet):
    """Returns the largest share of the whole budget spent in any window."""
    used = 0.0
    for begin in fleet.retries:
        ends = begin + WINDOW_S
        retries = sum(begin <= at < ends for at in fleet.retries)
        requests = sum(begin <= at < ends for at in fleet.requests)
        used = max(used, retries / (RATIO * requests + EXTRA))
    return used


def mean(values):
    values = list(values)
    return sum(values) / len(values)


class ScarceBudgetTest(base.TestCase):
    def setUp(self):
        super().setUp()
        seeds = range(12)
        self.rounded_down = [simulate(seed, False) for seed in seeds]
        self.rounded_at_random = [simulate(seed, True) for seed in seeds]

    def test_random_rounding_uses_more_of_the_budget(self):
        before = mean(one.max_used for one in self.rounded_down)
        now = mean(one.max_used for one in self.rounded_at_random)
        self.assertGreater(now, before + 0.05)

    def test_random_rounding_serves_more_requests(self):
        before = mean(one.served for one in self.rounded_down)
        now = mean(one.served for one in self.rounded_at_random)
        self.assertGreater(now, before)

    def test_whole_budget_is_never_exceeded(self):
        for one in self.rounded_at_random:
            self.assertLess(one.max_used, 1.0)
