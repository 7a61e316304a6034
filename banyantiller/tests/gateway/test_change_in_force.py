"""Tests of the time in which a change reaches each daemon."""

import asyncio

from banyantiller.tests import base
from banyantiller.tests.gateway import change_harness, harness

# Time in which a change has to be in force at daemons that reach the store, in
# seconds.
MAX_LAG_S = 2.0
# Seeds of runs in which several relays are faulty at once.
SEEDS = (13, 33, 52, 84, 98, 123, 139, 166, 184, 211, 217, 220, 228, 230)


class ChangeLagTest(base.TestCase):
    def check(self, seed, **options):
        """Checks the lag of the daemons that reach the store."""
        lag = self.run_paused(change_harness.measure_lag(seed, **options))
        self.assertLessEqual(lag.lag_s, MAX_LAG_S, (seed, lag))

    def test_one_faulty_relay_delays_no_other_daemon(self):
        for fault in change_harness.FAULTS:
            self.check(1, faults=(fault, "none", "none"))

    def test_several_faulty_relays_delay_no_other_daemon(self):
        for seed in SEEDS:
            self.check(seed)

    def test_long_store_loss_of_all_relays_delays_no_other_daemon(self):
        for fault in ("rejected_by_store", "cut_from_store"):
            for seed in (1, 2):
                self.check(seed, faults=(fault,) * 3, duration_s=(9.0, 9.0))


class FreshnessTest(harness.TestCase):
    """Cached state is never taken for fresher than it is."""

    DELAY_S = 0.3

    def check(self, daemon, confirmations):
        """Checks the time at which a daemon's state counts as confirmed.

        Args:
            daemon: The daemon.
            confirmations: Loop times at which responses arrived, each with the
                time at which the store had confirmed their content.
        """
        now = asyncio.get_running_loop().time()
        received = [fresh_at for at, fresh_at in confirmations if at <= now]
        confirmation_times = (
            daemon.store_view.mirror.freshness.confirmation_times
        )
        self.assertLessEqual(confirmation_times["config"], max(received))

    def test_delayed_relay_reply_counts_from_when_it_was_composed(self):
        async def body(env):
            relay = env.gateway
            control = env.controls[0]
            handle = control.handler
            confirmations = []

            async def delayed(request):
                result = await handle(request)
                now = asyncio.get_running_loop().time()
                fresh_at = relay.store_view.mirror.freshness.confirmed_at(
                    "config"
                )
                confirmations.append((now + self.DELAY_S, fresh_at))
                await asyncio.sleep(self.DELAY_S)
                return result

            await asyncio.sleep(5)
            control.handler = delayed
            seed = f"{harness.ADDRESS}:{env.control.port}"
            await env.start_gateway(seeds=(seed,))
            for _ in range(30):
                await asyncio.sleep(0.1)
                if env.gateway.store_view.reader.query_outcomes["answered"]:
                    self.check(env.gateway, confirmations)
            relay.listener.close()
            await relay.close()

        self.play(body)

    def test_delayed_store_response_counts_from_when_it_was_composed(self):
        async def body(env):
            store = env.gateway.store_view.reader.store
            read = store.changes
            confirmations = []

            async def delayed(kind, version, wait_s):
                result = await read(kind, version, wait_s)
                if kind == "config":
                    now = asyncio.get_running_loop().time()
                    confirmations.append((now + self.DELAY_S, now))
                    await asyncio.sleep(self.DELAY_S)
                return result

            store.changes = delayed
            # The call that was already waiting has ended after that.
            await asyncio.sleep(7.5)
            self.assertGreater(len(confirmations), 0)
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.check(env.gateway, confirmations)

        self.play(body)
