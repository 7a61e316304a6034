"""Replays a service that turns requests away, before a fleet's retry budget.

Decisions only, without sockets: each daemon has its own small part of the
budget, callers come back once, to any daemon.
"""

import heapq
import random
from typing import NamedTuple

from banyantiller.gateway.decisions import budget
from banyantiller.tests import base

DAEMONS = 60
RATE_PER_S = 57.0
RATIO, EXTRA, WINDOW_S = 0.2, 96.0, 10.0
# Part of these that daemons use.
RATIO_USE, SHARE_USE = 0.9, 0.8
# Part of all requests that servers turn away, and when.
TURNED_AWAY, BEGIN_S, END_S, LAST_S = 0.56, 12.0, 20.0, 22.0
AGAIN_S = 0.06


class Request(NamedTuple):
    """A request of a caller; ordered by its time."""

    at: float
    number: int
    first_at: float


class Fleet:
    """Daemons whose parts of the budget are as in a running gateway."""

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
        self.requests, self.repeats = [], []

    def turned_away(self, now):
        return BEGIN_S <= now < END_S and self.random.random() < TURNED_AWAY

    def serve(self, request):
        """Tells whether a request is served."""
        number = self.random.randrange(DAEMONS)
        kept, now = self.budgets[number], request.at
        self.requests.append(now)
        kept.record_request(now)
        if not self.turned_away(now):
            return True
        if not kept.try_spend(now):
            return False
        self.repeats.append(now)
        return not self.turned_away(now)


class Outcome(NamedTuple):
    """What became of the requests while servers turned requests away."""

    served: float
    most_used: float


def play(seed, rounds):
    """Plays one stretch of time; see `Outcome`."""
    fleet = Fleet(seed, rounds)
    rng = random.Random(seed)
    queue, at, number = [], 0.0, 0
    while at < LAST_S:
        at += rng.expovariate(RATE_PER_S)
        number += 1
        heapq.heappush(queue, Request(at, number, at))
    served, asked = 0, 0
    while queue:
        request = heapq.heappop(queue)
        counts = BEGIN_S <= request.first_at < END_S
        first = request.at == request.first_at
        asked += counts and first
        if fleet.serve(request):
            served += counts
        elif first:
            again = request._replace(at=request.at + AGAIN_S)
            heapq.heappush(queue, again)
    return Outcome(served / asked, most_used(fleet))


def most_used(fleet):
    """Returns the greatest part of the whole budget used in any window."""
    used = 0.0
    for begin in fleet.repeats:
        ends = begin + WINDOW_S
        repeats = sum(begin <= at < ends for at in fleet.repeats)
        requests = sum(begin <= at < ends for at in fleet.requests)
        used = max(used, repeats / (RATIO * requests + EXTRA))
    return used


def mean(values):
    values = list(values)
    return sum(values) / len(values)


class ScarceBudgetTest(base.TestCase):
    def setUp(self):
        super().setUp()
        seeds = range(12)
        self.down = [play(seed, False) for seed in seeds]
        self.by_chance = [play(seed, True) for seed in seeds]

    def test_more_of_the_budget_is_used(self):
        before = mean(one.most_used for one in self.down)
        now = mean(one.most_used for one in self.by_chance)
        self.assertGreater(now, before + 0.05)

    def test_more_requests_are_served(self):
        before = mean(one.served for one in self.down)
        now = mean(one.served for one in self.by_chance)
        self.assertGreater(now, before)

    def test_whole_budget_is_never_exceeded(self):
        for one in self.by_chance:
            self.assertLess(one.most_used, 1.0)
