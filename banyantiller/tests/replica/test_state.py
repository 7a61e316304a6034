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
    """Returns a signed bundle of a version, and its parts."""
    bundle = samples.bundle(
        support.bundle_text(version if number is None else number)
    )
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
    signed = AcceptedBundle(manifest, signatures, samples.NOW, "ana")
    return signed, [data for _, data in parts.values()]


class ReplicaTest(TestCase):
    def setUp(self):
        super().setUp()
        self.replica = state.Replica(samples.TRUSTED, samples.DEPLOYMENT)

    def offer(self, signed: AcceptedBundle):
        return self.replica.offer(signed, samples.NOW)

    def put_in_force(self, version: int) -> AcceptedBundle:
        signed, parts = accepted(version)
        self.offer(signed)
        for data in parts:
            self.replica.add_part(data)
        self.replica.advance()
        return signed

    def test_old_bundle_stays_in_force_until_all_parts_arrived(self):
        self.put_in_force(1)
        signed, parts = accepted(2)
        verdict = self.offer(signed)
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

    def test_older_and_repeated_bundles_are_ignored(self):
        first, _ = accepted(1)
        second = self.put_in_force(2)
        self.assertEqual(state.Ignore(), self.offer(first))
        self.assertEqual(state.Ignore(), self.offer(second))
        self.assertIsNone(self.replica.advance())

    def test_second_digest_of_a_version_is_a_fork(self):
        self.put_in_force(2)
        conflicting, _ = accepted(2, number=9)
        self.assertTrue(self.offer(conflicting).fork)
        third, _ = accepted(3)
        self.offer(third)
        self.assertTrue(self.offer(accepted(3, number=9)[0]).fork)
        self.assertFalse(self.replica.descends(third))
        self.assertTrue(self.replica.descends(accepted(4)[0]))

    def test_invalid_signatures_are_refused_and_are_no_fork(self):
        self.put_in_force(1)
        signed, _ = accepted(2)
        for invalid in (
            signed._replace(signatures=signed.signatures[:1]),
            signed._replace(manifest=signed.manifest._replace(version=3)),
            signed._replace(
                manifest=signed.manifest._replace(deployment="other")
            ),
        ):
            verdict = self.offer(invalid)
            self.assertIsInstance(verdict, state.Refuse)
            self.assertFalse(verdict.fork)
        self.assertEqual({}, self.replica.candidates)

    def test_version_never_decreases_for_any_order_of_inputs(self):
        signed = [accepted(version) for version in range(1, 7)]
        steps = [("offer", one) for one, _ in signed]
        steps += [("part", data) for _, parts in signed for data in parts]
        for seed in range(60):
            rng = random.Random(seed)
            replica = state.Replica(samples.TRUSTED, samples.DEPLOYMENT)
            before = 0
            for kind, value in rng.choices(steps, k=60):
                if kind == "offer":
                    replica.offer(value, samples.NOW)
                else:
                    replica.add_part(value, cache_unneeded=rng.random() < 0.5)
                replica.advance(min_version=rng.choice((0, 0, 3)))
                self.assertGreaterEqual(replica.version, before)
                before = replica.version
                self.assertLessEqual(
                    len(replica.candidates), state.MAX_CANDIDATES
                )

    def test_cached_parts_complete_an_offer_at_once(self):
        signed, parts = accepted(1)
        for data in parts:
            self.assertFalse(self.replica.add_part(data, cache_unneeded=True))
        self.assertEqual(state.Adopt(()), self.offer(signed))
        self.assertEqual(1, self.replica.advance().version)
        self.assertEqual({}, self.replica.cached_parts)

    def test_earlier_content_under_a_new_version_needs_no_part(self):
        self.put_in_force(1)
        self.put_in_force(2)
        signed, _ = accepted(3, number=1)
        self.assertEqual(state.Adopt(()), self.offer(signed))
        self.assertEqual(3, self.replica.advance().version)

    def test_cached_parts_are_bounded(self):
        for number in range(30):
            self.replica.add_part(b"%d" % number * 50_000, cache_unneeded=True)
        cached_bytes = sum(map(len, self.replica.cached_parts.values()))
        self.assertLessEqual(cached_bytes, state.MAX_CACHED_BYTES)
        self.assertGreater(cached_bytes, 0)

    def test_a_signed_part_that_is_no_service_is_refused(self):
        self.put_in_force(1)
        signed, _ = accepted(2)
        data = b'{"name":1}'
        part = signed.manifest.parts[0]._replace(
            digest=canonical.digest(data), size=len(data)
        )
        manifest = signed.manifest._replace(parts=(part,))
        signatures = tuple(
            signing.sign(
                samples.KEYS[x.operator].private, x.operator, x.role, manifest
            )
            for x in signed.signatures
        )
        self.offer(signed._replace(manifest=manifest, signatures=signatures))
        self.replica.add_part(data)
        refused = self.replica.advance()
        self.assertIsInstance(refused, state.Refuse)
        self.assertEqual(2, refused.version)
        self.assertEqual(1, self.replica.version)
