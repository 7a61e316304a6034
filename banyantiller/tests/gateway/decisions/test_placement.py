"""Tests which zones and servers requests use, given what the fleet knows."""

import collections
import math
import random

from banyantiller.gateway import types
from banyantiller.gateway.decisions import (
    placement,
    request_kinds,
    selection,
    service_load,
)
from banyantiller.tests import base
from banyantiller.tests.gateway.decisions import fleet_simulation as fleet
from banyantiller.tests.gateway.decisions.test_kept_connections import entries

# Rates of the podcast deployment for 40 of its 54 servers in a zone.
RATES = {fleet.READ: 40.0, fleet.PUBLICATION: 21.9}
FULL = service_load.ZoneLoad(40, 0.0, 0.0, 0.3, 1.0, 0.0, 50.0, 0.5)
HALF = FULL._replace(free_share=0.5, idle_share=0.3)
FREE = FULL._replace(free_share=0.9, idle_share=0.8)


def swinging(zone, route, now):
    """Demand that varies by half in 13 s, at another phase in each zone."""
    phase = now / 13 + int(zone[1]) / 3
    return RATES[route] * (1 + 0.5 * math.sin(2 * math.pi * phase))


def moving(zone, route, now):
    """Half of the callers of one zone move to another one at 10 s."""
    factors = {"z0": 0.5, "z1": 1.5} if now >= 10 else {}
    return RATES[route] * factors.get(zone, 1.0)


def moved_before(zone, route, _now):
    return moving(zone, route, 10.0)


def route(name, objective_s):
    return types.Route(
        name, "h", "/", name == "read", 5.0, objective_s, 0, 2, ()
    )


class RemoteZonesTest(base.TestCase):
    def share(self, local, **others):
        return placement.remote_zones(local, others, 2)

    def test_zone_with_enough_idle_servers_keeps_its_requests(self):
        self.assertEqual(0.0, self.share(FREE, b=FREE).share)
        self.assertEqual(0.0, self.share(FREE, b=FULL).share)

    def test_share_rises_to_an_even_split_when_the_zone_is_full(self):
        shares = [
            self.share(FULL._replace(idle_share=idle), b=FREE, c=FREE).share
            for idle in (0.6, 0.4, 0.2, 0.0)
        ]
        self.assertEqual(sorted(shares), shares)
        self.assertAlmostEqual(2 / 3, shares[-1])

    def test_zones_of_equal_load_exchange_nothing(self):
        """Guards against costly traffic that frees no server anywhere."""
        for load in (FULL, HALF, FREE):
            self.assertEqual(0.0, self.share(load, b=load).share)

    def test_zone_of_unknown_or_old_load_gets_nothing(self):
        old = FREE._replace(age_s=placement.MAX_LOAD_AGE_S + 0.1)
        self.assertEqual({"b"}, set(self.share(FULL, b=HALF, c=old).weights))
        self.assertIsNone(self.share(FULL, b=None, c=old))
        self.assertIsNone(self.share(None, b=FREE))

    def test_daemons_with_the_same_knowledge_spread(self):
        """Guards against all daemons choosing the zone with the most room."""
        zones = self.share(FULL, b=FREE, c=HALF)
        chosen = collections.Counter()
        for seed in range(3000):
            spill = placement.Spill()
            spill.follow(zones.share, 0.0)
            chosen[spill.choose_zone(zones, random.Random(seed))] += 1
        remote = chosen["b"] + chosen["c"]
        room = FREE.idle_share + HALF.idle_share
        self.assertAlmostEqual(zones.share, remote / 3000, delta=0.04)
        self.assertAlmostEqual(
            HALF.idle_share / room, chosen["c"] / remote, delta=0.04
        )

    def test_spill_has_hysteresis(self):
        """Guards against a log line for each small change of the loads."""
        spill = placement.Spill()
        changes = 0
        for step in range(200):
            before = spill.active
            spill.follow(0.08 + 0.03 * (-1) ** step, step * 1.0)
            changes += spill.active != before
        self.assertLessEqual(changes, 1)


