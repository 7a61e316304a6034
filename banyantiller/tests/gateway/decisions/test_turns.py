"""Tests the turns of many daemons at a server that limits requests."""

import math
import random
from typing import NamedTuple

from banyantiller.gateway.decisions import turns
from banyantiller.tests import base

WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
ALONE = turns.FleetPosition(0, 1)
SIMULATED_S = 160.0
STEP_S = 0.1
GROUPS = 3
FLEETS = (13, 112, 312)


class Daemon(NamedTuple):
    """A daemon that has requests for the server.

    Attributes:
        group: Number of its group.
        per_s: Requests a second that it would send without a limit.
    """

    group: int
    per_s: float


def allowed(per_s):
    """Returns the maximum number of requests in a window."""
    return per_s * WINDOW_S * TOLERANCE + SLACK


def max_in_window(times):
    """Returns the largest number of requests in any window."""
    found, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        found = max(found, last - first + 1)
    return found


class Fleet:
    """Daemons that take turns at one server.

    Attributes:
        counted: Error factor of a group's count: with 0.5, half of the daemons
            are counted.
        restarts: Whether daemons are restarted from time to time.
        usage: Which turns each daemon has used.
        times: Times at which the server got a request.
    """

    def __init__(
        self, size, per_s, seed, load=2.0, counted=1.0, restarts=False
    ):
        self.random = random.Random(seed)
        self.per_s = per_s
        self.counted = counted
        self.restarts = restarts
        self.daemons = [
            Daemon(number % GROUPS, load * self.random.uniform(0.3, 1.7))
            for number in range(size)
        ]
        self.ahead_s = [self.random.uniform(0, 100) for _ in range(GROUPS)]
        self.usage = [turns.TurnUsage(0.0) for _ in self.daemons]
        self.times = []

    def position(self, number):
        """Returns the position of a daemon, as its group counts it."""
        group = self.daemons[number].group
        members = [
            n for n, one in enumerate(self.daemons) if one.group == group
        ]
        count = math.ceil(len(members) * self.counted)
        rank = members.index(number) % count
        return turns.FleetPosition(rank, count, GROUPS, self.ahead_s[group])

    def simulate(self):
        """Sends for `SIMULATED_S`; returns the times of the requests."""
        positions = [
            self.position(number) for number in range(len(self.daemons))
        ]
        for step in range(int(SIMULATED_S / STEP_S)):
            now = step * STEP_S
            if self.restarts and step % 40 == 0:
                number = self.random.randrange(len(self.daemons))
                # A daemon learns the limit half a second after its start.
                self.usage[number] = turns.TurnUsage(now + 0.5)
            for number, one in enumerate(self.daemons):
                if self.random.random() < one.per_s * STEP_S:
                    self._send(number, positions[number], now)
        return self.times

    def _send(self, number, position, now):
        usage = self.usage[number]
        turn = turns.next_turn(position, "server", self.per_s, usage, now)
        if turn <= now:
            self.usage[number] = usage._replace(last=turn)
            self.times.append(now)


class TurnsTest(base.TestCase):
    def check(self, times, per_s, min_use, case):
        self.assertLessEqual(max_in_window(times), allowed(per_s), case)
        self.assertGreaterEqual(len(times) / SIMULATED_S, min_use * per_s, case)

    def test_limit_is_kept_and_used_at_each_fleet_size(self):
        for size in FLEETS:
            for per_s in (0.7, 1.3, 6.0):
                times = Fleet(size, per_s, seed=1).simulate()
                self.check(times, per_s, 0.5, (size, per_s))
                # Turns of the window, and earlier ones that are still valid.
                bound = per_s * (WINDOW_S + turns.VALID_S) + GROUPS
                self.assertLessEqual(max_in_window(times), bound, (size, per_s))

    def test_limit_is_kept_if_the_fleet_is_counted_half_or_double(self):
        for size in FLEETS:
            for counted, min_use in ((0.5, 0.5), (2.0, 0.25)):
                times = Fleet(size, 1.3, seed=2, counted=counted).simulate()
                self.check(times, 1.3, min_use, (size, counted))

    def test_limit_is_kept_while_daemons_restart(self):
        for size in FLEETS:
            times = Fleet(size, 1.3, seed=3, restarts=True).simulate()
            self.check(times, 1.3, 0.4, size)

    def test_few_daemons_with_many_requests_use_the_limit(self):
        times = Fleet(3, 20.0, seed=4, load=30.0).simulate()
        self.check(times, 20.0, 0.9, "few")

    def test_unused_turn_expires(self):
        usage = turns.TurnUsage(0.0)
        turn = turns.next_turn(ALONE, "server", 0.2, usage, 100.0)
        late = turns.next_turn(
            ALONE, "server", 0.2, usage, turn + turns.VALID_S + 0.1
        )
        self.assertGreater(late, turn + turns.VALID_S + 0.1)

    def test_turn_is_used_once_even_if_the_clock_offset_changes(self):
        rng = random.Random(5)
        for _ in range(200):
            position = turns.FleetPosition(
                rng.randrange(30), 30, 3, rng.uniform(0, 9)
            )
            shifted = position._replace(
                ahead_s=position.ahead_s + rng.uniform(-1, 1)
            )
            first = turns.next_turn(
                position, "s", 1.3, turns.TurnUsage(0.0), 500.0
            )
            usage = turns.TurnUsage(0.0, first)
            again = turns.next_turn(shifted, "s", 1.3, usage, first)
            self.assertGreater(again, first + turns.VALID_S)

    def test_limit_of_zero_still_allows_occasional_requests(self):
        times = Fleet(13, 0.0, seed=6).simulate()
        self.assertLessEqual(max_in_window(times), 1 + GROUPS)
        self.assertGreater(len(times), 5)
