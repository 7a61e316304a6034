"""Tests of whom a daemon asks, by the connections that it keeps."""

import collections
import random

from banyantiller.gateway import servers
from banyantiller.gateway.decisions import selection
from banyantiller.tests import base
from banyantiller.tests.gateway.decisions.test_server_health import server

IDLE_S = 8.0
LASTS_S = 60.0


def entries(near, far):
    """Returns servers of the own zone and of another one."""
    return [servers.ServerEntry(server(f"n{n}"), 0.0) for n in range(near)] + [
        servers.ServerEntry(server(f"f{n}")._replace(zone="zone-b"), 0.0)
        for n in range(far)
    ]


class Daemon:
    """Asks servers and keeps connections to them for a while.

    Attributes:
        opened: New connections.
        asked: Questions by instance.
    """

    def __init__(self, seed, rate, known):
        self.random = random.Random(seed)
        self.rate = rate
        self.known = known
        self.selector = selection.ServerSelector(f"d{seed}", "z", self.random)
        self.expires = {}
        self.opened = 0
        self.requests = 0
        self.asked = collections.Counter()

    def play(self, near_enough):
        """Asks for requests that come at random for a minute.

        Args:
            near_enough: How often the own zone has a good server.
        """
        now = 0.0
        while now < LASTS_S:
            now += self.random.expovariate(self.rate)
            kept = frozenset(n for n, e in self.expires.items() if e > now)
            connected = selection.Connected(kept)
            first = self.selector.first_probes("s", self.known, connected)
            asked = list(first.probed)
            if self.random.random() > near_enough:
                asked += self.selector.more_probes("s", self.known, first, [])
            self.requests += 1
            for entry in asked:
                name = entry.server.instance
                self.asked[name] += 1
                self.opened += name not in kept
                self.expires[name] = now + IDLE_S
        return self


class KeptConnectionsTest(base.TestCase):
    def fleet(self, count, rate, near, far, near_enough):
        async def body():
            known = entries(near, far)
            return [
                Daemon(seed, rate, known).play(near_enough)
                for seed in range(count)
            ]

        return self.run_paused(body())

    def test_daemon_with_few_requests_opens_few_connections(self):
        """With 1.4 requests a second of a service it opened 0.9 for each."""
        found = self.fleet(30, 1.4, 45, 220, 0.8)
        opened = sum(one.opened for one in found)
        requests = sum(one.requests for one in found)
        self.assertLess(opened / requests, 0.4)

    def test_all_servers_are_asked_by_some(self):
        found = self.fleet(52, 1.4, 45, 220, 0.8)
        asked = sum((one.asked for one in found), collections.Counter())
        near = [asked[f"n{n}"] for n in range(45)]
        self.assertGreater(min(near), 0)
        self.assertLess(max(near), 5 * sum(near) / len(near))
        self.assertGreater(len(asked), 45 + 150)

    def test_few_daemons_reach_many_servers(self):
        found = self.fleet(3, 200.0, 200, 400, 0.8)
        asked = sum((one.asked for one in found), collections.Counter())
        self.assertEqual(600, len(asked))

    def test_servers_whose_connections_are_in_use_stay_as_chosen(self):
        async def body():
            known = entries(8, 0)
            names = [one.server.instance for one in known]
            busy = selection.Connected(frozenset(names[:4]), frozenset(names))
            found = []
            for connected in (selection.UNCONNECTED, busy):
                selector = selection.ServerSelector("d1", "z", random.Random(3))
                rounds = [
                    selector.first_probes("s", known, connected)
                    for _ in range(50)
                ]
                found.append([one.probed for one in rounds])
            return found

        without, same = self.run_paused(body())
        self.assertEqual(without, same)

    def test_other_zones_are_asked_as_often_as_before(self):
        """Connections decide which server of a zone is asked, not which zone.

        Else a zone that is short of servers would ask only its own.
        """

        async def body():
            known = entries(20, 100)
            counts = []
            for kept in (
                frozenset(),
                frozenset(one.server.instance for one in known[::2]),
                frozenset(one.server.instance for one in known[:20]),
            ):
                selector = selection.ServerSelector("d1", "z", random.Random(7))
                far = 0
                for _ in range(4000):
                    connected = selection.Connected(kept)
                    first = selector.first_probes("s", known, connected)
                    rest = selector.more_probes("s", known, first, [])
                    selector.local_zone_success["s"] = 1.0
                    asked = (*first.probed, *rest)
                    far += sum(one.server.zone != "z" for one in asked)
                counts.append(far / 4000)
            return counts

        without, half, only_near = self.run_paused(body())
        self.assertAlmostEqual(without, half, delta=0.1)
        self.assertAlmostEqual(without, only_near, delta=0.1)