class ZoneSimulationTest(base.TestCase):
    def test_swinging_demand(self):
        """Requests are as timely as by own probes, with less traffic.

        Equal load in all zones would take 0.5 / pi of the requests to another
        zone; more than that frees no server.
        """
        shared = fleet.Simulation().run(19, swinging).between(3, 18)
        before = fleet.Simulation(shared=False).run(19, swinging)
        before = before.between(3, 18)
        self.assertLess(fleet.crossing_share(shared), 0.5 / math.pi)
        self.assertLess(
            fleet.crossing_share(shared), fleet.crossing_share(before)
        )
        self.assertGreater(
            fleet.served_in_time(shared), fleet.served_in_time(before) - 0.01
        )

    def test_half_of_the_callers_move_to_another_zone(self):
        """Two seconds later as many requests are in time as before.

        Traffic between zones is bounded by what equal loads take: half of a
        zone's requests, of three zones.
        """
        played = fleet.Simulation().run(19, moving)
        before = fleet.served_in_time(played.between(3, 10))
        after = played.between(12, 18)
        self.assertGreater(fleet.served_in_time(after), before - 0.02)
        self.assertLess(fleet.crossing_share(after), 0.5 / 3)

    def test_constant_demand_does_not_oscillate(self):
        """Guards against daemons that all leave, and all come back.

        By chance alone, the share of a second with n requests has the deviation
        sqrt(p (1 - p) / n); twice that is allowed.
        """
        played = fleet.Simulation().run(30, moved_before)
        seconds = [played.between(t, t + 1, zone="z1") for t in range(4, 29)]
        shares = [fleet.crossing_share(jobs) for jobs in seconds]
        mean = sum(shares) / len(shares)
        deviation = math.sqrt(
            sum((share - mean) ** 2 for share in shares) / len(shares)
        )
        count = sum(map(len, seconds)) / len(seconds)
        self.assertLess(deviation, 2 * math.sqrt(mean * (1 - mean) / count))

    def test_unknown_loads_change_nothing(self):
        """Guards against a daemon that takes a missing load for a full zone."""
        unknown = fleet.Simulation()
        unknown.see = lambda own, zone, load: None
        unknown.run(6, swinging)
        before = fleet.Simulation(shared=False).run(6, swinging)
        self.assertEqual(
            [job.server_zone for job in before.requests],
            [job.server_zone for job in unknown.requests],
        )

    def test_wrongly_reported_zone(self):
        """A full zone that is reported free loses no more than 0.02 in time."""
        found = []
        for reported in (None, FREE):
            played = fleet.Simulation()
            played.see = lambda own, zone, load, wrong=reported: (
                wrong if wrong and zone == "z1" and own != "z1" else load
            )
            played.run(15, moved_before)
            found.append(fleet.served_in_time(played.between(3, 14)))
        self.assertGreater(found[1], found[0] - 0.02)

    def test_zones_that_are_cut_from_each_other_serve_themselves(self):
        """A cut begins at 6 s; loads of the other side age and are dropped."""
        played = fleet.Simulation()

        def near(own, zone):
            return played.now < 6 or (own == "z0") == (zone == "z0")

        played.reachable = near
        played.see = lambda own, zone, load: load if near(own, zone) else None
        played.run(16, lambda zone, route, now: RATES[route])
        cut_off = played.between(8, 15, zone="z0")
        before = played.between(2, 6)
        self.assertLessEqual({job.server_zone for job in cut_off}, {"z0", None})
        self.assertGreater(
            fleet.served_in_time(cut_off), fleet.served_in_time(before) - 0.02
        )


