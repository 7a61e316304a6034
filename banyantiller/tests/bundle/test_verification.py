"""Tests of canonical form, signatures and verification."""

import json

from banyantiller.bundle import canonical, signing, verification
from banyantiller.bundle.manifest import AcceptedBundle, Manifest, Part
from banyantiller.config.defaults import TrustedKey
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.bundle.samples import DEPLOYMENT, KEYS, NOW, TRUSTED

DAY = 86400.0


def manifest() -> Manifest:
    parts = canonical.split(samples.bundle()).values()
    return Manifest(
        DEPLOYMENT, 1, "", "ana", "First.", tuple(part for part, _ in parts)
    )


def accepted(
    to_sign: Manifest | None = None,
    signers: tuple[str, ...] = ("ben",),
    proposer: str = "ana",
) -> AcceptedBundle:
    to_sign = to_sign or manifest()
    signatures = [
        signing.sign(KEYS[proposer].private, "ana", signing.PROPOSE, to_sign)
    ]
    signatures += [
        signing.sign(KEYS[name].private, name, signing.SIGN, to_sign)
        for name in signers
    ]
    return AcceptedBundle(to_sign, tuple(signatures), NOW, "ana")


def reasons(
    offered: AcceptedBundle,
    trusted: tuple[TrustedKey, ...] = TRUSTED,
    deployment: str = DEPLOYMENT,
    now: float = NOW,
) -> str:
    return " ".join(verification.verify(offered, trusted, deployment, now))


class VerificationTest(TestCase):
    def test_a_valid_bundle_has_no_reason_against_it(self):
        self.assertEqual("", reasons(accepted()))
        self.assertEqual("", reasons(accepted(signers=("ana", "cy"))))

    def test_unsigned_and_self_signed(self):
        self.assertIn("second operator", reasons(accepted(signers=())))
        self.assertIn("also signed", reasons(accepted(signers=("ana",))))
        offered = accepted()
        only = offered._replace(signatures=offered.signatures[1:])
        self.assertIn("not signed by its proposer", reasons(only))

    def test_one_key_under_two_names_is_self_signed(self):
        same = TRUSTED[0]._replace(name="ben")
        to_sign = manifest()
        offered = accepted(signers=())
        second_signature = signing.sign(
            KEYS["ana"].private, "ben", "sign", to_sign
        )
        offered = offered._replace(
            signatures=(*offered.signatures, second_signature)
        )
        trusted = (TRUSTED[0], same)
        self.assertIn("a key of the proposer", reasons(offered, trusted))

    def test_signatures_cover_every_field(self):
        offered = accepted()
        valid = offered.manifest
        part = valid.parts[0]
        for change in (
            {"version": 2, "parent": "0" * 64},
            {"description": "Other."},
            {"parts": valid.parts[1:]},
            {"parts": (part._replace(digest="0" * 64), *valid.parts[1:])},
            {"proposer": "cy"},
        ):
            altered = offered._replace(manifest=valid._replace(**change))
            self.assertNotEqual("", reasons(altered), change)

    def test_a_signature_is_valid_for_one_role_only(self):
        offered = accepted()
        proposed = signing.sign(
            KEYS["ben"].private, "ben", signing.PROPOSE, offered.manifest
        )
        moved = proposed._replace(role=signing.SIGN)
        signatures = (offered.signatures[0], moved)
        offered = offered._replace(signatures=signatures)
        self.assertIn("does not match the bundle", reasons(offered))

    def test_malformed_signatures(self):
        offered = accepted()
        for value in ("", "zz", "00", "00" * 64):
            signature = offered.signatures[1]._replace(value=value)
            garbled = (offered.signatures[0], signature)
            found = reasons(offered._replace(signatures=garbled))
            self.assertIn("does not match the bundle", found)

    def test_wrong_deployment_version_order_and_size(self):
        self.assertIn(
            "not for 'other'", reasons(accepted(), deployment="other")
        )
        valid = manifest()
        for change, part in (
            ({"version": 0}, "does not match its parent"),
            ({"parent": "0" * 64}, "does not match its parent"),
            ({"parts": valid.parts[::-1]}, "not sorted"),
            ({"parts": (valid.parts[0],) * 2}, "not sorted"),
            ({"parts": (Part("a", "0" * 64, 1_000_001),)}, "1000001 bytes"),
            ({"parts": (Part("a", "0" * 64, -1),)}, "bytes"),
        ):
            offered = accepted(valid._replace(**change))
            self.assertIn(part, reasons(offered), change)

    def test_unknown_keys_and_roles(self):
        self.assertIn(
            "No key of operator 'ben'", reasons(accepted(), TRUSTED[:1])
        )
        only = TRUSTED[1]._replace(roles=("propose",))
        self.assertIn(
            "'ben' may not sign", reasons(accepted(), (TRUSTED[0], only))
        )

    def test_expiry_is_judged_at_acceptance(self):
        ends = TRUSTED[1]._replace(not_after="2027-01-15")
        trusted = (TRUSTED[0], ends)
        self.assertEqual("", reasons(accepted(), trusted))
        self.assertEqual("", reasons(accepted(), trusted, now=NOW + 9 * DAY))
        late = accepted()._replace(accepted_at=NOW + DAY)
        now = NOW + 2 * DAY
        self.assertIn("has expired", reasons(late, trusted, now=now))
        # If the clock of the roller is ahead, the time of verification counts.
        self.assertEqual("", reasons(late, trusted, now=NOW))

    def test_keys_are_rotated_with_two_keys_of_one_name(self):
        old = TRUSTED[1]._replace(not_after="2020-01-01")
        spare = TrustedKey("ben", "ee" * 32)
        self.assertIn(
            "has expired", reasons(accepted(), (TRUSTED[0], old, spare))
        )
        self.assertEqual(
            "", reasons(accepted(), (TRUSTED[0], spare, TRUSTED[1]))
        )


