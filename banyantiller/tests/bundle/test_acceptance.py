"""Tests of proposing, signing and rolling bundles."""

from banyantiller.bundle import (
    acceptance,
    approval,
    canonical,
    descriptions,
    proposals,
    reading,
)
from banyantiller.bundle.outcomes import (
    DamagedObject,
    NoHead,
    NotReached,
    OutOfDate,
    PartFound,
    Proposed,
    Refused,
    Rolled,
)
from banyantiller.store.memory import MemoryStore
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.bundle.acceptance_case import (
    SECOND,
    THIRD,
    alter,
    head_of,
    version_of,
)
from banyantiller.tests.bundle.samples import BUNDLE, DEPLOYMENT


class RollTest(TestCase):
    def test_first_and_second_bundle(self):
        async def body():
            store = MemoryStore()
            self.assertEqual(NoHead(), await head_of(store))
            digest = await samples.prepare(store, BUNDLE)
            self.assertEqual(NoHead(), await head_of(store))
            rolled = await samples.roll(store, digest)
            self.assertIsInstance(rolled, Rolled)
            head = await head_of(store)
            self.assertEqual((1, digest), (version_of(head), head.digest))
            creates = store.calls["create"]
            second = await samples.prepare(store, SECOND)
            # One part changed, and the proposal itself is new.
            self.assertEqual(creates + 2, store.calls["create"])
            await samples.roll(store, second)
            head = await head_of(store)
            self.assertEqual((2, second), (version_of(head), head.digest))
            self.assertEqual(digest, head.accepted.manifest.parent)
            for part in head.accepted.manifest.parts:
                found = await reading.read_part(store, part)
                self.assertIsInstance(found, PartFound)
                self.assertEqual(part.service, found.service.name)

        self.run_paused(body())

    def test_each_command_can_be_repeated(self):
        async def body():
            store = MemoryStore()
            first = await samples.prepare(store, BUNDLE)
            self.assertEqual(first, await samples.prepare(store, BUNDLE))
            await samples.roll(store, first)
            again = await samples.roll(store, first, "cy")
            self.assertIsInstance(again, Rolled)
            self.assertEqual("ana", again.accepted.roller)
            await samples.roll(store, await samples.prepare(store, SECOND))
            late = await samples.roll(store, first)
            self.assertIsInstance(late, Rolled)
            self.assertIn("Version 2 of 'ana' has followed", late.note)

        self.run_paused(body())

    def test_each_change_is_recorded_before_it_is_made(self):
        async def body():
            store, trail = MemoryStore(), samples.AuditTrail()
            ana = samples.operator("ana", trail)
            ben = samples.operator("ben", trail)
            bundle = samples.bundle()
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            await approval.sign(store, DEPLOYMENT, done.digest, ben)
            await acceptance.roll(store, DEPLOYMENT, done.digest, ana)
            actions = [action for action, _ in trail.entries]
            expected = ["propose", "sign", "roll", "roll_result"]
            self.assertEqual(expected, actions)
            self.assertEqual("rolled", trail.entries[-1][1]["result"])
            second = await samples.prepare(store, SECOND)
            trail.failure = "the trail is unavailable"
            outcome = await acceptance.roll(store, DEPLOYMENT, second, ana)
            self.assertEqual(NotReached(trail.failure), outcome)
            self.assertEqual(1, version_of(await head_of(store)))

        self.run_paused(body())


