"""Tests of the pure replica."""

import random

from banyantiller.bundle import canonical, signing
from banyantiller.bundle.manifest import AcceptedBundle, Manifest
from banyantiller.replica import state
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.replica import support


def accepted(
    version: int, number: int | None = None, parent: str = "ab" * 32
) -> tuple[AcceptedBundle, list[bytes]]:
    """A signed bundle of a version and its parts."""
    bundle = samples.bundle(support.text(version if number is None else number))
    parts = canonical.split(bundle)
    manifest = Manifest(
        samples.DEPLOYMENT,
        version,
        parent if version > 1 else "",
        "ana",
        "",
        tuple(part for part, _ in parts.values()),
    )
    signatures = tuple(
        signing.sign(samples.KEYS[name].private, name, role, manifest)
        for name, role in (("ana", signing.PROPOSE), ("ben", signing.SIGN))
    )
    made = AcceptedBundle(manifest, signatures, samples.NOW, "ana")
    return made, [data for _, data in parts.values()]


class ReplicaTest(TestCase):
    def setUp(self):
        super().setUp()
        self.replica = state.Replica(samples.TRUSTED, samples.DEPLOYMENT)

    def offer(self, made: AcceptedBundle):
        return self.replica.offer(made, samples.NOW)

    def put(self, version: int) -> AcceptedBundle:
        made, parts = accepted(version)
        self.offer(made)
        for data in parts:
            self.replica.add_part(data)
        self.replica.advance()
        return made

    def test_the_old_one_stays_until_every_part_is_here(self):
        self.put(1)
        made, parts = accepted(2)
        verdict = self.offer(made)
        # The first service did not change, so only one part is missing.
        self.assertEqual(1, len(verdict.missing))
        self.assertIsNone(self.replica.advance())
        self.assertEqual(1, self.replica.version)
        changed = next(
            x for x in parts if canonical.digest(x) == verdict.missing[0].digest
        )
        self.assertFalse(self.replica.add_part(changed[:-1] + b" "))
        self.assertTrue(self.replica.add_part(changed))
        self.assertEqual(2, self.replica.advance().version)
        self.assertEqual(2, len(self.replica.parts))

    def test_never_lower_and_never_twice(self):
        first, _ = accepted(1)
        second = self.put(2)
        self.assertEqual(state.Ignore(), self.offer(first))
        self.assertEqual(state.Ignore(), self.offer(second))
        self.assertIsNone(self.replica.advance())

    def test_another_digest_of_one_version_is_a_fork(self):
        self.put(2)
        other, _ = accepted(2, number=9)
        self.assertTrue(self.offer(other).fork)
        third, _ = accepted(3)
        self.offer(third)
        self.assertTrue(self.offer(accepted(3, number=9)[0]).fork)
        self.assertFalse(self.replica.descends(third))
        self.assertTrue(self.replica.descends(accepted(4)[0]))

    def test_bad_signatures_are_refused_and_are_no_fork(self):
        self.put(1)
        made, _ = accepted(2)
        for bad in (
            made._replace(signatures=made.signatures[:1]),
            made._replace(manifest=made.manifest._replace(version=3)),
            made._replace(manifest=made.manifest._replace(deployment="other")),
        ):
            verdict = self.offer(bad)
            self.assertIsInstance(verdict, state.Refuse)
            self.assertFalse(verdict.fork)
        self.assertEqual({}, self.replica.candidates)

    def test_any_order_of_offers_and_parts_only_goes_up(self):
        made = [accepted(version) for version in range(1, 7)]
        steps = [("offer", one) for one, _ in made]
        steps += [("part", data) for _, parts in made for data in parts]
        for seed in range(60):
            rng = random.Random(seed)
            replica = state.Replica(samples.TRUSTED, samples.DEPLOYMENT)
            before = 0
            for kind, value in rng.choices(steps, k=60):
                if kind == "offer":
                    replica.offer(value, samples.NOW)
                else:
                    replica.add_part(value, keep_spare=rng.random() < 0.5)
                replica.advance(floor=rng.choice((0, 0, 3)))
                self.assertGreaterEqual(replica.version, before)
                before = replica.version
                self.assertLessEqual(
                    len(replica.candidates), state.MOST_CANDIDATES
                )

    def test_spare_parts_complete_an_offer_at_once(self):
        made, parts = accepted(1)
        for data in parts:
            self.assertFalse(self.replica.add_part(data, keep_spare=True))
        self.assertEqual(state.Adopt(()), self.offer(made))
        self.assertEqual(1, self.replica.advance().version)
        self.assertEqual({}, self.replica.spare)

    def test_earlier_content_under_a_new_version_needs_no_part(self):
        self.put(1)
        self.put(2)
        made, _ = accepted(3, number=1)
        self.assertEqual(state.Adopt(()), self.offer(made))
        self.assertEqual(3, self.replica.advance().version)

    def test_spare_parts_are_bounded(self):
        for number in range(30):
            self.replica.add_part(b"%d" % number * 50_000, keep_spare=True)
        kept = sum(map(len, self.replica.spare.values()))
        self.assertLessEqual(kept, state.MOST_SPARE_BYTES)
        self.assertGreater(kept, 0)

    def test_a_signed_part_that_is_no_service_is_refused(self):
        self.put(1)
        made, _ = accepted(2)
        data = b'{"name":1}'
        part = made.manifest.parts[0]._replace(
            digest=canonical.digest(data), size=len(data)
        )
        manifest = made.manifest._replace(parts=(part,))
        signatures = tuple(
            signing.sign(
                samples.KEYS[x.operator].private, x.operator, x.role, manifest
            )
            for x in made.signatures
        )
        self.offer(made._replace(manifest=manifest, signatures=signatures))
        self.replica.add_part(data)
        refused = self.replica.advance()
        self.assertIsInstance(refused, state.Refuse)
        self.assertEqual(2, refused.version)
        self.assertEqual(1, self.replica.version)
