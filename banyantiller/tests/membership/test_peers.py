"""Tests of the membership of several daemons on the paused clock."""

import asyncio

import websockets
from websockets.asyncio import client

from banyantiller import exceptions
from banyantiller.config import defaults
from banyantiller.membership import link, messages, table
from banyantiller.tests.base import TestCase
from banyantiller.tests.membership import support


class FleetTest(TestCase):
    def run_on_fleet(self, count, body, **peers):
        """Runs `body(nodes)` on a settled fleet, then closes the fleet."""

        async def run():
            nodes = await support.start_fleet(count, **peers)
            await asyncio.sleep(6)
            self.assertEqual(
                [count] * count, [len(item.alive()) for item in nodes]
            )
            await body(nodes)
            failures = [item.kernel.failures for item in nodes]
            await support.close_fleet(nodes)
            self.assertEqual([{}] * len(nodes), failures)

        self.run_paused(run())

    def test_fleet_is_connected_within_the_traffic_budget(self):
        async def body(nodes):
            names = {item.name for item in nodes}
            self.assertEqual(names, support.reachable(nodes))
            before = [vars(x.peers.traffic).copy() for x in nodes]
            await asyncio.sleep(30)
            for item, old in zip(nodes, before, strict=True):
                now = vars(item.peers.traffic)
                transferred = now["bytes_in"] + now["bytes_out"]
                transferred -= old["bytes_in"] + old["bytes_out"]
                self.assertLess(transferred / 30, 1000)
                self.assertLessEqual(len(item.peers.linked_peers()), 13)
            self.assertEqual(0, sum(x.peers.traffic.dropped for x in nodes))

        self.run_on_fleet(14, body)

    def test_crashed_daemon_is_declared_dead_and_removed(self):
        async def body(nodes):
            await nodes[1].kill()
            crashed = nodes.pop(1)
            await asyncio.sleep(12)
            for item in nodes:
                self.assertEqual(table.State.DEAD, item.state(crashed.name))
                states = [x.state for x in item.changes if x.daemon == "d1"]
                self.assertEqual("dead", states[-1])
            self.assertEqual(len(nodes), len(support.reachable(nodes)))
            await asyncio.sleep(table.FORGET_DEAD_AFTER_S + 10)
            self.assertEqual({None}, {x.state("d1") for x in nodes})

        self.run_on_fleet(6, body)

    def test_leaving_daemon_is_dead_once_its_links_close(self):
        async def body(nodes):
            nodes[2].peers.leave()
            await asyncio.sleep(0.2)
            states = {x.state("d2") for x in nodes if x.name != "d2"}
            self.assertEqual({table.State.LEAVING}, states)
            await nodes.pop(2).close()
            await asyncio.sleep(1)
            self.assertEqual({table.State.DEAD}, {x.state("d2") for x in nodes})

        self.run_on_fleet(6, body)

    def test_unresponsive_link_is_replaced_without_a_death(self):
        async def body(nodes):
            other = next(
                x for x in nodes if x.name == nodes[0].peers.linked_peers()[0]
            )
            unresponsive = nodes[0].peers.links.by_peer[other.name]
            support.drop_link_messages(nodes[0], other)
            await asyncio.sleep(10)
            self.assertIsNot(
                unresponsive, nodes[0].peers.links.by_peer[other.name]
            )
            states = [c.state for x in nodes for c in x.changes]
            self.assertNotIn("dead", states)

        self.run_on_fleet(5, body)

    def test_paused_daemon_refutes_its_death(self):
        async def body(nodes):
            for other in nodes[1:]:
                support.drop_link_messages(nodes[0], other)
            paused = nodes[0].peers
            server = paused.links.server
            server.close(close_connections=False)
            paused.dialer.closed = True
            await asyncio.sleep(30)
            self.assertNotIn("d0", nodes[1].alive())
            paused.dialer.closed = False
            await asyncio.sleep(5)
            self.assertEqual({5}, {len(x.alive()) for x in nodes})

        self.run_on_fleet(5, body)

    def test_late_tick_resets_link_timeouts(self):
        async def body(nodes):
            peers = nodes[0].peers
            now = asyncio.get_running_loop().time()
            before = dict(peers.links.by_peer)
            peers._tick(now + 60)
            await asyncio.sleep(0.1)
            self.assertEqual(before, peers.links.by_peer)
            peers.next_tick_at = now + 60
            peers._tick(now + 120)

        self.run_on_fleet(3, body)

    def test_partition_heals_through_seeds_and_hints(self):
        async def run():
            west = [support.node(support.settings(i, seeds=1)) for i in (0, 1)]
            east = [
                support.node(support.settings(i, seeds=(support.endpoint(2),)))
                for i in (2, 3)
            ]
            for item in west + east:
                await item.start()
            await asyncio.sleep(10)
            self.assertEqual({2}, {len(x.alive()) for x in west + east})
            east[1].peers.set_hints([support.endpoint(1), support.endpoint(99)])
            await asyncio.sleep(20)
            self.assertEqual({4}, {len(x.alive()) for x in west + east})
            await support.close_fleet(west + east)

        self.run_paused(run())

    def test_restart_with_clock_set_back_keeps_its_name(self):
        async def body(nodes):
            await nodes[0].kill()
            restarted = support.node(support.settings(0))
            local = restarted.peers.table.local
            restarted.peers.table.local = local._replace(incarnation=1)
            await restarted.start()
            nodes[0] = restarted
            await asyncio.sleep(15)
            self.assertFalse(restarted.peers.displaced)
            refused = [
                x.peers.links.refused_handshakes.get(4003, 0) for x in nodes
            ]
            self.assertLess(sum(refused), 4)
            self.assertEqual({4}, {len(x.alive()) for x in nodes})

        self.run_on_fleet(4, body)

    def test_name_of_a_dead_incarnation_can_be_taken_over_late(self):
        """Guards against a restarted daemon giving up its own name.

        The daemon restarts with its clock set back and first reaches a peer
        30 s after its start. The peer still has its previous incarnation,
        which is dead but higher by the clock. The daemon treated that entry
        as a name conflict, logged `membership: another daemon took this
        one's name.` and kept no links until its next start.
        """

        async def run():
            nodes = await support.start_fleet(2)
            await asyncio.sleep(2)
            await nodes[1].kill()
            await asyncio.sleep(30)
            restarted = support.node(support.settings(5, seeds=()))
            local = restarted.peers.table.local
            restarted.peers.table.local = local._replace(
                daemon="d1", incarnation=local.incarnation - 3_600_000
            )
            await restarted.start()
            await asyncio.sleep(30)
            self.assertEqual(table.State.DEAD, nodes[0].state("d1"))
            restarted.peers.set_hints((support.endpoint(0),))
            await asyncio.sleep(10)
            self.assertFalse(restarted.peers.displaced)
            self.assertEqual(["d0"], restarted.peers.linked_peers())
            self.assertEqual(table.State.ALIVE, nodes[0].state("d1"))
            await support.close_fleet([nodes[0], restarted])

        self.run_paused(run())

    def test_later_of_two_daemons_with_one_name_keeps_it(self):
        async def body(nodes):
            await asyncio.sleep(10)
            listen = {"listen": support.endpoint(50)}
            second = support.node(support.settings(0, **listen))
            await second.start()
            await asyncio.sleep(15)
            self.assertTrue(nodes[0].peers.displaced)
            self.assertEqual([], nodes[0].peers.linked_peers())
            self.assertFalse(second.peers.displaced)
            self.assertEqual(
                {support.FIRST_PORT + 50},
                {x.peers.table.entries["d0"].port for x in nodes[1:]},
            )
            nodes.append(second)

        self.run_on_fleet(4, body)

    def test_messages_reach_subscribers(self):
        async def body(nodes):
            received = []
            for item in nodes:
                item.peers.subscribe(
                    messages.BundleRequest, lambda d, m: received.append((d, m))
                )
            request = messages.BundleRequest(3)
            self.assertEqual(2, nodes[0].peers.broadcast(request))
            self.assertTrue(nodes[0].peers.send("d1", request))
            self.assertFalse(nodes[0].peers.send("d9", request))
            nodes[0].peers.announce_bundle(7, "ab" * 32)
            await asyncio.sleep(0.1)
            self.assertEqual([("d0", request)] * 3, received)
            entry = nodes[1].peers.table.entries["d0"]
            self.assertEqual(7, entry.bundle)

        self.run_on_fleet(3, body)


