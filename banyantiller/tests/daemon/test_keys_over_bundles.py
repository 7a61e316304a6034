"""Tests of idempotency keys that are repeated under a different bundle."""

import asyncio

from banyantiller.store import memory
from banyantiller.tests import base
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole

DEPOSITS = """\
  - name: deposits
    path: /orders/deposits
    servers:
      - {name: desk-1, address: 127.0.0.1, port: 9001, zone: zone-1}
    requests:
      - {idempotent: true, methods: [GET, HEAD]}
"""


class KeysOverBundlesTest(base.TestCase):
    def test_key_is_repeated_after_its_path_moved_to_another_service(
        self,
    ) -> None:
        """Version 2 moves the path of deposits to a separate service.

        A caller repeats a deposit with the same key, method, path and body
        under version 2. If keys were claimed by service name, the new service
        would not find the claim of the first run: both requests would get 200,
        and the deposit would run twice.
        """

        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(1)
            deposit = ("POST", "/orders/deposits", b"deposit", '"k1"')
            first = await whole.send(8001, *deposit)
            self.assertEqual(200, first.status, first)
            store = memory.MemoryStore(fleet.table)
            text = samples.BUNDLE + DEPOSITS
            await samples.roll(store, await samples.prepare(store, text))
            await asyncio.sleep(whole.SETTLED_S)
            self.assertEqual(2, fleet.daemons[0].proxy.version)
            await whole.send(8001, *deposit)
            self.assertEqual(1, fleet.runs.count("deposit"))
            await fleet.stop()

        self.run_paused(scenario())

    def test_key_is_sent_to_daemons_with_different_bundles(self) -> None:
        """The second daemon applies version 2 while the first has version 1."""

        async def scenario() -> None:
            fleet = whole.Fleet()
            await fleet.start(2)
            old, new = fleet.daemons
            old.proxy.apply = lambda *_: None
            store = memory.MemoryStore(fleet.table)
            text = samples.BUNDLE + DEPOSITS
            await samples.roll(store, await samples.prepare(store, text))
            await asyncio.sleep(whole.SETTLED_S)
            self.assertEqual([1, 2], [old.proxy.version, new.proxy.version])
            fleet.service_s = 0.5
            deposit = ("POST", "/orders/deposits", b"deposit", '"k1"')
            first, second = await asyncio.gather(
                whole.send(8001, *deposit), whole.send(8002, *deposit)
            )
            self.assertEqual([200, 409], sorted([first.status, second.status]))
            for port in (8001, 8002):
                repeated = await whole.send(port, *deposit)
                self.assertEqual(200, repeated.status, repeated)
            self.assertEqual(1, fleet.runs.count("deposit"))
            await fleet.stop()

        self.run_paused(scenario())