class RefusalTest(TestCase):
    """A refused roll does not change the bundle in force."""

    def check_refused(self, make_invalid, part: str) -> None:
        async def body():
            store = MemoryStore()
            await samples.roll(store, await samples.prepare(store, BUNDLE))
            before = await head_of(store)
            outcome = await samples.roll(store, await make_invalid(store))
            self.assertIsInstance(outcome, Refused)
            self.assertIn(part, " ".join(outcome.reasons))
            self.assertEqual(before, await head_of(store))

        self.run_paused(body())

    def test_unsigned(self):
        async def make_invalid(store):
            bundle, ana = samples.bundle(SECOND), samples.operator("ana")
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            return done.digest

        self.check_refused(make_invalid, "not signed by a second operator")

    def test_self_signed(self):
        async def make_invalid(store):
            bundle, ana = samples.bundle(SECOND), samples.operator("ana")
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            signed = await approval.sign(store, DEPLOYMENT, done.digest, ana)
            self.assertIsInstance(signed, Refused)
            return done.digest

        self.check_refused(make_invalid, "not signed by a second operator")

    def test_tampered_manifest(self):
        async def make_invalid(store):
            digest = await samples.prepare(store, SECOND)
            name = reading.proposal_name(DEPLOYMENT, digest)
            alter(store, reading.PROPOSALS, name, "Second", "Third!")
            return digest

        self.check_refused(make_invalid, "altered")

    def test_tampered_and_missing_part(self):
        async def change(store, drop: bool) -> str:
            digest = await samples.prepare(store, SECOND)
            found = await reading.read_proposal(store, DEPLOYMENT, digest)
            (part,) = (
                item for item in found.manifest.parts if item.service == "desk"
            )
            if drop:
                del store.table.records[reading.PARTS, part.digest]
            else:
                alter(store, reading.PARTS, part.digest, "9001", "9666")
            return digest

        self.check_refused(lambda store: change(store, False), "was altered")
        self.check_refused(
            lambda store: change(store, True), "There is no part"
        )

    def test_unknown_proposal(self):
        async def make_invalid(store):
            return "0" * 64

        self.check_refused(make_invalid, "There is no proposal")

    def test_out_of_date(self):
        async def body():
            store = MemoryStore()
            first = await samples.prepare(store, BUNDLE)
            other = await samples.prepare(store, THIRD, "ben")
            await samples.roll(store, first)
            before = await head_of(store)
            outcome = await samples.roll(store, other, "ben")
            self.assertEqual(OutOfDate("ana", 1, first), outcome)
            self.assertIn("out of date", descriptions.describe(outcome))
            self.assertEqual(before, await head_of(store))

        self.run_paused(body())

    def test_only_a_new_proposal_replaces_a_damaged_head(self):
        async def body():
            store = MemoryStore()
            await samples.roll(store, await samples.prepare(store, BUNDLE))
            second = await samples.prepare(store, SECOND)
            alter(store, reading.HEADS, DEPLOYMENT, '\\"roller\\"', '\\"x\\"')
            damaged = await head_of(store)
            self.assertIsInstance(damaged, DamagedObject)
            outcome = await samples.roll(store, second)
            self.assertEqual(Refused((acceptance.DAMAGED_HEAD,)), outcome)
            self.assertEqual(damaged, await head_of(store))
            again = await samples.prepare(store, SECOND)
            self.assertIsInstance(await samples.roll(store, again), Rolled)
            self.assertEqual(2, version_of(await head_of(store)))

        self.run_paused(body())

    def test_version_after_a_restored_head_is_above_those_of_daemons(self):
        async def body():
            store = MemoryStore()
            await samples.roll(store, await samples.prepare(store, BUNDLE))
            restored = store.table.records[reading.HEADS, DEPLOYMENT]
            await samples.roll(store, await samples.prepare(store, SECOND))
            store.table.records[reading.HEADS, DEPLOYMENT] = restored
            for present in (True, False):
                if not present:
                    del store.table.records[reading.HEADS, DEPLOYMENT]
                digest = await samples.prepare(store, THIRD, floor=2)
                self.assertIsInstance(await samples.roll(store, digest), Rolled)
                self.assertEqual(3, version_of(await head_of(store)))

        self.run_paused(body())


class SignTest(TestCase):
    def test_content_that_parsing_would_reject_is_not_signed(self):
        async def body():
            store = MemoryStore()
            ana, ben = samples.operator("ana"), samples.operator("ben")
            bundle = samples.bundle()
            archive, desk = bundle.services
            for service, part in (
                (desk._replace(slots=0), "services[1].slots: 0 is below 1"),
                (desk._replace(path="x"), "does not begin with '/'"),
                (desk._replace(path="/archive"), "the same host and path"),
            ):
                invalid = bundle._replace(services=(service, archive))
                done = await proposals.propose(store, DEPLOYMENT, invalid, ana)
                signed = await approval.sign(
                    store, DEPLOYMENT, done.digest, ben
                )
                self.assertIsInstance(signed, Refused)
                self.assertIn(part, " ".join(signed.reasons))

        self.run_paused(body())


class ProposeTest(TestCase):
    def test_an_untrusted_proposer_is_refused(self):
        async def body():
            store = MemoryStore()
            dora = samples.operator("ana")._replace(name="dora")
            done = await proposals.propose(
                store, DEPLOYMENT, samples.bundle(), dora
            )
            self.assertIsInstance(done, Refused)
            self.assertEqual({}, store.table.records)

        self.run_paused(body())

    def test_a_part_too_large_for_an_object_is_refused(self):
        async def body():
            store = MemoryStore()
            bundle = samples.bundle()
            desk = bundle.services[1]
            # Each quote takes four bytes in the object, two in the part.
            big = desk._replace(hosts=('"' * 300_000,))
            done = await proposals.propose(
                store,
                DEPLOYMENT,
                bundle._replace(services=(big,)),
                samples.operator("ana"),
            )
            self.assertIsInstance(done, Refused)
            self.assertIn("too large for one object", done.reasons[0])

        self.run_paused(body())

    def test_a_stored_part_with_other_content_is_refused(self):
        async def body():
            store = MemoryStore()
            bundle, ana = samples.bundle(), samples.operator("ana")
            part, _ = canonical.split(bundle)["desk"]
            await store.create(reading.PARTS, part.digest, {"data": "{}"})
            done = await proposals.propose(store, DEPLOYMENT, bundle, ana)
            self.assertIsInstance(done, Refused)
            self.assertNotIsInstance(done, Proposed)

        self.run_paused(body())
