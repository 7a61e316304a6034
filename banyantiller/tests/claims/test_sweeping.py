"""Tests of the sweeper and of the outcome cache."""

import asyncio
import random

from banyantiller.claims import outcome_cache, records, sweeping, types
from banyantiller.errors import ErrorKind
from banyantiller.tests import base
from banyantiller.tests.claims import faulty

RETENTION_S = 600.0
TIMEOUT_S = 5.0


def make_request(key: str) -> types.ClaimRequest:
    return types.ClaimRequest("orders", key, "f1", RETENTION_S)


def make_sweeper(fleet: faulty.Fleet) -> sweeping.Sweeper:
    store = faulty.FaultyStore(fleet.table)
    return sweeping.Sweeper(store, "fleet", fleet.wall, random.Random(1))


async def sweep_often(sweeper: sweeping.Sweeper, times: int = 20) -> None:
    for _ in range(times):
        await sweeper.sweep()


class SweeperTest(base.TestCase):
    def test_finished_keys_are_deleted_after_retention_and_margin(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            sweeper = make_sweeper(fleet)
            await sweeper.sweep()
            daemon = fleet.daemon("d1")
            for number in range(5):
                request = make_request(f"k{number}")
                await fleet.serve(daemon, request, TIMEOUT_S)
            fleet.skipped_s += RETENTION_S + sweeping.EXPIRY_MARGIN_S - 60
            await sweep_often(sweeper)
            self.assertEqual(0, sweeper.deleted)
            fleet.skipped_s += 200
            await sweep_often(sweeper)
            self.assertEqual(5, sweeper.deleted)
            calls = sum(sweeper.store.calls.values())
            await sweeper.sweep()
            self.assertEqual(calls + 1, sum(sweeper.store.calls.values()))

        self.run_paused(scenario())

    def test_claim_of_a_paused_daemon_is_never_deleted(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            sweeper = make_sweeper(fleet)
            await sweeper.sweep()
            request = make_request("k1")
            await fleet.daemon("d1").claim(request, TIMEOUT_S)
            fleet.skipped_s += 2 * (RETENTION_S + sweeping.EXPIRY_MARGIN_S)
            await sweep_often(sweeper)
            self.assertTrue(sweeper.retained > 0)
            denied = await fleet.daemon("d2").claim(request, TIMEOUT_S)
            self.assertEqual(
                ErrorKind.KEY_OUTCOME_UNKNOWN, denied.failure.error_kind
            )

        self.run_paused(scenario())

    def test_no_bucket_is_skipped_in_an_outage(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            sweeper = make_sweeper(fleet)
            await sweeper.sweep()
            await fleet.serve(fleet.daemon("d1"), make_request("k1"), TIMEOUT_S)
            fleet.skipped_s += RETENTION_S + sweeping.EXPIRY_MARGIN_S + 200
            unavailable = faulty.Step(fault="unavailable")
            sweeper.store.steps = iter([unavailable, faulty.Step()] * 100)
            await sweep_often(sweeper, 5)
            sweeper.store.steps = iter([faulty.Step()] * 1000)
            fleet.skipped_s += sweeping.SWEEP_LEASE_S
            await sweep_often(sweeper)
            self.assertEqual(1, sweeper.deleted)

        self.run_paused(scenario())

    def test_one_daemon_sweeps_at_a_time_and_a_peer_takes_over(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            sweepers = [make_sweeper(fleet) for _ in range(14)]
            await sweepers[0].sweep()
            daemon = fleet.daemon("d1")
            for number in range(50):
                request = make_request(f"k{number}")
                await fleet.serve(daemon, request, TIMEOUT_S)
            fleet.skipped_s += RETENTION_S + sweeping.EXPIRY_MARGIN_S
            await sweep_often(sweepers[0])
            fleet.skipped_s += 120
            sweeping_first = asyncio.create_task(sweepers[0].sweep())
            await asyncio.sleep(0.2)
            await asyncio.gather(*(s.sweep() for s in sweepers[1:]))
            self.assertEqual(0, sum(s.deleted for s in sweepers[1:]))
            sweeping_first.cancel()
            self.assertTrue(0 < sweepers[0].deleted < 50)
            fleet.skipped_s += sweeping.SWEEP_LEASE_S
            await sweep_often(sweepers[1])
            deleted = [sweeper.deleted for sweeper in sweepers[:2]]
            self.assertEqual(50, sum(deleted))

        self.run_paused(scenario())

    def test_key_released_long_ago_keeps_its_whole_retention(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            sweeper = make_sweeper(fleet)
            await sweeper.sweep()
            request = make_request("k1")._replace(retention_s=86400.0)
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            await fleet.serve(first, request, TIMEOUT_S, refused=True)
            fleet.skipped_s += 80000
            await fleet.serve(second, request, TIMEOUT_S)
            self.assertEqual(1, second.store.calls["delete"])
            fleet.skipped_s += 80000
            await sweep_often(sweeper, 400)
            name = records.object_name("fleet", request)
            self.assertIn((records.OBJECT_KIND, name), fleet.table.records)

        self.run_paused(scenario())


class OutcomeCacheTest(base.TestCase):
    def test_cache_is_bounded_and_drops_expired_entries(self) -> None:
        cache = outcome_cache.OutcomeCache(max_entries=3, max_bytes=1000)
        outcome = types.Finished(types.RecordedResponse(200, (), b"x" * 100))
        for number in range(5):
            cache.put(f"k{number}", "f", outcome, expires_at=100.0)
        self.assertEqual(["k2", "k3", "k4"], list(cache.entries))
        self.assertIsNotNone(cache.get("k2", 99.0))
        self.assertIsNone(cache.get("k2", 100.0))
        large = types.Finished(types.RecordedResponse(200, (), b"x" * 900))
        cache.put("k9", "f", large, expires_at=100.0)
        self.assertEqual(["k9"], list(cache.entries))
        cache.remove("k9")
        self.assertEqual(0, cache.size)
