"""Tests of the store in memory: the shared contract and its faults."""

import asyncio

from banyantiller.store import interface, memory, table
from banyantiller.tests import base
from banyantiller.tests.store import contract


class MemoryStoreContractTest(contract.StoreContract, base.TestCase):
    def run_with_store(self, check):
        async def body():
            await check(memory.MemoryStore())

        self.run_paused(body())


class MemoryStoreTest(base.TestCase):
    def test_write_with_a_lost_response_takes_effect(self):
        async def body():
            store = memory.MemoryStore()
            store.faults.lose_answers = 1
            lost = await store.create("k", "a", {"n": 1})
            found = await store.get("k", "a")
            again = await store.create("k", "a", {"n": 2})
            return lost, found.item.value, again

        lost, value, again = self.run_paused(body())
        self.assertIsInstance(lost, interface.Unknown)
        self.assertEqual({"n": 1}, value)
        self.assertEqual(interface.Conflict(), again)

    def test_down_has_no_effect_and_ends_watches(self):
        async def body():
            store = memory.MemoryStore()
            watch = store.watch("k", (await store.list("k")).version)
            await anext(watch)
            store.faults.down = True
            refused = await store.create("k", "a", {})
            ended = [event async for event in watch]
            store.faults.down = False
            return refused, ended, await store.get("k", "a")

        refused, ended, found = self.run_paused(body())
        self.assertIsInstance(refused, interface.Unavailable)
        self.assertIsInstance(ended[-1], interface.Unavailable)
        self.assertEqual(interface.Missing(), found)

    def test_write_slower_than_timeout_takes_effect_late(self):
        async def body():
            store = memory.MemoryStore(timeout_s=1)
            store.faults.slow_s = 5
            outcome = await store.create("k", "a", {})
            read = await store.get("k", "a")
            store.faults.slow_s = 0
            before = await store.get("k", "a")
            await asyncio.sleep(5)
            return outcome, read, before, await store.get("k", "a")

        outcome, read, before, after = self.run_paused(body())
        self.assertIsInstance(outcome, interface.Unknown)
        self.assertIsInstance(read, interface.Unavailable)
        self.assertEqual(interface.Missing(), before)
        self.assertIsInstance(after, interface.Found)

    def test_stale_reads_are_per_store(self):
        async def body():
            shared = table.ObjectTable()
            fresh = memory.MemoryStore(shared)
            stale = memory.MemoryStore(shared)
            stale.serve_stale(True)
            await fresh.create("k", "a", {})
            return await stale.get("k", "a"), await stale.list("k")

        found, listed = self.run_paused(body())
        self.assertEqual(interface.Missing(), found)
        self.assertEqual((), listed.items)

    def test_watch_without_events_ends_after_the_timeout(self):
        async def body():
            store = memory.MemoryStore(bookmark_s=3)
            store.faults.silent_watches = True
            await store.create("k", "a", {})
            start = asyncio.get_running_loop().time()
            events = [event async for event in store.watch("k", "1")]
            return events, asyncio.get_running_loop().time() - start

        events, took = self.run_paused(body())
        self.assertEqual(1, len(events))
        self.assertIsInstance(events[0], interface.Unavailable)
        self.assertAlmostEqual(3, took, places=3)

    def test_watch_before_the_history_or_after_the_last_write_is_gone(self):
        async def body():
            shared = table.ObjectTable(history=2)
            store = memory.MemoryStore(shared)
            for name in "abc":
                await store.create("k", name, {})
            whole = await anext(store.watch("k", "2"))
            found = [await anext(store.watch("k", v)) for v in ("1", "9", "x")]
            return whole, found

        whole, found = self.run_paused(body())
        self.assertEqual("b", whole.item.name)
        self.assertEqual([interface.Gone()] * 3, found)

    def test_compacted_history_is_gone(self):
        async def body():
            store = memory.MemoryStore()
            start = (await store.list("k")).version
            await store.create("k", "a", {})
            store.table.compact()
            return [event async for event in store.watch("k", start)]

        self.assertEqual([interface.Gone()], self.run_paused(body()))
