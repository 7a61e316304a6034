"""Tests of claims whose outcome was reported as unknown."""

import asyncio

from banyantiller.claims import arbiter, records, sweeping, types
from banyantiller.errors import ErrorKind
from banyantiller.store import interface, memory
from banyantiller.tests import base
from banyantiller.tests.claims import faulty, test_scope
from banyantiller.tests.claims import test_arbiter as arbiters
from banyantiller.tests.claims import test_sweeping as sweepers

REQUEST = arbiters.make_request()
OVERDUE_S = 10.0


async def claim_key(
    daemon: arbiter.StoreClaims,
) -> ErrorKind | types.ClaimOutcome:
    """Claims the key; returns the error kind of a denial, or the outcome."""
    outcome = await daemon.claim(REQUEST, arbiters.deadline_in())
    return arbiters.error_kind_of(outcome) or outcome


async def hold_overdue(daemon: arbiter.StoreClaims) -> str:
    """Claims the key and lets the deadline pass; returns the nonce."""
    granted = await daemon.claim(REQUEST, arbiters.deadline_in(1.0))
    assert isinstance(granted, types.Granted), granted
    await asyncio.sleep(OVERDUE_S)
    return granted.nonce


class FencingTest(base.TestCase):
    def test_late_response_is_replayed(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            nonce = await hold_overdue(first)
            outcome = await claim_key(second)
            self.assertEqual(ErrorKind.KEY_OUTCOME_UNKNOWN, outcome)
            await first.finish(REQUEST, nonce, arbiters.RESPONSE)
            self.assertEqual({}, first.settler.pending)
            for daemon in (first, fleet.daemon("d3")):
                repeated = await claim_key(daemon)
                self.assertEqual(types.Finished(arbiters.RESPONSE), repeated)

        self.run_paused(scenario())

    def test_late_release_does_not_free_a_fenced_key(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            nonce = await hold_overdue(first)
            await claim_key(second)
            await first.release(REQUEST, nonce)
            self.assertEqual({}, first.settler.pending)
            for daemon in (first, second, fleet.daemon("d3")):
                outcome = await claim_key(daemon)
                self.assertEqual(ErrorKind.KEY_OUTCOME_UNKNOWN, outcome)

        self.run_paused(scenario())

    def test_lost_response_to_a_fence_is_read_back(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            await hold_overdue(first)
            second.store.faults.lose_answers = 2
            outcome = await claim_key(second)
            self.assertEqual(ErrorKind.KEY_OUTCOME_UNKNOWN, outcome)
            self.assertEqual(1, second.store.calls["update"])

        self.run_paused(scenario())

    def test_no_final_outcome_while_the_fence_cannot_be_written(
        self,
    ) -> None:
        async def unavailable(*_: object) -> interface.UpdateOutcome:
            return interface.Unavailable("down")

        async def scenario() -> None:
            fleet = arbiters.Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            nonce = await hold_overdue(first)
            second.store.update = unavailable
            outcome = await claim_key(second)
            self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, outcome)
            await first.release(REQUEST, nonce)
            granted = await claim_key(fleet.daemon("d3"))
            self.assertIsInstance(granted, types.Granted)

        self.run_paused(scenario())

    def test_overdue_legacy_record_is_fenced(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            await test_scope.store_legacy_record(fleet, records.State.CLAIMED)
            await asyncio.sleep(100)
            daemon = fleet.daemon("d1")
            denied = await daemon.claim(test_scope.DESK, arbiters.deadline_in())
            error_kind = arbiters.error_kind_of(denied)
            self.assertEqual(ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind)
            name = records.legacy_object_name("fleet", test_scope.DESK)
            store = memory.MemoryStore(fleet.table)
            found = await store.get(records.OBJECT_KIND, name)
            self.assertEqual("fenced", found.item.value["state"])

        self.run_paused(scenario())


class SweepingTest(base.TestCase):
    def test_fenced_key_is_retained_while_its_daemon_may_send(self) -> None:
        async def scenario() -> None:
            fleet = faulty.Fleet()
            sweeper = sweepers.make_sweeper(fleet)
            await sweeper.sweep()
            first = fleet.daemon("d1")
            request = sweepers.make_request("k1")
            granted = await first.claim(request, arbiters.deadline_in(1.0))
            await asyncio.sleep(OVERDUE_S)
            await fleet.daemon("d2").claim(request, arbiters.deadline_in())
            fleet.skipped_s += (
                sweepers.RETENTION_S + sweeping.EXPIRY_MARGIN_S + 120
            )
            await sweepers.sweep_often(sweeper)
            self.assertEqual(0, sweeper.deleted)
            await first.release(request, granted.nonce)
            name = records.object_name("fleet", request)
            stored = await sweeper.store.get(records.OBJECT_KIND, name)
            self.assertEqual("unknown", stored.item.value["state"])

        self.run_paused(scenario())