class AuthenticationTest(TestCase):
    def test_peer_with_wrong_secret_is_refused(self):
        async def run():
            fleet = await support.start_fleet(2)
            intruder = support.node(support.settings(5, secret="guessed"))
            await intruder.start()
            await asyncio.sleep(8)
            self.assertEqual({"d5"}, intruder.alive())
            self.assertEqual([], intruder.peers.linked_peers())
            self.assertEqual({"d0", "d1"}, fleet[0].alive())
            self.assertIn(1008, fleet[0].peers.links.refused_handshakes)
            await support.close_fleet([*fleet, intruder])

        self.run_paused(run())

    def test_unauthenticated_client_is_disconnected(self):
        async def talk(endpoint, frames):
            uri = f"ws://{endpoint.address}:{endpoint.port}/"
            async with client.connect(uri, proxy=None) as websocket:
                await websocket.recv()
                for frame in frames:
                    await websocket.send(frame)
                async with asyncio.timeout(10):
                    await websocket.wait_closed()

        async def run():
            (node,) = await support.start_fleet(1)
            heartbeat = messages.encode(messages.Heartbeat(1, 1, b""))
            entry = support.node(support.settings(9)).peers.table.local
            forged = messages.encode(messages.Members((entry,)))
            for frames in (
                [],
                [heartbeat],
                [forged] * 3,
                [b"x" * 100_000],
                ["a"],
            ):
                try:
                    await talk(node.peers.links.endpoint, frames)
                except websockets.ConnectionClosed:
                    pass
            await asyncio.sleep(2)
            self.assertEqual({"d0"}, node.alive())
            self.assertEqual(0, node.peers.traffic.messages_in)
            self.assertEqual(0, node.peers.links.connections)
            await node.close()

        self.run_paused(run())

    def test_settings_without_authentication_are_rejected(self):
        async def run(chosen):
            with self.assertRaises(exceptions.ConfigError):
                support.node(support.settings(0, **chosen))

        self.run_paused(run({"secret": ""}))
        files = defaults.TlsFiles(certificate="a", key="b")
        self.run_paused(run({"tls": files}))


