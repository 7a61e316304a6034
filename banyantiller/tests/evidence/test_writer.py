"""Tests of the writer: outages, lost responses, alterations, retention."""

import asyncio
import random
from typing import Any

from banyantiller.evidence import chain, cleanup, layout, trail
from banyantiller.store import interface, memory, table
from banyantiller.tests import base
from banyantiller.tests.evidence import samples


class WriterTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = table.ObjectTable()

    def blocks(self) -> list[interface.StoredObject]:
        return list(self.table.list(layout.BLOCK_KIND).items)

    def records(self) -> dict[int, dict[str, Any]]:
        found: dict[int, dict[str, Any]] = {}
        for block in self.blocks():
            for record in block.value["records"]:
                self.assertNotIn(record["sequence"], found)
                found[record["sequence"]] = record
        return found

    def test_each_period_is_stored_in_one_chain(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(301)
            await parts.shut_down()
            self.assertEqual(32 - 4 + 1, parts.store.calls["update"])

        self.run_paused(scenario())
        records = self.records()
        self.assertEqual([], chain.check_links(records))
        self.assertEqual(list(range(1, 33)), sorted(records))
        self.assertTrue(records[1]["started"])
        self.assertTrue(records[32]["final"])
        self.assertEqual(4, len(self.blocks()))
        for before, after in zip(
            list(records.values()), list(records.values())[1:], strict=False
        ):
            self.assertEqual(before["to_ms"], after["from_ms"])

    def test_run_is_announced_and_closed(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(15)
            run = layout.parse_run(
                self.table.list(layout.RUN_KIND).items[0].value
            )
            self.assertEqual((0, 10_000), (run.ended_ms, run.period_ms))
            await parts.shut_down()

        self.run_paused(scenario())
        run = layout.parse_run(self.table.list(layout.RUN_KIND).items[0].value)
        self.assertTrue(run.ended_ms > run.started_ms)

    def test_outage_keeps_counts_and_records_merged_periods(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(5)
            parts.store.faults.down = True
            for _ in range(60):
                parts.kernel.emit(samples.call())
                await asyncio.sleep(10)
            parts.store.faults.down = False
            await asyncio.sleep(20)
            await parts.shut_down()

        self.run_paused(scenario())
        records = self.records()
        self.assertEqual([], chain.check_links(records))
        calls = [
            r.get("calls", {}).get("registry", 0) for r in records.values()
        ]
        self.assertEqual(60, sum(calls))
        self.assertTrue(len(records) < 45)
        self.assertTrue(any(r.get("merged", 1) > 1 for r in records.values()))

    def test_lost_responses_do_not_fork_the_chain(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            for _ in range(12):
                parts.store.faults.lose_answers = 1
                await asyncio.sleep(10)
            await parts.shut_down()

        self.run_paused(scenario())
        records = self.records()
        self.assertEqual([], chain.check_links(records))
        self.assertTrue(records[max(records)]["final"])

    def test_late_writes_do_not_fork_the_chain(self) -> None:
        """The store answers writes as unknown and applies them later."""

        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(12)
            parts.store.faults.slow_s = 5.0
            await asyncio.sleep(60)
            parts.store.faults.slow_s = 0.0
            await asyncio.sleep(40)
            await parts.shut_down()

        self.run_paused(scenario())
        records = self.records()
        self.assertEqual([], chain.check_links(records))
        self.assertTrue(records[max(records)]["final"])

    def test_stale_read_after_a_lost_response_is_no_alteration(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(22)
            parts.store.serve_stale(True)
            await asyncio.sleep(18)
            parts.store.faults.lose_answers = 1
            await asyncio.sleep(30)
            parts.store.serve_stale(False)
            await asyncio.sleep(8)
            await parts.shut_down()

        self.run_paused(scenario())
        self.assertEqual(1, len(self.blocks()))
        self.assertEqual([], chain.check_links(self.records()))

    def test_altered_block_is_not_overwritten(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(35)
            block = self.blocks()[0]
            block.value["records"][1]["to_ms"] += 1
            self.table.update(block, block.value)
            await asyncio.sleep(35)
            await parts.shut_down()

        self.run_paused(scenario())
        records = self.records()
        self.assertEqual(2, len(self.blocks()))
        problems = chain.check_links(records)
        self.assertEqual(
            [(2, chain.Damage.ALTERED)],
            [(item.sequence, item.damage) for item in problems],
        )

    def test_deleted_block_leaves_a_gap(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.start()
            await asyncio.sleep(35)
            self.table.delete(self.blocks()[0])
            await asyncio.sleep(35)
            await parts.shut_down()

        self.run_paused(scenario())
        records = self.records()
        self.assertEqual(5, min(records))
        self.assertTrue(records[max(records)]["final"])

    def test_graceful_shutdown_is_bounded_while_the_store_is_down(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            parts.store.faults.down = True
            before = asyncio.get_running_loop().time()
            await parts.shut_down()
            self.assertTrue(asyncio.get_running_loop().time() - before < 6)

        self.run_paused(scenario())
        self.assertEqual([], self.blocks())

    def test_many_listed_breaches_stay_below_the_size_limit(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table, most_requests=1000)
            parts.start()
            for _ in range(10):
                for index in range(1100):
                    request_id = f"{index:060d}"
                    parts.kernel.emit(samples.call(request_id, cut=True))
                await asyncio.sleep(10)
            await parts.shut_down()
            self.assertEqual([], parts.writer.sealed)

        self.run_paused(scenario())
        self.assertTrue(len(self.blocks()) > 1)
        self.assertEqual([], chain.check_links(self.records()))

    def test_summaries_contain_the_audit_tip(self) -> None:
        async def scenario() -> None:
            parts = samples.DaemonParts(self.table)
            tip = {"sequence": 9, "digest": "ab"}
            self.table.create(trail.TIP_KIND, samples.FLEET, tip)
            parts.start()
            await asyncio.sleep(20)
            await parts.shut_down()

        self.run_paused(scenario())
        last = self.records()[max(self.records())]
        self.assertEqual(
            (9, "ab"), (last["audit_sequence"], last["audit_digest"])
        )


class CleanupTest(base.TestCase):
    def test_only_expired_objects_are_removed(self) -> None:
        objects = table.ObjectTable()
        store = memory.MemoryStore(objects)
        now_ms = round(samples.EPOCH * 1000)
        for age_days in range(8):
            at_ms = now_ms - age_days * cleanup.DAY_MS
            run = layout.Run("fleet", f"b{age_days}", "z", at_ms, 1, at_ms)
            value = layout.run_value(run)
            labels = layout.block_labels(run, at_ms)
            objects.create(layout.RUN_KIND, run.name, value, labels)
            objects.create(layout.BLOCK_KIND, run.block_name(0), {}, labels)

        async def scenario() -> None:
            rng = random.Random(1)
            for _ in range(30):
                await cleanup.remove_expired(store, "fleet", now_ms, 4, rng)

        self.run_paused(scenario())
        for kind in (layout.RUN_KIND, layout.BLOCK_KIND):
            kept = {i.name.split(".")[1] for i in objects.list(kind).items}
            self.assertEqual({"b0", "b1", "b2", "b3", "b4"}, kept)
