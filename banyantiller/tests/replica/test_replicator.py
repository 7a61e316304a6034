"""Tests of bundles in force over several daemons, under faults.

Each test ends by checking that no daemon ever went back to a lower version,
not even over a restart.
"""

import asyncio

from banyantiller.bundle import acceptance, outcomes, reading
from banyantiller.config import defaults
from banyantiller.membership import messages
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.membership import support as members
from banyantiller.tests.replica import support, test_state

WITHIN_S = 4.0


class SpreadTest(TestCase):
    def run_on_fleet(self, count, body, rolls=1, **others):
        """Runs `body(fleet)` after `rolls` bundles are in force."""

        async def run():
            fleet = support.Fleet(count, **others)
            await fleet.start()
            for _ in range(rolls):
                await self.assert_in_force(fleet, await fleet.roll())
            await body(fleet)
            self.assertEqual([], fleet.downgrades())
            failures = [x.node.kernel.failures for x in fleet.daemons]
            self.assertEqual([{}] * count, failures)
            await fleet.close()

        self.run_paused(run())

    async def assert_in_force(self, fleet, version, within_s=WITHIN_S):
        took = await fleet.wait_in_force(version, within_s)
        self.assertLessEqual(took, within_s, fleet.versions())

    def test_everywhere_within_a_second_and_only_what_changed(self):
        async def body(fleet):
            for _ in range(3):
                before = [x.node.peers.traffic.bytes_in for x in fleet.daemons]
                version = await fleet.roll()
                await self.assert_in_force(fleet, version, 1.0)
                after = [x.node.peers.traffic.bytes_in for x in fleet.daemons]
                moved = [b - a for a, b in zip(before, after, strict=True)]
                self.assertLess(max(moved), 4000)
            watching = [x.replicator.reader.watching for x in fleet.daemons]
            self.assertEqual(3, sum(watching))
            gets = sum(x.store.calls["get"] for x in fleet.daemons)
            self.assertLess(gets, 14 * 3)

        self.run_on_fleet(14, body)

    def test_calls_do_not_grow_with_the_fleet(self):
        rates = []

        async def body(fleet):
            stores = [x.store.calls for x in fleet.daemons]
            before = sum(sum(calls.values()) for calls in stores)
            await asyncio.sleep(60)
            after = sum(sum(calls.values()) for calls in stores)
            rates.append((after - before) / 60)

        self.run_on_fleet(7, body)
        self.run_on_fleet(14, body)
        self.assertLess(max(rates), 3.0)

    def test_reads_are_rarer_in_a_large_fleet(self):
        async def body(fleet):
            spread = fleet.daemons[0].replicator
            small = spread.reader.read_period()
            table = fleet.daemons[0].node.peers.table
            for index in range(100):
                entry = table.local._replace(daemon=f"other{index}")
                table.apply_entry(entry, 0.0)
            self.assertGreater(spread.reader.read_period(), 6 * small)

        self.run_on_fleet(2, body)

    def test_an_hour_without_the_object_api(self):
        peers = members.settings(0).peers._replace(
            heartbeat_s=5.0, suspect_s=20.0
        )

        async def run():
            fleet = support.Fleet(4)
            for index, daemon in enumerate(fleet.daemons):
                own = peers._replace(listen=members.endpoint(index))
                daemon.settings = daemon.settings._replace(peers=own)
            await fleet.start()
            await self.assert_in_force(fleet, await fleet.roll())
            fleet.set_store_down(True)
            for daemon in fleet.daemons[:2]:
                await asyncio.sleep(1500)
                await daemon.restart()
                await self.assert_in_force(fleet, 1, 30)
            await asyncio.sleep(600)
            isolated = [x.replicator.isolated for x in fleet.daemons]
            self.assertEqual([False] * 4, isolated)
            fleet.set_store_down(False)
            await asyncio.sleep(20)
            await self.assert_in_force(fleet, await fleet.roll())
            self.assertEqual([], fleet.downgrades())
            self.assertEqual([True, False, True], fleet.daemons[3].store_states)
            await fleet.close()

        self.run_paused(run())

    def test_down_right_after_the_accept(self):
        async def body(fleet):
            digest = await fleet.propose()
            await asyncio.sleep(1)
            # One daemon that watches hears of it, the others do not.
            watching = [
                x for x in fleet.daemons if x.replicator.reader.watching
            ]
            for daemon in fleet.daemons:
                daemon.store.faults.down = daemon is not watching[0]
            await asyncio.sleep(1)
            faults = watching[0].store.faults
            watching[0].replicator.callbacks.append(
                lambda held: setattr(faults, "down", True)
            )
            await samples.roll(fleet.operators, digest)
            await self.assert_in_force(fleet, 2, 1.0)

        self.run_on_fleet(8, body)

    def test_lost_answers_and_a_slow_object_api(self):
        async def body(fleet):
            fleet.operators.faults.lose_answers = 2
            await self.assert_in_force(fleet, await fleet.roll())
            for daemon in fleet.daemons:
                daemon.store.faults.slow_s = 1.5
            await self.assert_in_force(fleet, await fleet.roll())
            for daemon in fleet.daemons:
                daemon.store.faults.slow_s = 30.0
            await fleet.daemons[0].restart()
            await self.assert_in_force(fleet, await fleet.roll())

        self.run_on_fleet(5, body)

    def test_stale_reads_never_lower_a_daemon(self):
        async def body(fleet):
            for daemon in fleet.daemons[:3]:
                daemon.store.serve_stale(True)
                daemon.store.faults.silent_watches = True
            await self.assert_in_force(fleet, await fleet.roll())
            await asyncio.sleep(30)
            # The restarted daemon reads version 1 and must wait for peers.
            await fleet.daemons[0].restart()
            await self.assert_in_force(fleet, 2)
            self.assertEqual([1, 2, 2], fleet.daemons[0].history)

        self.run_on_fleet(5, body)

    def test_a_starting_daemon_waits_while_a_peer_is_ahead(self):
        async def body(fleet):
            late = fleet.daemons[0]
            await late.kill()
            late.store.serve_stale(True)
            late.store.faults.silent_watches = True
            await fleet.roll()
            await asyncio.sleep(1)
            self.assertEqual(2, fleet.daemons[1].version)
            real = fleet.daemons[1].replicator
            answer = real.peers.message_handlers.pop(messages.BundleRequest)
            await late.start()
            await asyncio.sleep(8)
            self.assertEqual(0, late.version)
            real.peers.message_handlers[messages.BundleRequest] = answer
            await self.assert_in_force(fleet, 2)

        self.run_on_fleet(2, body)

    def test_a_restart_before_anyone_else_has_the_bundle(self):
        async def body(fleet):
            first, other = fleet.daemons
            other.store.faults.down = True
            members.drop_link_messages(first.node, other.node)
            await fleet.roll()
            await asyncio.sleep(0.2)
            self.assertEqual([2, 1], fleet.versions())
            first.store.faults.slow_s = 1.0
            await first.restart()
            await self.assert_in_force(fleet, 2)

        self.run_on_fleet(2, body)

    def test_silent_watches(self):
        async def body(fleet):
            for daemon in fleet.daemons:
                daemon.store.faults.silent_watches = True
            await asyncio.sleep(0.5)
            await self.assert_in_force(fleet, await fleet.roll(), 6.0)

        self.run_on_fleet(5, body)

    def test_racing_operators(self):
        async def body(fleet):
            first = await fleet.propose()
            second = await samples.prepare(
                fleet.operators, support.bundle_text(50), "ben"
            )
            results = await asyncio.gather(
                samples.roll(fleet.operators, first, "ana"),
                samples.roll(fleet.operators, second, "ben"),
            )
            won = [x for x in results if isinstance(x, outcomes.Rolled)]
            self.assertEqual(1, len(won))
            await self.assert_in_force(fleet, 2)
            digests = {x.replicator.in_force.digest for x in fleet.daemons}
            self.assertEqual({won[0].digest}, digests)

        self.run_on_fleet(5, body)

    def test_starting_amid_an_outage_with_some_peers_only(self):
        async def body(fleet):
            fleet.set_store_down(True)
            late = fleet.daemons[4]
            await late.kill()
            only = (members.endpoint(2),)
            late.settings = late.settings._replace(
                peers=late.settings.peers._replace(seeds=only, links=1)
            )
            for other in fleet.daemons[:2]:
                await other.restart()
            await late.start()
            await self.assert_in_force(fleet, 2)

        self.run_on_fleet(5, body, rolls=2)

    def test_links_that_go_silent_during_a_roll(self):
        async def body(fleet):
            for daemon in fleet.daemons[1:]:
                members.drop_link_messages(fleet.daemons[0].node, daemon.node)
            fleet.daemons[0].store.faults.down = True
            await self.assert_in_force(fleet, await fleet.roll(), 6.0)

        self.run_on_fleet(5, body)

    def test_a_long_pause_amid_an_outage(self):
        async def body(fleet):
            asleep = fleet.daemons[0]
            asleep.store.faults.down = True
            asleep.node.peers.dialer.closed = True
            asleep.node.peers.links.server.close(close_connections=False)
            for daemon in fleet.daemons[1:]:
                members.drop_link_messages(asleep.node, daemon.node)
            await fleet.roll()
            await asyncio.sleep(60)
            self.assertTrue(asleep.replicator.isolated)
            self.assertEqual(1, asleep.version)
            fleet.set_store_down(True)
            asleep.node.peers.dialer.closed = False
            await self.assert_in_force(fleet, 2)
            self.assertFalse(asleep.replicator.isolated)

        self.run_on_fleet(4, body)

    def test_a_changed_history_is_reported_and_not_followed(self):
        async def body(fleet):
            digest = fleet.daemons[0].replicator.in_force.digest
            head = fleet.table.get(reading.HEADS, samples.DEPLOYMENT, None)
            parent = await reading.read_head(
                fleet.operators, samples.DEPLOYMENT
            )
            await fleet.operators.delete(head.item)
            fleet.version = 0
            other = await samples.prepare(
                fleet.operators, support.bundle_text(77)
            )
            rolled = await samples.roll(fleet.operators, other)
            self.assertIsInstance(rolled, outcomes.Rolled)
            self.assertNotEqual(parent.digest, rolled.digest)
            await asyncio.sleep(20)
            self.assertEqual(
                {digest}, {x.replicator.in_force.digest for x in fleet.daemons}
            )
            for daemon in fleet.daemons:
                self.assertIn("history", daemon.refusals[0].reason)
            # A later version leads the fleet on.
            fleet.version = 1
            await self.assert_in_force(fleet, await fleet.roll())

        self.run_on_fleet(3, body)

    def test_a_bundle_without_parts_does_not_keep_others_waiting(self):
        async def body(fleet):
            late = fleet.daemons[0]
            late.store.faults.down = True
            newer, _ = test_state.accepted(3, number=50)
            late.replicator._offer_to_replica(newer, "watch")
            await self.assert_in_force(fleet, await fleet.roll())
            self.assertEqual([3], list(late.replicator.replica.candidates))

        self.run_on_fleet(2, body)

    def test_another_bundle_in_force_at_a_peer_is_reported_once(self):
        async def body(fleet):
            for sequence in (90, 91):
                beat = messages.Heartbeat(sequence, 1, b"another.")
                fleet.daemons[1].node.peers.send("d0", beat)
            await asyncio.sleep(1)
            (refused,) = fleet.daemons[0].refusals
            self.assertIn("Daemon 'd1'", refused.reason)
            self.assertEqual(1, fleet.daemons[0].version)

        self.run_on_fleet(2, body)

    def test_a_key_that_is_trusted_later_lets_the_bundle_in(self):
        async def body(fleet):
            late = fleet.daemons[0]
            late.replicator.replica.trusted_keys = samples.TRUSTED[:1]
            await fleet.roll()
            await asyncio.sleep(5)
            self.assertEqual([1, 2], fleet.versions())
            self.assertIn("No key of operator", late.refusals[0].reason)
            late.replicator.replica.trusted_keys = samples.TRUSTED
            await self.assert_in_force(fleet, 2, 20)

        self.run_on_fleet(2, body)

    def test_forged_offers_from_a_peer(self):
        async def body(fleet):
            held = fleet.daemons[1].replicator.in_force.accepted
            forged = held._replace(manifest=held.manifest._replace(version=9))
            for data in (
                acceptance.reading.canonical.encode_accepted(forged),
                b"{}",
                b"\xff",
            ):
                offer = messages.BundleOffer(data)
                fleet.daemons[1].node.peers.send("d0", offer)
            request = messages.PartRequest((b"", b"x" * 32))
            fleet.daemons[1].node.peers.send("d0", request)
            await asyncio.sleep(1)
            self.assertEqual(1, fleet.daemons[0].version)
            self.assertEqual(3, len(fleet.daemons[0].refusals))

        self.run_on_fleet(2, body)

    def test_isolation_is_told_and_ends(self):
        outage = defaults.OutageSettings(isolated_after_s=5.0)

        async def body(fleet):
            (alone,) = fleet.daemons
            await asyncio.sleep(30)
            self.assertFalse(alone.replicator.isolated)
            fleet.set_store_down(True)
            await asyncio.sleep(4)
            self.assertFalse(alone.replicator.isolated)
            await asyncio.sleep(4)
            self.assertTrue(alone.replicator.isolated)
            self.assertEqual(1, alone.version)
            fleet.set_store_down(False)
            await asyncio.sleep(5)
            self.assertFalse(alone.replicator.isolated)
            self.assertEqual([True, False, True], alone.store_states)

        self.run_on_fleet(1, body, outage=outage)

    def test_status_objects_follow_in_few_writes(self):
        async def body(fleet):
            await asyncio.sleep(2)
            before = [x.store.calls["update"] for x in fleet.daemons]
            for _ in range(2):
                await self.assert_in_force(fleet, await fleet.roll())
                await asyncio.sleep(2)
            after = [x.store.calls["update"] for x in fleet.daemons]
            self.assertEqual(
                [2, 2, 2], [b - a for a, b in zip(before, after, strict=True)]
            )
            listed = fleet.table.list("daemonstatuses", None, None)
            self.assertEqual([3] * 3, [x.value["bundle"] for x in listed.items])
            self.assertEqual(
                {x.replicator.in_force.digest for x in fleet.daemons},
                {x.value["digest"] for x in listed.items},
            )
            await fleet.daemons[0].node.kernel.stop()
            listed = fleet.table.list("daemonstatuses", None, None)
            self.assertEqual(2, len(listed.items))

        self.run_on_fleet(3, body)
