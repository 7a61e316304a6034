"""Tests that pruning deletes only objects that are not needed."""

from banyantiller.bundle import operators, proposals, reading, retention
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import (
    HeadFound,
    NotReached,
    PartFound,
    Refused,
    Rolled,
)
from banyantiller.store.memory import MemoryStore
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.bundle.samples import BUNDLE, DEPLOYMENT, NOW

LATER = NOW + 2 * retention.MIN_AGE_S


def variant(number: int) -> str:
    return BUNDLE.replace("desk-2", f"desk-{number}")


def late_operator() -> operators.Operator:
    return samples.operator("ana")._replace(wall=lambda: LATER)


async def accept(store: MemoryStore, versions: int) -> None:
    for number in range(2, versions + 2):
        digest = await samples.prepare(store, variant(number))
        assert isinstance(await samples.roll(store, digest), Rolled)


def names(store: MemoryStore, kind: str) -> set[str]:
    return {name for its_kind, name in store.table.records if its_kind == kind}


class RetentionTest(TestCase):
    def test_kept_versions_and_open_or_recent_proposals_stay(self):
        async def body():
            store = MemoryStore()
            await accept(store, 4)
            opened = await samples.prepare(store, variant(9))
            stale = await self.propose(store, variant(3), LATER - 10)
            pruned = await retention.prune(
                store, DEPLOYMENT, 2, late_operator()
            )
            # Versions 1 and 2 are deleted. The recent proposal reuses the
            # part of version 2.
            self.assertEqual(2, len(pruned.proposals))
            self.assertEqual(1, len(pruned.parts))
            self.assertEqual(0, pruned.failed)
            left = names(store, reading.PROPOSALS)
            for digest in (opened, stale):
                self.assertIn(reading.proposal_name(DEPLOYMENT, digest), left)
            head = await reading.read_head(store, DEPLOYMENT)
            self.assertIsInstance(head, HeadFound)
            for part in head.accepted.manifest.parts:
                found = await reading.read_part(store, part)
                self.assertIsInstance(found, PartFound)
            self.assertIsInstance(await samples.roll(store, opened), Rolled)

        self.run_paused(body())

    async def propose(self, store: MemoryStore, text: str, now: float) -> str:
        ana = samples.operator("ana")._replace(wall=lambda: now)
        bundle: Bundle = samples.bundle(text)
        done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
        return done.digest

    def test_a_part_reused_while_pruning_is_not_deleted(self):
        async def body():
            store = MemoryStore()
            await accept(store, 4)
            delete = store.delete

            async def late_delete(item):
                self.patch(store, "delete", delete)
                await self.propose(store, variant(2), LATER)
                return await delete(item)

            self.patch(store, "delete", late_delete)
            pruned = await retention.prune(
                store, DEPLOYMENT, 2, late_operator()
            )
            self.assertEqual(1, pruned.failed)
            self.assertEqual(2, len(pruned.parts))
            self.assertEqual(4, len(names(store, reading.PARTS)))

        self.run_paused(body())

    def test_a_recent_part_without_a_proposal_is_kept(self):
        async def body():
            store = MemoryStore()
            await accept(store, 2)
            for name, age_s in (("young", 60), ("old", retention.MIN_AGE_S)):
                value = {"data": "{}", "stored_at": LATER - age_s}
                await store.create(reading.PARTS, name, value)
            pruned = await retention.prune(
                store, DEPLOYMENT, 2, late_operator()
            )
            self.assertEqual(("old",), pruned.parts)

        self.run_paused(body())

    def test_recent_objects_and_a_dry_run(self):
        async def body():
            store = MemoryStore()
            await accept(store, 4)
            before = dict(store.table.records)
            young = await retention.prune(
                store, DEPLOYMENT, 2, samples.operator("ana")
            )
            self.assertEqual(retention.PruneResult((), ()), young)
            listed = await retention.prune(
                store, DEPLOYMENT, 2, late_operator(), dry_run=True
            )
            self.assertEqual(2, len(listed.proposals))
            self.assertEqual(before, store.table.records)

        self.run_paused(body())

    def test_refusals(self):
        async def body():
            store = MemoryStore()
            ana = late_operator()
            for versions in (1, 2):
                outcome = await retention.prune(
                    store, DEPLOYMENT, versions, ana
                )
                self.assertIsInstance(outcome, Refused)
            store.faults.down = True
            outcome = await retention.prune(store, DEPLOYMENT, 2, ana)
            self.assertIsInstance(outcome, NotReached)

        self.run_paused(body())
