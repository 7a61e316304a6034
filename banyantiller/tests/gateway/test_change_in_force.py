"""Tests of how long a change is on its way from the store to each daemon."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import change_harness, harness

# Time in which a change has to be in force at daemons that reach the store.
BOUND_S = 2.0
# Plays in which several of the daemons that are asked are disturbed at once.
SEVERAL = (13, 33, 52, 84, 98, 123, 139, 166, 184, 211, 217, 220, 228, 230)


class ChangeTest(base.TestCase):
    def check(self, seed, **more):
        """Checks that no daemon that reaches the store is late."""
        lag = self.run_paused(change_harness.play(seed, **more))
        self.assertLessEqual(lag.lag_s, BOUND_S, (seed, lag))

    def test_one_disturbed_daemon_makes_no_other_late(self):
        for fault in change_harness.FAULTS:
            self.check(1, faults=(fault, "none", "none"))

    def test_several_disturbed_daemons_make_no_other_late(self):
        for seed in SEVERAL:
            self.check(seed)

    def test_all_lose_the_store_for_long_and_make_no_other_late(self):
        for fault in ("turned_away", "cut_from_store"):
            for seed in (1, 2):
                self.check(seed, faults=(fault,) * 3, duration_s=(9.0, 9.0))


class FreshnessTest(harness.TestCase):
    """What is known is never taken for fresher than it is."""

    LATE_S = 0.3

    def check(self, daemon, said):
        """Checks what a daemon holds for fresh.

        Args:
            daemon: The daemon.
            said: Loop times at which answers arrived, and at which the store
                had said what was in them.
        """
        now = asyncio.get_running_loop().time()
        arrived = [fresh_at for at, fresh_at in said if at <= now]
        times = daemon.store_view.mirror.freshness.times
        self.assertLessEqual(times["config"], max(arrived))

    def test_late_answer_of_a_daemon_counts_from_when_it_was_composed(self):
        async def body(place):
            first = place.gateway
            control = place.controls[0]
            handle = control.handler
            said = []

            async def late(request):
                found = await handle(request)
                now = asyncio.get_running_loop().time()
                fresh_at = first.store_view.mirror.freshness.confirmed_at(
                    "config"
                )
                said.append((now + self.LATE_S, fresh_at))
                await asyncio.sleep(self.LATE_S)
                return found

            await asyncio.sleep(5)
            control.handler = late
            seed = f"{harness.ADDRESS}:{place.control.port}"
            await place.start_gateway(seeds=(seed,))
            for _ in range(30):
                await asyncio.sleep(0.1)
                if place.gateway.store_view.reader.query_outcomes["answered"]:
                    self.check(place.gateway, said)
            first.listener.close()
            await first.close()

        self.play(body)

    def test_late_answer_of_the_store_counts_from_when_it_was_composed(self):
        async def body(place):
            store = place.gateway.store_view.reader.store
            read = store.changes
            said = []

            async def late(kind, version, wait_s):
                found = await read(kind, version, wait_s)
                if kind == "config":
                    now = asyncio.get_running_loop().time()
                    said.append((now + self.LATE_S, now))
                    await asyncio.sleep(self.LATE_S)
                return found

            store.changes = late
            # The call that waits since before is over then.
            await asyncio.sleep(7.5)
            self.assertGreater(len(said), 0)
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.check(place.gateway, said)

        self.play(body)
