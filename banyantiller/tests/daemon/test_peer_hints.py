"""Tests that the VM list leads daemons to each other."""

import types

from banyantiller.config import defaults
from banyantiller.daemon import leaving_servers
from banyantiller.tests.base import TestCase
from banyantiller.tests.membership import support
from banyantiller.vmlist.interface import Vm, VmListing, VmState


class PeerHintsTest(TestCase):
    def test_other_balancers_are_hinted_and_servers_are_not(self):
        async def run():
            node = support.node(support.settings(0))
            daemon = types.SimpleNamespace(
                settings=node.settings, peers=node.peers
            )
            addresses = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
            roles = ("balancer", "balancer", "backend")
            vms = tuple(
                Vm(f"vm{n}", address, "zone-c", VmState.LIVE, role)
                for n, (address, role) in enumerate(
                    zip(addresses, roles, strict=True)
                )
            )
            leaving_servers._hint_peers(daemon, VmListing(vms, 0.0))
            return node.peers.dialer.hints

        port = support.FIRST_PORT
        self.assertEqual(
            (defaults.Endpoint("127.0.0.2", port),), self.run_paused(run())
        )
