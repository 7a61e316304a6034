"""Tests of the store's calls after all daemons of a fleet start at once."""

import asyncio
from typing import NamedTuple

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
# Daemons besides those that are asked, in a small and in a larger fleet.
SMALL_FLEET = 4
LARGE_FLEET = 12
# Enough that no caller is turned away.
SERVER_SLOTS = 100
# A daemon that was asked in vain is not asked for 2 s; twice that, and the time
# until those that are asked listen, cover all calls that a start leads to.
RUN_S = 8.0
# A caller that waits needs the document, the list of servers and that of the
# evacuated zones. While nobody can tell them, each daemon with such a caller
# reads all three once. A watch serves
# no caller that waits: what was listed is in force, and those that are asked
# tell the changes once they listen.
CALLS_FOR_WAITING_CALLERS = 3


class FleetStart(NamedTuple):
    """How a fleet starts.

    Attributes:
        late_s: How much later those start that are asked, in seconds.
        silent: Whether they answer nothing before, in place of refusing.
        callers: Whether a caller waits at each daemon.
    """

    relay_delay_s: float
    unresponsive: bool = False
    callers: bool = True


class StartOutcome(NamedTuple):
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

    def __init__(self, env, start):
        self.env = env
        self.start = start
        self.non_relays = []
        self.relays = []
        self.callers = []

    async def play(self, size):
        """Starts `size` daemons and those that they ask."""
        await self._prepare()
        for number in range(size):
            await self._add(self.non_relays, f"other{number}")
        await asyncio.sleep(self.start.relay_delay_s)
        for port in PORTS:
            await self._add(self.relays, f"asked{port}", port)
        await asyncio.sleep(RUN_S - self.start.relay_delay_s)
        answers = await asyncio.gather(*self.callers)
        return StartOutcome(
            sum(one.store_view.reader.calls.total() for one in self._all()),
            sum(
                one.store_view.reader.calls["watch"] for one in self.non_relays
            ),
            {answer.status for answer in answers},
        )

    async def close(self):
        """Closes all daemons."""
        for one in self._all():
            one.listener.close()
            await one.close()

    async def _prepare(self):
        for instance, one in self.env.servers.items():
            one.slots = SERVER_SLOTS
            self.env.register(instance)
        if self.start.unresponsive:
            for port in PORTS:
                await self.env.make_unresponsive(port)

    async def _add(self, daemons, name, port=0):
        # Each asks the others in an order of its own.
        self.env.seed += 1
        await self.env.start_gateway(
            SEEDS, name, port, apply_s=3.0, leave_s=3.0
        )
        daemons.append(self.env.gateway)
        if self.start.callers:
            answer = asyncio.ensure_future(self.env.request(name))
            self.callers.append(answer)
            # Its connection is opened before the next daemon starts.
            await asyncio.sleep(0)

    def _all(self):
        return self.non_relays + self.relays


class FleetStartTest(base.TestCase):
    """Calls must not grow with a fleet by more than waiting callers need.

    A whole day's calls are to be some hundreds for a fleet of hundreds, so
    those of a start must stay below a few for each daemon.
    """

    def play(self, size, start):
        """Plays the start of a fleet and returns its outcome."""

        async def whole():
            async with harness.GatewayHarness() as env:
                initial_gateway = env.gateway
                fleet = Fleet(env, start)
                try:
                    return await fleet.play(size)
                finally:
                    await fleet.close()
                    env.gateway = initial_gateway

        return self.run_paused(whole())

    def check(self, start, calls_needed):
        """Checks that calls grow by those needed for each daemon at most."""
        small = self.play(SMALL_FLEET, start)
        large = self.play(LARGE_FLEET, start)
        growth = large.calls - small.calls
        self.assertLessEqual(
            growth, calls_needed * (LARGE_FLEET - SMALL_FLEET), start
        )
        self.assertEqual(0, large.watches, start)
        return large

    def check_with_callers(self, start):
        """Checks a start with a caller at each daemon."""
        found = self.check(start, CALLS_FOR_WAITING_CALLERS)
        self.assertEqual({200}, found.statuses, start)

    def test_store_calls_do_not_grow_with_the_fleet_without_callers(self):
        for unresponsive in (False, True):
            for relay_delay_s in (0.0, 0.2, 0.5):
                self.check(
                    FleetStart(relay_delay_s, unresponsive, callers=False), 0
                )

    def test_waiting_callers_cost_one_list_per_kind_and_daemon(self):
        for unresponsive in (False, True):
            for relay_delay_s in (0.0, 0.2, 0.5):
                self.check_with_callers(FleetStart(relay_delay_s, unresponsive))

    def test_relays_that_refuse_connections_for_a_second(self):
        self.check_with_callers(FleetStart(1.0))

    def test_relays_that_are_unresponsive_for_a_second(self):
        """A busy machine needs up to 1 s until its daemon listens."""
        self.check_with_callers(FleetStart(1.0, unresponsive=True))

    def test_relays_that_start_two_seconds_late(self):
        """What was listed is still young enough to rely on others."""
        self.check_with_callers(FleetStart(2.0))
