"""Tests which servers a daemon probes, given its open connections."""

import collections
import random

from banyantiller.gateway import servers
from banyantiller.gateway.decisions import selection
from banyantiller.tests import base
from banyantiller.tests.gateway.decisions.test_server_health import server

IDLE_S = 8.0
SIMULATED_S = 60.0


def entries(local, remote):
    """Returns servers of the local zone and of another one."""
    return [servers.ServerEntry(server(f"n{n}"), 0.0) for n in range(local)] + [
        servers.ServerEntry(server(f"f{n}")._replace(zone="zone-b"), 0.0)
        for n in range(remote)
    ]


class Daemon:
    """Probes servers and keeps its connections to them for a while.

    Attributes:
        expires: When a connection expires, by instance.
        opened: Number of new connections.
        requests: Number of requests.
        probed: Number of probes by instance.
    """

    def __init__(self, seed, rate, registered):
        self.random = random.Random(seed)
        self.rate = rate
        self.registered = registered
        self.selector = selection.ServerSelector(f"d{seed}", "z", self.random)
        self.expires = {}
        self.opened = 0
        self.requests = 0
        self.probed = collections.Counter()

    def simulate(self, local_success):
        """Probes for requests that arrive at random times for a minute.

        Args:
            local_success: Share of requests for which the local zone has a
                good server.
        """
        now = 0.0
        while now < SIMULATED_S:
            now += self.random.expovariate(self.rate)
            kept = frozenset(n for n, e in self.expires.items() if e > now)
            connected = selection.ConnectedServers(kept)
            first = self.selector.first_probes("s", self.registered, connected)
            probed = list(first.probed)
            if self.random.random() > local_success:
                probed += self.selector.more_probes(
                    "s", self.registered, first, []
                )
            self.requests += 1
            for entry in probed:
                name = entry.server.instance
                self.probed[name] += 1
                self.opened += name not in kept
                self.expires[name] = now + IDLE_S
        return self


class KeptConnectionsTest(base.TestCase):
    def fleet(self, count, rate, local, remote, local_success):
        async def body():
            registered = entries(local, remote)
            return [
                Daemon(seed, rate, registered).simulate(local_success)
                for seed in range(count)
            ]

        return self.run_paused(body())

    def test_daemon_with_few_requests_opens_few_connections(self):
        """At 1.4 requests a second most probes reuse a connection.

        Guards against a daemon with so few requests of a service opening 0.9
        new connections for each.
        """
        daemons = self.fleet(30, 1.4, 45, 220, 0.8)
        opened = sum(one.opened for one in daemons)
        requests = sum(one.requests for one in daemons)
        self.assertLess(opened / requests, 0.4)

    def test_each_server_is_probed_by_some_daemon(self):
        daemons = self.fleet(52, 1.4, 45, 220, 0.8)
        probed = sum((one.probed for one in daemons), collections.Counter())
        local = [probed[f"n{n}"] for n in range(45)]
        self.assertGreater(min(local), 0)
        self.assertLess(max(local), 5 * sum(local) / len(local))
        self.assertGreater(len(probed), 45 + 150)

    def test_few_daemons_reach_many_servers(self):
        daemons = self.fleet(3, 200.0, 200, 400, 0.8)
        probed = sum((one.probed for one in daemons), collections.Counter())
        self.assertEqual(600, len(probed))

    def test_servers_whose_connections_are_in_use_are_kept_as_drawn(self):
        async def body():
            registered = entries(8, 0)
            names = [one.server.instance for one in registered]
            busy = selection.ConnectedServers(
                frozenset(names[:4]), frozenset(names)
            )
            drawn = []
            for connected in (selection.NO_CONNECTIONS, busy):
                selector = selection.ServerSelector("d1", "z", random.Random(3))
                rounds = [
                    selector.first_probes("s", registered, connected)
                    for _ in range(50)
                ]
                drawn.append([one.probed for one in rounds])
            return drawn

        without, same = self.run_paused(body())
        self.assertEqual(without, same)

    def test_connections_do_not_change_how_often_other_zones_are_probed(self):
        """Open connections affect the choice within a zone, not of the zone.

        Otherwise daemons of a zone with too few servers would probe only those.
        """

        async def body():
            registered = entries(20, 100)
            counts = []
            for kept in (
                frozenset(),
                frozenset(one.server.instance for one in registered[::2]),
                frozenset(one.server.instance for one in registered[:20]),
            ):
                selector = selection.ServerSelector("d1", "z", random.Random(7))
                remote = 0
                for _ in range(4000):
                    connected = selection.ConnectedServers(kept)
                    first = selector.first_probes("s", registered, connected)
                    rest = selector.more_probes("s", registered, first, [])
                    selector.local_zone_success["s"] = 1.0
                    probed = (*first.probed, *rest)
                    remote += sum(one.server.zone != "z" for one in probed)
                counts.append(remote / 4000)
            return counts

        without, half, only_local = self.run_paused(body())
        self.assertAlmostEqual(without, half, delta=0.1)
        self.assertAlmostEqual(without, only_local, delta=0.1)