class RequestKindsTest(base.TestCase):
    def record(self, kinds, now=0.0, slower=1.0):
        return [
            kinds.record("s", route(name, objective_s), slower * usual_s, now)
            for name, objective_s, usual_s in (
                ("read", 0.618, 0.22),
                ("publication", 1.519, 0.29),
                ("charge", 0.41, 0.15),
            )
        ]

    def test_kinds_of_the_feed_are_told_apart_also_when_servers_are_slow(self):
        for slower in (1.0, 1.3):
            kinds = request_kinds.RequestKinds()
            self.record(kinds, slower=slower)
            self.assertEqual(
                [False, True, False], self.record(kinds, slower=slower)
            )

    def test_service_with_one_kind_keeps_nothing_apart(self):
        for tolerance in (2.8, 9.0):
            kinds = request_kinds.RequestKinds()
            one = route("r", tolerance)
            self.assertIsNone(kinds.record("s", one, 1.0, 0.0))

    def test_absent_kind_is_forgotten(self):
        kinds = request_kinds.RequestKinds()
        self.record(kinds)
        later = request_kinds.KIND_KEPT_S + 1
        read = route("read", 0.618)
        self.assertIsNone(kinds.record("s", read, 0.22, later))

    def test_last_slots_are_left_only_to_requests_that_may_run_twice(self):
        """Guards against last slots that nobody uses."""
        kinds = request_kinds.RequestKinds()
        kinds.record("s", route("charge", 0.41), 0.15, 0.0)
        self.assertFalse(kinds.has_idempotent("s"))
        kinds.record("s", route("read", 0.618), 0.22, 0.0)
        self.assertTrue(kinds.has_idempotent("s"))

    def test_shared_part_grows_with_the_scarcity_of_idle_servers(self):
        """Guards against pairs of requests while others find idle servers."""
        self.assertEqual(0.0, request_kinds.shared_part(None))
        self.assertEqual(0.0, request_kinds.shared_part(FREE))
        old = FULL._replace(age_s=placement.MAX_LOAD_AGE_S + 0.1)
        self.assertEqual(0.0, request_kinds.shared_part(old))
        self.assertLess(
            request_kinds.shared_part(HALF), request_kinds.shared_part(FULL)
        )

    def test_restarted_server_gets_a_new_position(self):
        (server,) = [one.server for one in entries(1, 0)]
        positions = {
            request_kinds.position(server._replace(started_ms=n))
            for n in range(50)
        }
        self.assertEqual(50, len(positions))

    def test_burst_of_tolerant_requests_leaves_others_alone(self):
        """Guards against a burst of publications that makes reads late.

        Calculated for publications beside another request: 0.006 are late.
        """

        def burst(_zone, route, now):
            factor = 2.5 if route is fleet.PUBLICATION and now > 3 else 1.0
            return 1.3 * factor * RATES[route] / 2

        found = {}
        for kinds in (False, True):
            reads, others = [], []
            for seed in (1, 2):
                played = fleet.Simulation(
                    per_zone=20, kinds=kinds, seed=seed
                ).run(9.5, burst)
                reads += played.between(4, 8, fleet.READ)
                others += played.between(4, 8, fleet.PUBLICATION)
            found[kinds] = (
                sum(job.shared for job in reads) / len(reads),
                fleet.served_in_time(reads),
            )
            in_time = fleet.served_in_time(others)
        self.assertLess(found[True][0], found[False][0])
        self.assertGreater(found[True][1], found[False][1])
        self.assertGreater(in_time, 1 - 0.006)


class FullResetsTest(base.TestCase):
    LAST = types.Load(1, 0, 2, 1.0)

    def test_reset_at_the_last_slot_is_learned_for_its_service_for_a_while(
        self,
    ):
        resets = request_kinds.FullResets()
        resets.record_reset("s", self.LAST, 0.01, 0.2, 5.0)
        self.assertTrue(resets.resets_when_full("s", 6.0))
        self.assertFalse(resets.resets_when_full("t", 6.0))
        later = 5.1 + request_kinds.RESET_KEPT_S
        self.assertFalse(resets.resets_when_full("s", later))

    def test_server_that_stops_does_not_count(self):
        resets = request_kinds.FullResets()
        resets.record_reset("s", self.LAST, 0.15, 0.2, 5.0)
        resets.record_reset("s", types.Load(0, 0, 2, 1.0), 0.01, 0.2, 5.0)
        resets.record_reset("s", None, 0.01, 0.2, 5.0)
        self.assertFalse(resets.resets_when_full("s", 5.0))

    def test_last_slot_is_left_to_requests_that_may_run_twice(self):
        for avoids in (False, True):
            kind = request_kinds.RequestKind(True, 1.0, avoids)
            for entry in entries(5, 0):
                self.assertEqual(
                    not avoids, kind.may_take_last_slot(entry.server)
                )


class SelectionTest(base.TestCase):
    def test_draws_are_the_same_without_known_loads(self):
        """Guards against recorded decisions that can't be replayed."""
        registered = entries(20, 30)
        drawn = []
        for now in (0.0, 7.0):
            selector = selection.ServerSelector("d1", "z", random.Random(3))
            rounds = []
            for _ in range(60):
                first = selector.first_probes("s", registered, now=now)
                more = selector.more_probes("s", registered, first, [])
                rounds.append((first.probed, more))
            drawn.append(rounds)
        self.assertEqual(*drawn)
