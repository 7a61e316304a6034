"""Tests of claims over a store that fails, is slow or loses responses."""

import asyncio
import itertools

from banyantiller.claims import arbiter, records, types
from banyantiller.errors import ErrorKind, Ran
from banyantiller.store import interface, memory
from banyantiller.tests import base

RESPONSE = types.RecordedResponse(
    201, (("content-type", "text/plain"),), b"made"
)


def make_request(
    key: str = "k1", fingerprint: str = "f1"
) -> types.ClaimRequest:
    return types.ClaimRequest("orders", key, fingerprint, 86400.0)


class Fleet:
    """Daemons that share a table, each with its own store."""

    def __init__(self) -> None:
        self.table = memory.MemoryStore().table
        self.count = itertools.count()

    def wall(self) -> float:
        return 1e9 + asyncio.get_running_loop().time()

    def daemon(
        self, name: str, store: interface.ObjectStore | None = None
    ) -> arbiter.StoreClaims:
        return arbiter.StoreClaims.from_settings(
            store or memory.MemoryStore(self.table),
            "fleet",
            name,
            self.wall,
            lambda: f"nonce-{name}-{next(self.count)}",
        )


def deadline_in(seconds: float = 5.0) -> float:
    return asyncio.get_running_loop().time() + seconds


def error_kind_of(outcome: types.ClaimOutcome) -> ErrorKind | None:
    if isinstance(outcome, types.Denied):
        return outcome.failure.error_kind
    return None


