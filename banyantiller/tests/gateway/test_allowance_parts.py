"""Tests of allowances while settings name other relays."""

import asyncio
import functools
import random
from types import SimpleNamespace

from banyantiller.gateway import (
    allowance_link,
    allowance_parts,
    allowances,
    relays,
    routes,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.tests import base
from banyantiller.tests.gateway import relay_harness

ADDRESSES = relay_harness.addresses(relay_harness.DAEMON_PORTS)
FIRST = ADDRESSES[:3]
WINDOW_S = 5.0
# Requests that the rule allows beyond an allowance: a share and a number.
TOLERANCE = 0.1
SLACK = 20
# Settings follow a change within this time, at each daemon by itself.
SETTINGS_LAG_S = 3.0
PER_S = 139.0
BURST = 139.0
USUAL_PER_S = 87.0
KEY = "a828m82thhkmgjqnirth"


class SimulatedAllowances(allowances.Allowances):
    """Allowances of a daemon whose messages pass simulated links.

    Attributes:
        fleet: The simulation.
    """

    def __init__(self, fleet, fleet_relays, settings, rng):
        self.fleet = fleet
        view = SimpleNamespace(routes=fleet.routes)
        super().__init__(view, fleet_relays, settings, rng)
        self.relay_grants.part.query = fleet.query_part

    def _link_to(self, address):
        send = functools.partial(self.fleet.send, address)
        return allowance_link.RelayLink(send, address)


class FleetSimulation:
    """Daemons each of which may become a relay.

    Attributes:
        organisation: The organisation, in the document of each daemon.
        daemons: Allowances by the address of the daemon.
        lost: Addresses of lost daemons.
        outcomes: Loop time and refusal, if any, of each request.
        learned_at: Loop time at which a daemon last read its settings.
    """

    def __init__(self, count, per_s=PER_S, burst=BURST):
        self.organisation = types.Organisation("o", (), None, per_s, burst)
        document = types.Document(1, (), {}, organisations=(self.organisation,))
        self.routes = routes.RouteTable(document)
        self.random = random.Random(1)
        self.loop = asyncio.get_running_loop()
        self.lost = set()
        self.outcomes = []
        self.learned_at = {}
        names = [*ADDRESSES, *(f"10.0.0.{n}:1" for n in range(count))]
        self.daemons = {name: self.make_daemon(name) for name in names[:count]}

    def make_daemon(self, address):
        """Returns the allowances of a daemon."""
        settings = options.Settings(
            daemon=address,
            zone="z",
            callers="",
            ready="",
            store="",
            control=address,
            seeds=FIRST,
            allowance_window_s=WINDOW_S,
            allowance_slack=SLACK,
        )
        rng = random.Random(address)
        fleet_relays = relays.Relays.from_settings(settings, rng)
        return SimulatedAllowances(self, fleet_relays, lambda: settings, rng)

    async def send(self, address, fields):
        """Delivers a message after 2 ms; lost daemons time out."""
        if address in self.lost:
            await asyncio.sleep(allowance_link.ASK_TIMEOUT_S)
            return None
        await asyncio.sleep(0.001)
        reply = await self.daemons[address]._grant_here(fields)
        await asyncio.sleep(0.001)
        return reply

    async def query_part(self, address):
        """Returns what a relay grants."""
        if address in self.lost:
            await asyncio.sleep(allowance_parts.QUERY_TIMEOUT_S)
            return None
        await asyncio.sleep(0.002)
        return self.daemons[address].relay_grants.part.count or 0

    def name_relays(self, addresses, lag_s=SETTINGS_LAG_S):
        """Names relays; each daemon learns of it within a time."""
        for address, daemon in self.daemons.items():
            at = self.loop.time() + self.random.uniform(0, lag_s)
            # A daemon never goes back to settings that it read before.
            at = max(at, self.learned_at.get(address, 0.0) + 0.01)
            self.learned_at[address] = at
            self.loop.call_at(at, daemon.fleet_relays.update, addresses)

    async def play(self, per_s, for_s):
        """Sends requests at random times to random daemons."""
        until = self.loop.time() + for_s
        tasks = []
        while self.loop.time() < until:
            running = [a for a in self.daemons if a not in self.lost]
            daemon = self.daemons[self.random.choice(running)]
            tasks.append(asyncio.ensure_future(self.request(daemon)))
            await asyncio.sleep(self.random.expovariate(per_s))
        await asyncio.gather(*tasks)

    async def request(self, daemon):
        """Asks for one request."""
        asked_at = self.loop.time()
        admission = await daemon.admit(self.organisation)
        if admission.error_kind is None:
            self.outcomes.append((self.loop.time(), None))
        else:
            self.outcomes.append((asked_at, admission.error_kind))

    def served_share(self, since):
        """Returns the share of requests since a time that were admitted."""
        found = [refusal for at, refusal in self.outcomes if at >= since]
        return found.count(None) / len(found)

    def worst_window(self):
        """Returns the most requests that were admitted in one window."""
        times = sorted(at for at, refusal in self.outcomes if refusal is None)
        last, worst = 0, 0
        for first, at in enumerate(times):
            while last < len(times) and times[last] <= at + WINDOW_S:
                last += 1
            worst = max(worst, last - first)
        return worst

    async def close(self):
        """Ends the links of all daemons."""
        for daemon in self.daemons.values():
            await daemon.close()


async def lose_one(fleet):
    """A relay is lost, and settings name another."""
    fleet.lost.add(FIRST[0])
    await asyncio.sleep(SETTINGS_LAG_S)
    fleet.name_relays([*FIRST[1:], ADDRESSES[3]])


async def lose_all(fleet):
    """All relays are lost at once."""
    fleet.lost.update(FIRST)
    await asyncio.sleep(SETTINGS_LAG_S)
    fleet.name_relays(ADDRESSES[3:6])


async def name_others(fleet):
    """Other daemons become relays, and those of before live on."""
    fleet.name_relays(ADDRESSES[3:6])


async def move_and_return(fleet):
    """A relay is replaced, and becomes one again soon after."""
    fleet.name_relays([*FIRST[1:], ADDRESSES[3]])
    await asyncio.sleep(2.0)
    fleet.name_relays(FIRST)


async def change_twice(fleet):
    """Settings name other relays twice within a second."""
    fleet.name_relays([*FIRST[1:], ADDRESSES[3]])
    await asyncio.sleep(1.0)
    fleet.name_relays([FIRST[2], *ADDRESSES[3:5]])


async def name_fewer(fleet):
    """Settings name one relay less, and then one more."""
    fleet.name_relays(FIRST[:2])
    await asyncio.sleep(4.0)
    fleet.name_relays(FIRST)


CHANGES = (
    lose_one,
    lose_all,
    name_others,
    move_and_return,
    change_twice,
    name_fewer,
)


class AllowancesWhileRelaysChangeTest(base.TestCase):
    """Guards against two sets of relays that both grant the whole allowance."""

    def simulate(self, change, per_s, count, allowance=(PER_S, BURST)):
        """Returns the fleet after a change of its relays during a load."""

        async def whole():
            fleet = FleetSimulation(count, *allowance)
            # The relays have been running for a while.
            await asyncio.sleep(60)
            load = asyncio.ensure_future(fleet.play(per_s, 14))
            await asyncio.sleep(2.0)
            await change(fleet)
            await load
            fleet.settled_at = fleet.loop.time()
            await fleet.play(per_s, 4)
            await fleet.close()
            return fleet

        return self.run_paused(whole())

    def check_limit(self, fleet, case):
        organisation = fleet.organisation
        allowed = organisation.per_s * WINDOW_S + organisation.burst
        limit = allowed * (1 + TOLERANCE) + SLACK
        self.assertLessEqual(fleet.worst_window(), limit, case)

    def test_surge_never_gets_more_than_the_allowance(self):
        for count in (6, 13, 135):
            for change in CHANGES:
                for surge in (2, 10):
                    fleet = self.simulate(change, surge * PER_S, count)
                    case = (count, change.__name__, surge)
                    self.check_limit(fleet, case)
                    # The whole allowance is granted again.
                    settled = fleet.served_share(fleet.settled_at)
                    self.assertGreater(settled, 0.8 / surge, case)

    def test_surge_in_a_large_fleet(self):
        for change in (lose_all, name_others):
            fleet = self.simulate(change, 4 * PER_S, 312)
            self.check_limit(fleet, change.__name__)

    def test_usual_load_is_served_once_settings_name_running_relays(self):
        for count in (6, 13, 135):
            for change in CHANGES:
                fleet = self.simulate(change, USUAL_PER_S, count)
                settled = fleet.served_share(fleet.settled_at)
                self.assertEqual(1.0, settled, (count, change.__name__))

    def test_relays_that_live_on_serve_the_usual_load_all_the_while(self):
        for change in (name_others, move_and_return, change_twice, name_fewer):
            fleet = self.simulate(change, USUAL_PER_S, 13)
            served = fleet.served_share(0.0)
            # Of 18 s, one relay's part is granted while settings follow.
            least = 1 - (1 - PER_S / 3 / USUAL_PER_S) * SETTINGS_LAG_S / 18
            self.assertGreater(served, least, change.__name__)

    def test_small_organisation_keeps_its_limit(self):
        for change in CHANGES:
            fleet = self.simulate(change, 11.0, 135, (1.1, 1.1))
            self.check_limit(fleet, change.__name__)

    def test_relay_with_outdated_settings_delays_others_for_limited_time(self):
        async def body():
            fleet = FleetSimulation(6)
            await asyncio.sleep(60)
            for address in ADDRESSES[2:6]:
                fleet.daemons[address].fleet_relays.update(ADDRESSES[3:6])
            counts = []
            for _ in range(2):
                await asyncio.sleep(allowance_parts.MAX_WAIT_S / 2 + 0.5)
                grants = fleet.daemons[ADDRESSES[3]].relay_grants
                counts.append(grants.part.count)
            await fleet.close()
            return counts

        self.assertEqual([None, 3], self.run_paused(body()))


class AllowancesOfReplacedRelaysTest(base.TestCase):
    """Guards against limited callers that are refused once relays changed."""

    def play(self, body):
        """Runs `body(fleet)` in a fleet of daemons and real messages."""

        async def whole(fleet):
            organisation = {"name": "north", "apiKeys": [KEY]}
            organisation |= {"ratePerS": 50, "burst": 50}
            fleet.harness.put_document(organisations=[organisation])
            await asyncio.sleep(1.0)
            return await body(fleet)

        return relay_harness.play(whole)

    async def call_all(self, fleet, number):
        """Sends requests to the running daemons in turn; returns statuses."""
        statuses = []
        for index in range(number):
            daemons = list(fleet.running.values())
            reply = await fleet.send_request(
                daemons[index % len(daemons)], credential=KEY
            )
            statuses.append(reply.status)
            await asyncio.sleep(0.1)
        return statuses

    def test_callers_are_served_after_relays_were_replaced_one_by_one(self):
        async def body(fleet):
            await self.call_all(fleet, 20)
            await fleet.replace_relays()
            return await self.call_all(fleet, 40)

        self.assertEqual({200}, set(self.play(body)))

    def test_callers_are_served_by_daemons_that_start_without_relays(self):
        """All daemons lose power, and those that settings named stay away."""

        async def body(fleet):
            for port in list(fleet.running):
                await fleet.lose(port)
            for port in (7004, 7005):
                await fleet.harness.start_gateway(
                    relay_harness.addresses((7001, 7002, 7003)),
                    f"again{port}",
                    port,
                )
                fleet.running[port] = fleet.harness.gateway
                fleet.daemons.append(fleet.harness.gateway)
            await asyncio.sleep(relay_harness.SETTINGS_LAG_S)
            fleet.name_relays([7004, 7005])
            await asyncio.sleep(2.0)
            return await self.call_all(fleet, 40)

        self.assertEqual({200}, set(self.play(body)))

    def test_refusal_without_relays_names_when_they_are_asked_again(self):
        async def body(fleet):
            for port in (7001, 7002, 7003):
                await fleet.lose(port)
            daemon = fleet.running[7004]
            return [
                await fleet.send_request(daemon, credential=KEY)
                for _ in range(60)
            ]

        replies = self.play(body)
        refused = [one for one in replies if one.status == 503]
        self.assertNotEqual([], refused)
        for reply in refused:
            self.assertEqual("no", reply.headers["request-ran"])
            self.assertGreater(float(reply.headers["retry-after"]), 0)


class QueryPartTest(base.TestCase):
    def test_relay_of_an_earlier_build_counts_as_granting(self):
        async def body(fleet):
            daemon = fleet.running[7001]
            address = relay_harness.addresses((7001,))[0]
            found = [await allowance_parts.query_part(address)]
            control = fleet.harness.controls[1]
            control.handler = daemon.store_view.mirror.handle
            found.append(await allowance_parts.query_part(address))
            await fleet.lose(7001)
            return [*found, await allowance_parts.query_part(address)]

        self.assertEqual([3, 1, None], relay_harness.play(body))
