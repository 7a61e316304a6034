"""Tests of the replication of bundles to several daemons, under faults.

Each test on a fleet also checks that no daemon ever went back to a lower
version, not even across a restart.
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


class ReplicatorTest(TestCase):
    def run_on_fleet(self, count, body, rolls=1, **changes):
        """Runs `body(fleet)` after `rolls` bundles are in force."""

        async def run():
            fleet = support.Fleet(count, **changes)
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

    def test_changed_parts_are_in_force_within_a_second(self):
        async def body(fleet):
            for _ in range(3):
                before = [x.node.peers.traffic.bytes_in for x in fleet.daemons]
                version = await fleet.roll()
                await self.assert_in_force(fleet, version, 1.0)
                after = [x.node.peers.traffic.bytes_in for x in fleet.daemons]
                transferred = [
                    b - a for a, b in zip(before, after, strict=True)
                ]
                self.assertLess(max(transferred), 4000)
            watching = [x.replicator.reader.watching for x in fleet.daemons]
            self.assertEqual(3, sum(watching))
            gets = sum(x.store.calls["get"] for x in fleet.daemons)
            self.assertLess(gets, 14 * 3)

        self.run_on_fleet(14, body)

    def test_store_calls_do_not_grow_with_the_fleet(self):
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
            replicator = fleet.daemons[0].replicator
            small = replicator.reader.read_period()
            table = fleet.daemons[0].node.peers.table
            for index in range(100):
                entry = table.local._replace(daemon=f"other{index}")
                table.apply_entry(entry, 0.0)
            self.assertGreater(replicator.reader.read_period(), 6 * small)

        self.run_on_fleet(2, body)

    def test_an_hour_without_the_object_api(self):
        peers = members.settings(0).peers._replace(
            heartbeat_s=5.0, suspect_s=20.0
        )

        async def run():
            fleet = support.Fleet(4)
            for index, daemon in enumerate(fleet.daemons):
                peer_settings = peers._replace(listen=members.endpoint(index))
                daemon.settings = daemon.settings._replace(peers=peer_settings)
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

    def test_store_outage_right_after_the_acceptance(self):
        async def body(fleet):
            digest = await fleet.propose()
            await asyncio.sleep(1)
            # Only one watcher learns of the acceptance from the object API.
            watching = [
                x for x in fleet.daemons if x.replicator.reader.watching
            ]
            for daemon in fleet.daemons:
                daemon.store.faults.down = daemon is not watching[0]
            await asyncio.sleep(1)
            faults = watching[0].store.faults
            watching[0].replicator.callbacks.append(
                lambda in_force: setattr(faults, "down", True)
            )
            await samples.roll(fleet.operators, digest)
            await self.assert_in_force(fleet, 2, 1.0)

        self.run_on_fleet(8, body)

    def test_lost_responses_and_a_slow_object_api(self):
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

    def test_stale_reads_never_downgrade_a_daemon(self):
        async def body(fleet):
            for daemon in fleet.daemons[:3]:
                daemon.store.serve_stale(True)
                daemon.store.faults.silent_watches = True
            await self.assert_in_force(fleet, await fleet.roll())
            await asyncio.sleep(30)
            # The restarted daemon reads a stale version 1 and must consult
            # its peers before it applies a bundle.
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
            ahead = fleet.daemons[1].replicator
            handler = ahead.peers.message_handlers.pop(messages.BundleRequest)
            await late.start()
            await asyncio.sleep(8)
            self.assertEqual(0, late.version)
            ahead.peers.message_handlers[messages.BundleRequest] = handler
            await self.assert_in_force(fleet, 2)

        self.run_on_fleet(2, body)

    def test_restart_before_a_peer_has_the_bundle(self):
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

    def test_unresponsive_watches(self):
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
            winners = [x for x in results if isinstance(x, outcomes.Rolled)]
            self.assertEqual(1, len(winners))
            await self.assert_in_force(fleet, 2)
            digests = {x.replicator.in_force.digest for x in fleet.daemons}
            self.assertEqual({winners[0].digest}, digests)

        self.run_on_fleet(5, body)

    def test_start_during_an_outage_with_a_single_seed(self):
        async def body(fleet):
            fleet.set_store_down(True)
            late = fleet.daemons[4]
            await late.kill()
            seeds = (members.endpoint(2),)
            late.settings = late.settings._replace(
                peers=late.settings.peers._replace(seeds=seeds, links=1)
            )
            for other in fleet.daemons[:2]:
                await other.restart()
            await late.start()
            await self.assert_in_force(fleet, 2)

        self.run_on_fleet(5, body, rolls=2)

    def test_unresponsive_links_during_a_roll(self):
        async def body(fleet):
            for daemon in fleet.daemons[1:]:
                members.drop_link_messages(fleet.daemons[0].node, daemon.node)
            fleet.daemons[0].store.faults.down = True
            await self.assert_in_force(fleet, await fleet.roll(), 6.0)

        self.run_on_fleet(5, body)

    def test_long_pause_during_an_outage(self):
        async def body(fleet):
            paused = fleet.daemons[0]
            paused.store.faults.down = True
            paused.node.peers.dialer.closed = True
            paused.node.peers.links.server.close(close_connections=False)
            for daemon in fleet.daemons[1:]:
                members.drop_link_messages(paused.node, daemon.node)
            await fleet.roll()
            await asyncio.sleep(60)
            self.assertTrue(paused.replicator.isolated)
            self.assertEqual(1, paused.version)
            fleet.set_store_down(True)
            paused.node.peers.dialer.closed = False
            await self.assert_in_force(fleet, 2)
            self.assertFalse(paused.replicator.isolated)

        self.run_on_fleet(4, body)

    def test_a_changed_history_is_reported_and_not_followed(self):
        async def body(fleet):
            digest = fleet.daemons[0].replicator.in_force.digest
            head = fleet.table.get(reading.HEADS, samples.DEPLOYMENT, None)
            first_head = await reading.read_head(
                fleet.operators, samples.DEPLOYMENT
            )
            await fleet.operators.delete(head.item)
            fleet.version = 0
            other = await samples.prepare(
                fleet.operators, support.bundle_text(77)
            )
            rolled = await samples.roll(fleet.operators, other)
            self.assertIsInstance(rolled, outcomes.Rolled)
            self.assertNotEqual(first_head.digest, rolled.digest)
            await asyncio.sleep(20)
            self.assertEqual(
                {digest}, {x.replicator.in_force.digest for x in fleet.daemons}
            )
            for daemon in fleet.daemons:
                self.assertIn("history", daemon.refusals[0].reason)
            # A later version is applied again.
            fleet.version = 1
            await self.assert_in_force(fleet, await fleet.roll())

        self.run_on_fleet(3, body)

    def test_candidate_without_parts_does_not_block_an_older_one(self):
        async def body(fleet):
            late = fleet.daemons[0]
            late.store.faults.down = True
            newer, _ = test_state.accepted(3, number=50)
            late.replicator._offer_to_replica(newer, "watch")
            await self.assert_in_force(fleet, await fleet.roll())
            self.assertEqual([3], list(late.replicator.replica.candidates))

        self.run_on_fleet(2, body)

    def test_other_digest_at_a_peer_is_reported_once(self):
        async def body(fleet):
            for sequence in (90, 91):
                heartbeat = messages.Heartbeat(sequence, 1, b"another.")
                fleet.daemons[1].node.peers.send("d0", heartbeat)
            await asyncio.sleep(1)
            (refused,) = fleet.daemons[0].refusals
            self.assertIn("Daemon 'd1'", refused.reason)
            self.assertEqual(1, fleet.daemons[0].version)

        self.run_on_fleet(2, body)

    def test_bundle_is_accepted_once_its_key_is_trusted(self):
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
            accepted = fleet.daemons[1].replicator.in_force.accepted
            forged = accepted._replace(
                manifest=accepted.manifest._replace(version=9)
            )
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

    def test_isolation_starts_and_ends(self):
        outage = defaults.OutageSettings(isolated_after_s=5.0)

        async def body(fleet):
            (daemon,) = fleet.daemons
            await asyncio.sleep(30)
            self.assertFalse(daemon.replicator.isolated)
            fleet.set_store_down(True)
            await asyncio.sleep(4)
            self.assertFalse(daemon.replicator.isolated)
            await asyncio.sleep(4)
            self.assertTrue(daemon.replicator.isolated)
            self.assertEqual(1, daemon.version)
            fleet.set_store_down(False)
            await asyncio.sleep(5)
            self.assertFalse(daemon.replicator.isolated)
            self.assertEqual([True, False, True], daemon.store_states)

        self.run_on_fleet(1, body, outage=outage)

    def test_status_objects_are_updated_in_few_writes(self):
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
