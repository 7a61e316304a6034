"""Tests that calls made late in a silent outage of the store delay nothing."""

import asyncio

from banyantiller.tests.gateway import change_harness, harness

OUTAGE_S = 3.3
# Time after an outage from which bounds hold again, in seconds.
CONTACT_S = 3.0
MAX_LAG_S = 2.0
# Begins of the outage relative to the daemons' calls, which take turns within
# seconds.
OFFSETS_S = (0.0, 0.4, 0.8, 1.2, 1.6, 2.0, 2.4, 2.8)


async def play(offset_s):
    """Plays an outage and returns what differs at daemons after the bound."""
    async with harness.GatewayHarness() as env:
        first = env.gateway
        fleet = await change_harness.start_fleet(env)
        await asyncio.sleep(change_harness.SETTLE_S + offset_s)
        env.store.faults.silent = True
        await asyncio.sleep(OUTAGE_S)
        env.store.faults.silent = False
        await asyncio.sleep(CONTACT_S)
        late = []
        for _ in range(2):
            env.put_document()
            await asyncio.sleep(MAX_LAG_S)
            late += [
                one.settings.daemon
                for one in (first, *fleet)
                if one.store_view.version != env.version
            ]
        env.register("s0", state="draining")
        await asyncio.sleep(MAX_LAG_S)
        late += [
            one.settings.daemon
            for one in (first, *fleet)
            if not one.store_view.table.entries["s0"].server.leaving
        ]
        env.gateway = first
        for one in fleet:
            one.listener.close()
            await one.close()
        return late


class SilentOutageTest(harness.TestCase):
    def test_changes_after_a_silent_outage_are_in_force_in_time(self):
        for offset_s in OFFSETS_S:
            self.assertEqual([], self.run_paused(play(offset_s)), offset_s)
