"""Tests of the audit trail: races, lost responses, and damage."""

import asyncio
from typing import Any

from banyantiller.evidence import audit, chain, trail
from banyantiller.store import interface, memory, table
from banyantiller.tests import base

FLEET = "fleet"


class AuditCase(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = table.ObjectTable()
        self.store = memory.MemoryStore(self.table)

    async def append(
        self, action: str, store: memory.MemoryStore | None = None
    ) -> audit.AppendOutcome:
        return await audit.append(
            store or self.store, FLEET, action, "awa", {}, lambda: 1000.0
        )

    async def append_many(self, count: int) -> None:
        for index in range(count):
            outcome = await self.append(f"change-{index}")
            self.assertIsInstance(outcome, audit.Appended)

    def put(self, sequence: int, value: dict[str, Any]) -> None:
        item = self.item(trail.ENTRY_KIND, trail.entry_name(FLEET, sequence))
        self.table.update(item, value)

    def remove(self, sequence: int) -> None:
        self.table.delete(
            self.item(trail.ENTRY_KIND, trail.entry_name(FLEET, sequence))
        )

    def item(self, kind: str, name: str) -> interface.StoredObject:
        found = self.table.get(kind, name)
        assert isinstance(found, interface.Found)
        return found.item

    def check(self, *tips: chain.Tip) -> list[tuple[int, chain.Damage]]:
        report = self.run_paused(audit.verify(self.store, FLEET, tips))
        self.assertTrue(report.readable)
        self.assertEqual(not report.problems, report.intact)
        return [(item.sequence, item.damage) for item in report.problems]


class AppendTest(AuditCase):
    def test_racing_writers_share_one_chain(self) -> None:
        async def scenario() -> list[audit.AppendOutcome]:
            stores = [memory.MemoryStore(self.table) for _ in range(8)]
            return await asyncio.gather(
                *(self.append(f"by-{i}", s) for i, s in enumerate(stores))
            )

        outcomes = self.run_paused(scenario())
        sequences = sorted(outcome.sequence for outcome in outcomes)
        self.assertEqual(list(range(1, 9)), sequences)
        self.assertEqual([], self.check())

    def test_lost_response_is_resolved_by_reading_back(self) -> None:
        self.store.faults.lose_answers = 1
        outcome = self.run_paused(self.append("roll"))
        self.assertIsInstance(outcome, audit.Appended)
        report = self.run_paused(audit.verify(self.store, FLEET))
        self.assertEqual(1, len(report.entries))

    def test_losing_write_with_a_lost_response_is_not_taken_for_a_success(
        self,
    ) -> None:
        """Another writer's entry takes the sequence number before the retry."""

        async def scenario() -> audit.AppendOutcome:
            store = self.store
            other_store = memory.MemoryStore(self.table)
            create = store.create

            async def lose_race(*args: Any) -> interface.CreateOutcome:
                store.create = create
                await self.append("other", other_store)
                return interface.Unknown("no answer")

            store.create = lose_race
            return await self.append("mine")

        outcome = self.run_paused(scenario())
        self.assertEqual(2, outcome.sequence)
        report = self.run_paused(audit.verify(self.store, FLEET))
        actions = [entry["action"] for entry in report.entries]
        self.assertEqual(["other", "mine"], actions)

    def test_store_down_is_not_appended(self) -> None:
        self.store.faults.down = True
        outcome = self.run_paused(self.append("roll"))
        self.assertIsInstance(outcome, audit.NotAppended)
        self.assertEqual({}, self.table.records)

    def test_write_that_may_take_effect_late_is_not_known(self) -> None:
        async def scenario() -> audit.AppendOutcome:
            create = self.store.create

            async def slow(*args: Any) -> interface.CreateOutcome:
                self.store.faults.slow_s = 60.0
                return await create(*args)

            self.store.create = slow
            outcome = await self.append("roll")
            await asyncio.sleep(120)
            return outcome

        outcome = self.run_paused(scenario())
        self.assertIsInstance(outcome, audit.AppendUnknown)
        self.store.faults.slow_s = 0.0
        report = self.run_paused(audit.verify(self.store, FLEET))
        self.assertEqual(1, len(report.entries))

    def test_stale_recorded_tip_only_costs_extra_reads(self) -> None:
        self.run_paused(self.append_many(2))
        tip = self.item(trail.TIP_KIND, FLEET)
        self.table.update(tip, {"sequence": 0, "digest": ""})
        outcome = self.run_paused(self.append("roll"))
        self.assertEqual(3, outcome.sequence)

    def test_oversized_detail_is_rejected(self) -> None:
        detail = {"text": "x" * (audit.MAX_DETAIL_BYTES + 1)}
        outcome = self.run_paused(
            audit.append(self.store, FLEET, "roll", "awa", detail, lambda: 1.0)
        )
        self.assertIsInstance(outcome, audit.NotAppended)


class VerifyTest(AuditCase):
    def setUp(self) -> None:
        super().setUp()
        self.run_paused(self.append_many(5))

    def entry(self, sequence: int) -> dict[str, Any]:
        name = trail.entry_name(FLEET, sequence)
        return self.item(trail.ENTRY_KIND, name).value

    def test_untouched_trail_is_intact(self) -> None:
        self.assertEqual([], self.check())

    def test_altered_entry(self) -> None:
        self.put(3, {**self.entry(3), "operator": "someone-else"})
        self.assertEqual([(3, chain.Damage.ALTERED)], self.check())

    def test_altered_entry_with_a_new_digest(self) -> None:
        changed = chain.sealed({**self.entry(3), "operator": "someone-else"})
        self.put(3, changed)
        self.assertEqual([(3, chain.Damage.REPLACED)], self.check())

    def test_altered_last_entry_with_a_new_digest(self) -> None:
        changed = chain.sealed({**self.entry(5), "operator": "someone-else"})
        self.put(5, changed)
        self.assertEqual([(5, chain.Damage.REPLACED)], self.check())

    def test_missing_entries(self) -> None:
        self.remove(2)
        self.remove(3)
        self.assertEqual([(2, chain.Damage.MISSING)], self.check())

    def test_missing_first_entry(self) -> None:
        self.remove(1)
        self.assertEqual([(1, chain.Damage.MISSING)], self.check())

    def test_reordered_entries(self) -> None:
        second, third = self.entry(2), self.entry(3)
        self.put(2, third)
        self.put(3, second)
        self.assertEqual(
            {(2, chain.Damage.REORDERED), (3, chain.Damage.REORDERED)},
            set(self.check()) & {(n, chain.Damage.REORDERED) for n in (2, 3)},
        )

    def test_truncated_end(self) -> None:
        self.remove(5)
        self.assertEqual([(5, chain.Damage.TRUNCATED)], self.check())

    def test_truncated_end_with_the_recorded_tip_rewritten(self) -> None:
        """Only a tip stored elsewhere reveals it."""
        seen = chain.Tip(5, self.entry(5)["digest"])
        self.remove(5)
        self.table.update(
            self.item(trail.TIP_KIND, FLEET),
            {"sequence": 4, "digest": self.entry(4)["digest"]},
        )
        self.assertEqual([(5, chain.Damage.TRUNCATED)], self.check(seen))
        self.assertEqual([], self.check())

    def test_rewritten_end_is_found_by_a_tip_stored_elsewhere(self) -> None:
        seen = chain.Tip(5, self.entry(5)["digest"])
        self.remove(5)
        self.table.update(
            self.item(trail.TIP_KIND, FLEET),
            {"sequence": 4, "digest": self.entry(4)["digest"]},
        )
        self.run_paused(self.append("forged"))
        self.assertEqual([(5, chain.Damage.REPLACED)], self.check(seen))

    def test_append_after_a_removed_end_leaves_the_gap_visible(self) -> None:
        self.remove(5)
        self.run_paused(self.append("roll"))
        self.assertEqual([(5, chain.Damage.MISSING)], self.check())

    def test_stale_list_is_read_again_and_not_reported_truncated(self) -> None:
        async def scenario() -> audit.AuditReport:
            self.store.serve_stale(True)
            other_store = memory.MemoryStore(self.table)
            outcome = await self.append("roll", other_store)
            tip = chain.Tip(outcome.sequence, outcome.digest)
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, self.store.serve_stale, False)
            return await audit.verify(self.store, FLEET, [tip])

        self.assertTrue(self.run_paused(scenario()).intact)

    def test_foreign_object_is_reported(self) -> None:
        labels = {"deployment": FLEET}
        self.table.create(trail.ENTRY_KIND, "notes", {}, labels)
        self.assertEqual([(0, chain.Damage.UNREADABLE)], self.check())

    def test_unreadable_trail_is_not_intact(self) -> None:
        self.store.faults.down = True
        report = self.run_paused(audit.verify(self.store, FLEET))
        self.assertFalse(report.readable)
        self.assertFalse(report.intact)
