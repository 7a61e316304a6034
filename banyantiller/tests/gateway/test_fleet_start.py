"""Tests of the store's calls after all daemons of a fleet start at once."""

import asyncio
from typing import NamedTuple

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
# Daemons besides those that are asked, in a small and in a larger fleet.
FEW = 4
MANY = 12
# Enough that no caller is turned away.
SLOTS = 100
# A daemon that was asked in vain is not asked for 2 s; twice that, and the time
# until those that are asked listen, cover all calls that a start leads to.
PLAYED_S = 8.0
# A caller that waits needs the document, the list of servers and that of the
# evacuated zones. While nobody can tell them, each daemon with such a caller
# reads all three once. A watch serves
# no caller that waits: what was listed is in force, and those that are asked
# tell the changes once they listen.
CALLS_FOR_WAITING_CALLERS = 3


class Start(NamedTuple):
    """How a fleet starts.

    Attributes:
        late_s: How much later those start that are asked, in seconds.
        silent: Whether they answer nothing before, in place of refusing.
        callers: Whether a caller waits at each daemon.
    """

    late_s: float
    silent: bool = False
    callers: bool = True


class Outcome(NamedTuple):
    """What a start led to.

    Attributes:
        calls: Calls to the store by all daemons.
        watches: Calls for changes by daemons that nobody asks.
        statuses: Statuses that callers got.
    """

    calls: int
    watches: int
    statuses: set[int]


class Fleet:
    """A fleet that starts at once.

    Attributes:
        place: The world that it is in.
        start: How it starts.
        others: Daemons that nobody asks.
        asked: Daemons that all others ask.
        callers: Callers' requests that are under way.
    """

    def __init__(self, place, start):
        self.place = place
        self.start = start
        self.others = []
        self.asked = []
        self.callers = []

    async def play(self, size):
        """Starts `size` daemons and those that they ask."""
        await self._prepare()
        for number in range(size):
            await self._add(self.others, f"other{number}")
        await asyncio.sleep(self.start.late_s)
        for port in PORTS:
            await self._add(self.asked, f"asked{port}", port)
        await asyncio.sleep(PLAYED_S - self.start.late_s)
        answers = await asyncio.gather(*self.callers)
        return Outcome(
            sum(one.store_view.reader.calls.total() for one in self._all()),
            sum(one.store_view.reader.calls["watch"] for one in self.others),
            {answer.status for answer in answers},
        )

    async def close(self):
        """Closes all daemons."""
        for one in self._all():
            one.listener.close()
            await one.close()

    async def _prepare(self):
        for instance, one in self.place.servers.items():
            one.slots = SLOTS
            self.place.register(instance)
        if self.start.silent:
            for port in PORTS:
                await self.place.make_unresponsive(port)

    async def _add(self, daemons, name, port=0):
        # Each asks the others in an order of its own.
        self.place.seed += 1
        await self.place.start_gateway(
            SEEDS, name, port, apply_s=3.0, leave_s=3.0
        )
        daemons.append(self.place.gateway)
        if self.start.callers:
            answer = asyncio.ensure_future(self.place.request(name))
            self.callers.append(answer)
            # Its connection is opened before the next daemon starts.
            await asyncio.sleep(0)

    def _all(self):
        return self.others + self.asked


class CommonStartTest(base.TestCase):
    """Calls must not grow with a fleet by more than waiting callers need.

    A whole day's calls are to be some hundreds for a fleet of hundreds, so
    those of a start must stay below a few for each daemon.
    """

    def play(self, size, start):
        """Plays the start of a fleet and returns its outcome."""

        async def whole():
            async with harness.GatewayHarness() as place:
                alone = place.gateway
                fleet = Fleet(place, start)
                try:
                    return await fleet.play(size)
                finally:
                    await fleet.close()
                    place.gateway = alone

        return self.run_paused(whole())

    def check(self, start, calls_needed):
        """Checks that calls grow by those needed for each daemon at most."""
        few = self.play(FEW, start)
        many = self.play(MANY, start)
        grown = many.calls - few.calls
        self.assertLessEqual(grown, calls_needed * (MANY - FEW), start)
        self.assertEqual(0, many.watches, start)
        return many

    def check_with_callers(self, start):
        """Checks a start with a caller at each daemon."""
        found = self.check(start, CALLS_FOR_WAITING_CALLERS)
        self.assertEqual({200}, found.statuses, start)

    def test_without_callers_calls_do_not_grow_with_the_fleet(self):
        for silent in (False, True):
            for late_s in (0.0, 0.2, 0.5):
                self.check(Start(late_s, silent, callers=False), 0)

    def test_callers_cost_one_list_of_each_kind_a_daemon(self):
        for silent in (False, True):
            for late_s in (0.0, 0.2, 0.5):
                self.check_with_callers(Start(late_s, silent))

    def test_refusing_daemons_that_are_a_second_late(self):
        self.check_with_callers(Start(1.0))

    def test_silent_daemons_that_are_a_second_late(self):
        """A busy machine needs up to 1 s until its daemon listens."""
        self.check_with_callers(Start(1.0, silent=True))

    def test_daemons_that_are_asked_two_seconds_late(self):
        """What was listed is still young enough to rely on others."""
        self.check_with_callers(Start(2.0))
