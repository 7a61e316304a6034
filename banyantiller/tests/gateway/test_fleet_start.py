"""Tests of the load on the store when all daemons start at once."""

import asyncio
from typing import NamedTuple

from banyantiller.tests import base
from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
# Daemons besides the relays, in a small and in a larger fleet.
SMALL_FLEET = 4
LARGE_FLEET = 12
# Enough that no call is rejected.
SERVER_SLOTS = 100
# A relay that failed to respond is not queried for 2 s. Twice that, and the
# time until the relays listen, cover all store calls that a start causes.
RUN_S = 8.0
# A waiting caller needs the document, the list of servers and the list of
# evacuated zones. While no relay can send them, each daemon with a waiting
# caller lists all three once. A watch helps no waiting caller: the lists are in
# force, and the relays send the changes once they listen.
CALLS_FOR_WAITING_CALLERS = 3


class FleetStart(NamedTuple):
    """How a fleet starts.

    Attributes:
        relay_delay_s: How much later the relays start, in seconds.
        unresponsive: Whether relays that have not started accept queries
            without a response, in place of refusing connections.
        callers: Whether a caller waits at each daemon.
    """

    relay_delay_s: float
    unresponsive: bool = False
    callers: bool = True


class StartOutcome(NamedTuple):
    """Calls and statuses that a start led to.

    Attributes:
        calls: Calls to the store by all daemons.
        watches: Watch calls to the store by daemons that are no relays.
        statuses: Statuses that callers received.
    """

    calls: int
    watches: int
    statuses: set[int]


class Fleet:
    """A fleet whose daemons start at the same time.

    Attributes:
        env: Harness with the store and the servers.
        start: How the fleet starts.
        non_relays: Daemons that are no relays.
        relays: Daemons through which all others read.
        callers: Running requests of callers.
    """

    def __init__(self, env, start):
        self.env = env
        self.start = start
        self.non_relays = []
        self.relays = []
        self.callers = []

    async def play(self, size):
        """Starts `size` daemons and their relays."""
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
        # With a seed of its own, each daemon has its own order of relays.
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
    """Calls to the store grow with the fleet only by what callers need.

    A fleet of hundreds of daemons should make some hundreds of calls in a whole
    day, so a start may cause only a few calls per daemon.
    """

    def play(self, size, start):
        """Runs the start of a fleet and returns its outcome."""

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
        """Checks that calls grow by `calls_needed` per daemon at most."""
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
        outcome = self.check(start, CALLS_FOR_WAITING_CALLERS)
        self.assertEqual({200}, outcome.statuses, start)

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
        """The lists are still fresh enough to rely on the relays."""
        self.check_with_callers(FleetStart(2.0))