class CanonicalTest(TestCase):
    def test_round_trip(self):
        offered = accepted()
        data = canonical.encode_accepted(offered)
        self.assertEqual(offered, canonical.decode_accepted(data))
        for part, encoded in canonical.split(samples.bundle()).values():
            service = canonical.decode_part(encoded, part)
            self.assertEqual(encoded, canonical.encode_part(service))

    def test_values_at_their_default_are_left_out(self):
        part, data = canonical.split(samples.bundle())["archive"]
        server = {"address": "127.0.0.1", "name": "archive-1", "port": 9003}
        rule = {"idempotent": True, "methods": ["GET"]}
        self.assertEqual(
            {
                "name": "archive",
                "path": "/archive",
                "requests": [rule],
                "servers": [server],
            },
            json.loads(data),
        )
        self.assertEqual(len(data), part.size)

    def test_bytes_that_are_not_canonical_are_refused(self):
        valid = canonical.encode_manifest(manifest()).decode()
        for invalid in (
            "",
            "[]",
            "null",
            valid[:-1],
            valid + " ",
            valid.replace('"version":1', '"version":1.0'),
            valid.replace('"version":1', '"version":true'),
            valid.replace('"version":1', '"version":1,"x":2'),
            valid.replace('"version":1', '"version":1,"version":1'),
            valid.replace("First", "\\u0046irst"),
            valid.replace('"parent":"",', ""),
            "[" * 100_000,
        ):
            self.assertRaises(
                canonical.CanonicalError,
                canonical.decode_manifest,
                invalid.encode(),
            )
        self.assertRaises(
            canonical.CanonicalError,
            canonical.decode,
            valid.encode(),
            Manifest,
            10,
        )

    def test_a_part_of_another_service_or_content_is_refused(self):
        parts = canonical.split(samples.bundle())
        part, data = parts["desk"]
        other = parts["archive"][1]
        wrong_name = part._replace(service="desk2")
        for reference, content in ((part, other), (wrong_name, data)):
            self.assertRaises(
                canonical.CanonicalError,
                canonical.decode_part,
                content,
                reference,
            )