class LinkTest(TestCase):
    def test_full_outbox_drops_and_counts_messages(self):
        async def run():
            nodes = await support.start_fleet(2)
            await asyncio.sleep(2)
            peers = nodes[0].peers
            data = messages.PartData(b"x" * 500_000)
            sent = [peers.send("d1", data) for _ in range(6)]
            self.assertEqual([True] * 2 + [False] * 4, sent)
            self.assertEqual(4, peers.traffic.dropped)
            await asyncio.sleep(1)
            self.assertTrue(peers.send("d1", data))
            await support.close_fleet(nodes)

        self.run_paused(run())

    def test_malformed_message_closes_the_link(self):
        async def run():
            nodes = await support.start_fleet(2)
            await asyncio.sleep(2)
            broken = nodes[0].peers.links.by_peer["d1"]
            broken.enqueue_encoded(b"\x82\x02\x00")
            broken.enqueue_encoded(b"\xff")
            await asyncio.sleep(0.01)
            self.assertIsNot(broken, nodes[0].peers.links.by_peer.get("d1"))
            await asyncio.sleep(5)
            self.assertEqual(2, len(nodes[0].alive()))
            await support.close_fleet(nodes)

        self.run_paused(run())

    def test_frame_sizes(self):
        sizes = [link.frame_size(n, False) for n in (0, 125, 126, 70_000)]
        self.assertEqual([2, 127, 130, 70_010], sizes)
        self.assertEqual(6, link.frame_size(0, True))
