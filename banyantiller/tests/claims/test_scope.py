"""Tests of which requests share the record of a key."""

import asyncio
from typing import Any

from banyantiller.claims import arbiter, records, types
from banyantiller.errors import ErrorKind
from banyantiller.store import interface, memory
from banyantiller.tests import base
from banyantiller.tests.claims import test_arbiter as arbiters

HOST = "desk.example"
DESK = types.ClaimRequest("desk", "k1", "f1", 86400.0, HOST)
DEPOSITS = DESK._replace(service="deposits")
NOW = 1e9


async def run_to_end(
    daemon: arbiter.StoreClaims, request: types.ClaimRequest
) -> None:
    """Claims a key and finishes its request."""
    granted = await daemon.claim(request, arbiters.deadline_in())
    assert isinstance(granted, types.Granted), granted
    await daemon.finish(request, granted.nonce, arbiters.RESPONSE)


async def store_legacy_record(
    fleet: arbiters.Fleet, legacy_state: records.State, **changes: Any
) -> None:
    """Stores a record as earlier versions did, named by service and key."""
    answer = None
    if legacy_state is records.State.DONE:
        answer = records.to_stored_response(arbiters.RESPONSE)
    record = records.Record(
        DESK.service,
        DESK.fingerprint,
        "nonce-of-before",
        "d0",
        legacy_state,
        NOW,
        NOW + 60,
        NOW + 86400,
        answer,
    )
    value = {**records.to_value(record), **changes}
    del value["host"]
    name = records.legacy_object_name("fleet", DESK)
    await memory.MemoryStore(fleet.table).create(
        records.OBJECT_KIND, name, value
    )


class ScopeTest(base.TestCase):
    def test_request_is_granted_once_across_services(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            daemons = [fleet.daemon(f"d{n}") for n in range(10)]
            outcomes = await asyncio.gather(
                *(d.claim(DESK, arbiters.deadline_in()) for d in daemons[:5]),
                *(
                    d.claim(DEPOSITS, arbiters.deadline_in())
                    for d in daemons[5:]
                ),
            )
            granted = [o for o in outcomes if isinstance(o, types.Granted)]
            self.assertEqual(1, len(granted))

        self.run_paused(scenario())

    def test_response_is_replayed_under_another_service(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            await run_to_end(first, DESK)
            for daemon in (first, second, second):
                outcome = await daemon.claim(DEPOSITS, arbiters.deadline_in())
                self.assertEqual(types.Finished(arbiters.RESPONSE), outcome)

        self.run_paused(scenario())

    def test_other_host_of_the_service_is_the_same_request(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            await run_to_end(fleet.daemon("d1"), DESK)
            other = DESK._replace(host="alias.example")
            outcome = await fleet.daemon("d2").claim(
                other, arbiters.deadline_in()
            )
            self.assertEqual(types.Finished(arbiters.RESPONSE), outcome)

        self.run_paused(scenario())

    def test_other_host_of_another_service_is_another_request(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            other = DEPOSITS._replace(host="other.example")
            granted = await first.claim(DESK, arbiters.deadline_in())
            for _ in range(2):
                for daemon in (first, second):
                    denied = await daemon.claim(other, arbiters.deadline_in())
                    error_kind = arbiters.error_kind_of(denied)
                    self.assertEqual(ErrorKind.KEY_REUSED, error_kind)
                if first.active:
                    await first.finish(DESK, granted.nonce, arbiters.RESPONSE)

        self.run_paused(scenario())


class LegacyRecordsTest(base.TestCase):
    def test_legacy_record_decides(self) -> None:
        expected = {
            records.State.DONE: types.Finished(arbiters.RESPONSE),
            records.State.UNKNOWN: ErrorKind.KEY_OUTCOME_UNKNOWN,
            records.State.CLAIMED: ErrorKind.KEY_IN_PROGRESS,
        }

        async def scenario(state: records.State) -> None:
            fleet = arbiters.Fleet()
            await store_legacy_record(fleet, state)
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            for daemon in (first, second, first):
                outcome = await daemon.claim(DESK, arbiters.deadline_in())
                found = arbiters.error_kind_of(outcome) or outcome
                self.assertEqual(expected[state], found)

        for state in expected:
            self.run_paused(scenario(state))

    def test_released_legacy_record_leaves_the_key_free(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            await store_legacy_record(fleet, records.State.RELEASED)
            await run_to_end(fleet.daemon("d1"), DESK)

        self.run_paused(scenario())

    def test_unreadable_legacy_record_is_not_run(self) -> None:
        async def scenario() -> None:
            fleet = arbiters.Fleet()
            await store_legacy_record(fleet, records.State.DONE, state=7)
            denied = await fleet.daemon("d1").claim(
                DESK, arbiters.deadline_in()
            )
            error_kind = arbiters.error_kind_of(denied)
            self.assertEqual(ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind)

        self.run_paused(scenario())

    def test_nothing_runs_while_the_legacy_record_cannot_be_read(self) -> None:
        async def unavailable(*_: str) -> interface.GetOutcome:
            return interface.Unavailable("down")

        async def scenario() -> None:
            fleet = arbiters.Fleet()
            store = memory.MemoryStore(fleet.table)
            daemon = fleet.daemon("d1", store)
            read, store.get = store.get, unavailable
            denied = await daemon.claim(DESK, arbiters.deadline_in())
            error_kind = arbiters.error_kind_of(denied)
            self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, error_kind)
            store.get = read
            self.assertTrue(await daemon.drain())
            await run_to_end(fleet.daemon("d2"), DESK)

        self.run_paused(scenario())