class ArbiterTest(base.TestCase):
    def test_second_daemon_gets_in_progress_then_the_recorded_response(
        self,
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            request = make_request()
            granted = await first.claim(request, deadline_in())
            self.assertIsInstance(granted, types.Granted)
            for daemon in (first, second):
                denied = await daemon.claim(request, deadline_in())
                self.assertEqual(
                    ErrorKind.KEY_IN_PROGRESS, error_kind_of(denied)
                )
            await first.finish(request, granted.nonce, RESPONSE)
            for daemon in (first, second):
                repeated = await daemon.claim(request, deadline_in())
                self.assertEqual(types.Finished(RESPONSE), repeated)
            reads = second.store.calls["get"]
            await second.claim(request, deadline_in())
            self.assertEqual(reads, second.store.calls["get"])

        self.run_paused(scenario())

    def test_many_daemons_at_once_get_one_grant(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            daemons = [fleet.daemon(f"d{n}") for n in range(14)]
            outcomes = await asyncio.gather(
                *(
                    daemon.claim(make_request(), deadline_in())
                    for daemon in daemons
                ),
                *(
                    daemon.claim(make_request(), deadline_in())
                    for daemon in daemons
                ),
            )
            granted = [o for o in outcomes if isinstance(o, types.Granted)]
            self.assertEqual(1, len(granted))
            error_kinds = {error_kind_of(o) for o in outcomes} - {None}
            self.assertEqual({ErrorKind.KEY_IN_PROGRESS}, error_kinds)

        self.run_paused(scenario())

    def test_key_of_another_request_is_denied(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            granted = await first.claim(make_request(), deadline_in())
            other = make_request(fingerprint="f2")
            for _ in range(2):
                for daemon in (first, second):
                    denied = await daemon.claim(other, deadline_in())
                    self.assertEqual(
                        ErrorKind.KEY_REUSED, error_kind_of(denied)
                    )
                if first.active:
                    await first.finish(make_request(), granted.nonce, RESPONSE)

        self.run_paused(scenario())

    def test_large_response_is_not_stored(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            request = make_request()
            granted = await first.claim(request, deadline_in())
            large = RESPONSE._replace(body=b"x" * records.MAX_RESPONSE_BYTES)
            await first.finish(request, granted.nonce, large)
            for daemon in (first, second):
                denied = await daemon.claim(request, deadline_in())
                self.assertEqual(
                    ErrorKind.KEY_ALREADY_RUN, error_kind_of(denied)
                )

        self.run_paused(scenario())

    def test_released_key_can_be_claimed_by_a_peer(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            request = make_request()
            granted = await first.claim(request, deadline_in())
            await first.release(request, granted.nonce)
            await first.release(request, granted.nonce)
            again = await second.claim(request, deadline_in())
            self.assertIsInstance(again, types.Granted)
            await second.mark_unknown(request, again.nonce)
            for daemon in (first, second):
                denied = await daemon.claim(request, deadline_in())
                self.assertEqual(
                    ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind_of(denied)
                )

        self.run_paused(scenario())

    def test_key_of_a_dead_daemon_never_becomes_claimable(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            request = make_request()
            await fleet.daemon("d1").claim(request, deadline_in(2))
            second = fleet.daemon("d2")
            for wait, error_kind in (
                (0, ErrorKind.KEY_IN_PROGRESS),
                (10, ErrorKind.KEY_OUTCOME_UNKNOWN),
                (20 * 3600, ErrorKind.KEY_OUTCOME_UNKNOWN),
                (20 * 3600, ErrorKind.KEY_OUTCOME_UNKNOWN),
            ):
                await asyncio.sleep(wait)
                denied = await second.claim(request, deadline_in())
                self.assertEqual(error_kind, error_kind_of(denied))

        self.run_paused(scenario())

    def test_unreadable_record_is_not_run(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            daemon = fleet.daemon("d1")
            name = records.object_name("fleet", make_request())
            await daemon.store.create(records.OBJECT_KIND, name, {"state": 7})
            denied = await daemon.claim(make_request(), deadline_in())
            self.assertEqual(
                ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind_of(denied)
            )

        self.run_paused(scenario())


class FailingStoreTest(base.TestCase):
    def test_store_outage_is_reported_as_not_run_and_stops_calls(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            daemon = fleet.daemon("d1")
            daemon.store.faults.down = True
            for number in range(20):
                denied = await daemon.claim(
                    make_request(f"k{number}"), deadline_in()
                )
                self.assertEqual(
                    ErrorKind.CLAIM_UNAVAILABLE, error_kind_of(denied)
                )
                self.assertEqual(Ran.NO, denied.failure.response.ran)
            self.assertTrue(sum(daemon.store.calls.values()) < 10)
            daemon.store.faults.down = False
            await asyncio.sleep(1)
            granted = await daemon.claim(make_request("k1"), deadline_in())
            self.assertIsInstance(granted, types.Granted)

        self.run_paused(scenario())

    def test_lost_response_to_a_create_is_read_back(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            daemon = fleet.daemon("d1")
            daemon.store.faults.lose_answers = 1
            granted = await daemon.claim(make_request(), deadline_in())
            self.assertIsInstance(granted, types.Granted)
            denied = await fleet.daemon("d2").claim(
                make_request(), deadline_in()
            )
            self.assertEqual(ErrorKind.KEY_IN_PROGRESS, error_kind_of(denied))

        self.run_paused(scenario())

    def test_lost_responses_to_updates_are_read_back(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            request = make_request()
            granted = await first.claim(request, deadline_in())
            first.store.faults.lose_answers = 1
            await first.release(request, granted.nonce)
            second.store.faults.lose_answers = 1
            granted = await second.claim(request, deadline_in())
            self.assertIsInstance(granted, types.Granted)
            second.store.faults.lose_answers = 1
            await second.finish(request, granted.nonce, RESPONSE)
            self.assertEqual({}, second.settler.pending)
            repeated = await first.claim(request, deadline_in())
            self.assertEqual(types.Finished(RESPONSE), repeated)

        self.run_paused(scenario())

    def test_orphan_is_taken_over_by_its_daemon_and_released_for_peers(
        self,
    ) -> None:
        for same_daemon in (True, False):
            self.run_paused(self.orphan_scenario(same_daemon))

    async def orphan_scenario(self, same_daemon: bool) -> None:
        fleet = Fleet()
        first, second = fleet.daemon("d1"), fleet.daemon("d2")
        settling = asyncio.create_task(first.settler.run())
        first.store.faults.slow_s = 3.0
        request = make_request()
        denied = await first.claim(request, deadline_in(1.0))
        self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, error_kind_of(denied))
        first.store.faults.slow_s = 0
        await asyncio.sleep(0 if same_daemon else 20)
        retrying = first if same_daemon else second
        granted = await retrying.claim(request, deadline_in())
        self.assertIsInstance(granted, types.Granted)
        await asyncio.sleep(60)
        self.assertEqual({}, first.settler.pending)
        other = second if same_daemon else first
        denied = await other.claim(request, deadline_in())
        self.assertEqual(ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind_of(denied))
        settling.cancel()

    def test_late_create_after_the_release_has_no_effect(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            first.store.faults.slow_s = 30.0
            await first.claim(make_request(), deadline_in(1.0))
            first.store.faults.slow_s = 0
            self.assertTrue(await first.drain())
            granted = await second.claim(make_request(), deadline_in())
            self.assertIsInstance(granted, types.Granted)
            await second.finish(make_request(), granted.nonce, RESPONSE)
            await asyncio.sleep(100)
            repeated = await fleet.daemon("d3").claim(
                make_request(), deadline_in()
            )
            self.assertEqual(types.Finished(RESPONSE), repeated)

        self.run_paused(scenario())

    def test_stale_reads_never_grant_a_claimed_key(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            request = make_request()
            second.store.serve_stale(True)
            granted = await first.claim(request, deadline_in())
            denied = await second.claim(request, deadline_in(1))
            self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, error_kind_of(denied))
            await first.release(request, granted.nonce)
            second.store.serve_stale(True)
            granted = await first.claim(request, deadline_in())
            self.assertIsInstance(granted, types.Granted)
            denied = await second.claim(request, deadline_in(1))
            self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, error_kind_of(denied))
            second.store.serve_stale(False)
            denied = await second.claim(request, deadline_in(1))
            self.assertEqual(ErrorKind.KEY_IN_PROGRESS, error_kind_of(denied))

        self.run_paused(scenario())

    def test_settlement_is_written_after_an_outage(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            first, second = fleet.daemon("d1"), fleet.daemon("d2")
            settling = asyncio.create_task(first.settler.run())
            request = make_request()
            granted = await first.claim(request, deadline_in())
            first.store.faults.down = True
            await first.finish(request, granted.nonce, RESPONSE)
            repeated = await first.claim(request, deadline_in())
            self.assertEqual(types.Finished(RESPONSE), repeated)
            await asyncio.sleep(300)
            calls = sum(first.store.calls.values())
            self.assertTrue(calls < 50)
            first.store.faults.down = False
            await asyncio.sleep(20)
            repeated = await second.claim(request, deadline_in())
            self.assertEqual(types.Finished(RESPONSE), repeated)
            settling.cancel()

        self.run_paused(scenario())

    def test_key_reported_as_unknown_does_not_run_later(self) -> None:
        """The response to a create is lost, then the object API is down.

        The daemon denies the claim and cannot release the key yet. A peer
        finds an overdue claim and reports `key_outcome_unknown`, which is
        final: the caller has to check whether the request was run. Without a
        fence, the key was granted again once the release was written.
        """

        async def unavailable(*_: str) -> interface.GetOutcome:
            return interface.Unavailable("down")

        async def scenario() -> None:
            fleet = Fleet()
            store = memory.MemoryStore(fleet.table)
            first, second = fleet.daemon("d1", store), fleet.daemon("d2")
            request = make_request()
            store.faults.lose_answers = 1
            read, store.get = store.get, unavailable
            denied = await first.claim(request, deadline_in(1.0))
            self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, error_kind_of(denied))
            await asyncio.sleep(10)
            outcome = await second.claim(request, deadline_in())
            self.assertEqual(
                ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind_of(outcome)
            )
            store.get = read
            self.assertTrue(await first.settler.settle_all())
            again = await second.claim(request, deadline_in())
            self.assertEqual(
                ErrorKind.KEY_OUTCOME_UNKNOWN, error_kind_of(again)
            )

        self.run_paused(scenario())

    def test_claim_past_its_deadline_is_denied(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            daemon = fleet.daemon("d1")
            denied = await daemon.claim(make_request(), deadline_in(0))
            self.assertEqual(ErrorKind.CLAIM_UNAVAILABLE, error_kind_of(denied))
            self.assertEqual(0, sum(daemon.store.calls.values()))

        self.run_paused(scenario())
