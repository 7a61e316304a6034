"""Tests of concurrent operators and of lost responses."""

from banyantiller.bundle import (
    approval,
    descriptions,
    proposals,
    reading,
)
from banyantiller.bundle.outcomes import (
    Lost,
    NoHead,
    NotKnown,
    NotReached,
    Refused,
    Rolled,
    Signed,
)
from banyantiller.store.memory import Faults, MemoryStore
from banyantiller.store.table import ObjectTable
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.bundle.acceptance_case import (
    SECOND,
    THIRD,
    head_of,
    version_of,
)
from banyantiller.tests.bundle.samples import BUNDLE, DEPLOYMENT


class RaceTest(TestCase):
    def test_of_two_rolls_one_wins_and_is_named(self):
        async def body():
            table = ObjectTable()
            slow = MemoryStore(table)
            fast = MemoryStore(table)
            await samples.roll(fast, await samples.prepare(fast, BUNDLE))
            one = await samples.prepare(fast, SECOND)
            two = await samples.prepare(fast, THIRD, "ben")
            update = slow.update

            async def late_update(item, value):
                if item.kind == reading.HEADS:
                    await samples.roll(fast, two, "ben")
                return await update(item, value)

            self.patch(slow, "update", late_update)
            outcome = await samples.roll(slow, one)
            self.assertEqual(Lost("ben", 2, two), outcome)
            self.assertIn("'ben' was first", descriptions.describe(outcome))
            self.assertEqual(two, (await head_of(fast)).digest)

        self.run_paused(body())

    def test_two_signers_at_once(self):
        async def body():
            store = MemoryStore()
            bundle, ana = samples.bundle(), samples.operator("ana")
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            update = store.update

            async def late_update(item, value):
                self.patch(store, "update", update)
                cy = samples.operator("cy")
                await approval.sign(store, DEPLOYMENT, done.digest, cy)
                return await update(item, value)

            self.patch(store, "update", late_update)
            ben = samples.operator("ben")
            signed = await approval.sign(store, DEPLOYMENT, done.digest, ben)
            self.assertIsInstance(signed, Signed)
            found = await reading.read_proposal(store, DEPLOYMENT, done.digest)
            names = [item.operator for item in found.signatures]
            self.assertEqual(["ana", "cy", "ben"], names)

        self.run_paused(body())


class LostResponseTest(TestCase):
    def test_each_lost_response_is_resolved_by_reading_back(self):
        async def body():
            for lost in range(1, 9):
                store = MemoryStore(faults=Faults(lose_answers=lost))
                digest = await samples.prepare(store, BUNDLE)
                outcome = await samples.roll(store, digest)
                self.assertIsInstance(outcome, Rolled)
                self.assertEqual(digest, (await head_of(store)).digest)

        self.run_paused(body())

    def test_a_signature_with_a_lost_response_is_added_once(self):
        async def body():
            store = MemoryStore()
            bundle, ana = samples.bundle(), samples.operator("ana")
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            store.faults.lose_answers = 1
            ben = samples.operator("ben")
            signed = await approval.sign(store, DEPLOYMENT, done.digest, ben)
            self.assertIsInstance(signed, Signed)
            found = await reading.read_proposal(store, DEPLOYMENT, done.digest)
            names = [item.operator for item in found.signatures]
            self.assertEqual(["ana", "ben"], names)

        self.run_paused(body())

    def test_a_write_that_takes_effect_after_its_timeout(self):
        async def body():
            store = MemoryStore(timeout_s=0.5)
            digest = await samples.prepare(store, BUNDLE)
            update = store.create

            async def slow_create(*args):
                store.faults.slow_s = 0.9
                self.patch(store, "create", update)
                outcome = await update(*args)
                store.faults.slow_s = 0.0
                return outcome

            self.patch(store, "create", slow_create)
            self.assertIsInstance(await samples.roll(store, digest), Rolled)
            self.assertEqual(1, version_of(await head_of(store)))

        self.run_paused(body())

    def test_an_unknown_outcome_is_reported_and_can_be_repeated(self):
        async def body():
            store = MemoryStore()
            digest = await samples.prepare(store, BUNDLE)
            create = store.create

            async def last_create(*args):
                store.faults.lose_answers = 1
                outcome = await create(*args)
                store.faults.down = True
                return outcome

            self.patch(store, "create", last_create)
            self.assertIsInstance(await samples.roll(store, digest), NotKnown)
            store.faults.down = False
            self.assertIsInstance(await samples.roll(store, digest), Rolled)

        self.run_paused(body())

    def test_an_outage_changes_nothing(self):
        async def body():
            store = MemoryStore()
            digest = await samples.prepare(store, BUNDLE)
            store.faults.down = True
            self.assertIsInstance(await samples.roll(store, digest), NotReached)
            bundle, ana = samples.bundle(), samples.operator("ana")
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            self.assertIsInstance(done, NotReached)
            ben = samples.operator("ben")
            done = await approval.sign(store, DEPLOYMENT, digest, ben)
            self.assertIsInstance(done, NotReached)
            store.faults.down = False
            self.assertEqual(NoHead(), await head_of(store))

        self.run_paused(body())

    def test_stale_reads_never_name_a_wrong_winner(self):
        async def body():
            table = ObjectTable()
            fresh, stale = MemoryStore(table), MemoryStore(table)
            await samples.roll(fresh, await samples.prepare(fresh, BUNDLE))
            second = await samples.prepare(fresh, SECOND)
            stale.serve_stale(True)
            await samples.roll(fresh, second)
            third = await samples.prepare(fresh, THIRD)
            outcome = await samples.roll(stale, second)
            self.assertIsInstance(outcome, NotReached)
            self.assertIsInstance(await samples.roll(stale, third), Refused)
            stale.serve_stale(False)
            self.assertIsInstance(await samples.roll(stale, third), Rolled)
            self.assertEqual(third, (await head_of(fresh)).digest)

        self.run_paused(body())
