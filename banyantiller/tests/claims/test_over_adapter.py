"""Claims and the measuring budget over the real adapter and its stand-in."""

import asyncio
import random

from banyantiller.bundle import options
from banyantiller.claims import arbiter, records, sweeping, types
from banyantiller.measuring import budget
from banyantiller.store import interface, kubernetes
from banyantiller.tests.store import test_kubernetes

RESPONSE = types.RecordedResponse(201, (("x-note", "déjà vu"),), b"\x00\xff")
RETENTION_S = 600.0


class OverAdapterTest(test_kubernetes.AdapterTestCase):
    def test_key_is_claimed_replayed_and_swept(self) -> None:
        async def check(store: kubernetes.KubernetesStore, _) -> None:
            wall = [1e9]
            claims = [
                arbiter.StoreClaims.from_settings(
                    store, "fleet.one", f"d{number}", lambda: wall[0]
                )
                for number in range(2)
            ]
            sweeper = sweeping.Sweeper(
                store, "fleet.one", lambda: wall[0], random.Random(1)
            )
            await sweeper.sweep()
            request = types.ClaimRequest("desk", '"k 1"', "f1", RETENTION_S)
            deadline = asyncio.get_running_loop().time() + 5
            first = await claims[0].claim(request, deadline)
            second = await claims[1].claim(request, deadline)
            self.assertIsInstance(first, types.Granted)
            self.assertIsInstance(second, types.Denied)
            await claims[0].finish(request, first.nonce, RESPONSE)
            again = await claims[1].claim(request, deadline)
            self.assertEqual(types.Finished(RESPONSE), again)
            wall[0] += RETENTION_S + sweeping.EXPIRY_MARGIN_S + 120
            for _ in range(20):
                await sweeper.sweep()
            left = await store.list(records.OBJECT_KIND)
            self.assertIsInstance(left, interface.Listed)
            self.assertEqual((), left.items)

        self.run_with_api(check)

    def test_probes_are_charged(self) -> None:
        async def check(store: kubernetes.KubernetesStore, _) -> None:
            loop = asyncio.get_running_loop()
            part = budget.Budget.from_settings(
                store, "fleet.one", "d1", lambda: 1e9 + loop.time()
            )
            policy = options.MeasuringPolicy(probes_per_second=1.0)
            part.configure([options.Service("desk", (), measuring=policy)])
            charge = part.charger("desk")
            running = asyncio.create_task(part.run())
            charged = 0
            for _ in range(300):
                charged += charge(loop.time())
                await asyncio.sleep(0.1)
            running.cancel()
            self.assertTrue(10 <= charged <= 30, charged)

        self.run_with_api(check)
