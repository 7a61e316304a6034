"""Tests of turns at servers that take few requests of all, by many daemons."""

import math
import random
from typing import NamedTuple

from banyantiller.gateway.decisions import turns
from banyantiller.tests import base

WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
ALONE = turns.FleetPosition(0, 1)
PLAYED_S = 160.0
STEP_S = 0.1
GROUPS = 3
FLEETS = (13, 112, 312)


class Daemon(NamedTuple):
    """A daemon with requests.

    Attributes:
        group: Number of its group.
        per_s: Requests a second that it could send to the server.
    """

    group: int
    per_s: float


def allowed(per_s):
    """Returns what a window may have."""
    return per_s * WINDOW_S * TOLERANCE + SLACK


def most(times):
    """Returns the most of any window."""
    found, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        found = max(found, last - first + 1)
    return found


class Fleet:
    """Daemons that take turns at one server.

    Attributes:
        counted: By how much a group's count is off: 0.5 counts half of it.
        restarts: Whether daemons are started again now and then.
        used: What each daemon has used.
        times: When the server got a request.
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
        self.used = [turns.TurnUsage(0.0) for _ in self.daemons]
        self.times = []

    def place(self, number):
        """Returns the place of a daemon, as its group counts it."""
        group = self.daemons[number].group
        members = [
            n for n, one in enumerate(self.daemons) if one.group == group
        ]
        count = math.ceil(len(members) * self.counted)
        rank = members.index(number) % count
        return turns.FleetPosition(rank, count, GROUPS, self.ahead_s[group])

    def play(self):
        """Sends for a while; returns the times of what was sent."""
        places = [self.place(number) for number in range(len(self.daemons))]
        for step in range(int(PLAYED_S / STEP_S)):
            now = step * STEP_S
            if self.restarts and step % 40 == 0:
                number = self.random.randrange(len(self.daemons))
                # One that starts is told the limit half a second later.
                self.used[number] = turns.TurnUsage(now + 0.5)
            for number, one in enumerate(self.daemons):
                if self.random.random() < one.per_s * STEP_S:
                    self._send(number, places[number], now)
        return self.times

    def _send(self, number, place, now):
        used = self.used[number]
        turn = turns.next_turn(place, "server", self.per_s, used, now)
        if turn <= now:
            self.used[number] = used._replace(last=turn)
            self.times.append(now)


class TurnsTest(base.TestCase):
    def check(self, times, per_s, least_use, what):
        self.assertLessEqual(most(times), allowed(per_s), what)
        self.assertGreaterEqual(len(times) / PLAYED_S, least_use * per_s, what)

    def test_limit_is_kept_and_used_at_each_size(self):
        for size in FLEETS:
            for per_s in (0.7, 1.3, 6.0):
                times = Fleet(size, per_s, seed=1).play()
                self.check(times, per_s, 0.5, (size, per_s))
                # Turns of a window and of the time for which they are kept.
                bound = per_s * (WINDOW_S + turns.VALID_S) + GROUPS
                self.assertLessEqual(most(times), bound, (size, per_s))

    def test_limit_is_kept_where_the_fleet_is_counted_half_or_double(self):
        for size in FLEETS:
            for counted, least_use in ((0.5, 0.5), (2.0, 0.25)):
                times = Fleet(size, 1.3, seed=2, counted=counted).play()
                self.check(times, 1.3, least_use, (size, counted))

    def test_limit_is_kept_while_daemons_are_started_again(self):
        for size in FLEETS:
            times = Fleet(size, 1.3, seed=3, restarts=True).play()
            self.check(times, 1.3, 0.4, size)

    def test_few_daemons_with_many_requests_use_the_limit(self):
        times = Fleet(3, 20.0, seed=4, load=30.0).play()
        self.check(times, 20.0, 0.9, "few")

    def test_turn_that_was_not_used_in_time_is_lost(self):
        used = turns.TurnUsage(0.0)
        turn = turns.next_turn(ALONE, "server", 0.2, used, 100.0)
        late = turns.next_turn(
            ALONE, "server", 0.2, used, turn + turns.VALID_S + 0.1
        )
        self.assertGreater(late, turn + turns.VALID_S + 0.1)

    def test_turn_is_used_once_also_if_the_place_changes_a_little(self):
        rng = random.Random(5)
        for _ in range(200):
            place = turns.FleetPosition(
                rng.randrange(30), 30, 3, rng.uniform(0, 9)
            )
            moved = place._replace(ahead_s=place.ahead_s + rng.uniform(-1, 1))
            first = turns.next_turn(
                place, "s", 1.3, turns.TurnUsage(0.0), 500.0
            )
            used = turns.TurnUsage(0.0, first)
            again = turns.next_turn(moved, "s", 1.3, used, first)
            self.assertGreater(again, first + turns.VALID_S)

    def test_limit_of_nothing_leaves_a_try_now_and_then(self):
        times = Fleet(13, 0.0, seed=6).play()
        self.assertLessEqual(most(times), 1 + GROUPS)
        self.assertGreater(len(times), 5)
