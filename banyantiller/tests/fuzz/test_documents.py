"""Files that operators write, and canonical forms from elsewhere."""

import json

from hypothesis import strategies as st

from banyantiller import exceptions
from banyantiller.bundle import canonical, parsing, reading
from banyantiller.bundle.manifest import (
    AcceptedBundle,
    Manifest,
    Part,
    Signature,
)
from banyantiller.bundle.outcomes import DamagedObject, HeadFound
from banyantiller.claims import records, types
from banyantiller.config import settings
from banyantiller.measuring import objects
from banyantiller.store import interface
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.faults import seeds
from banyantiller.tests.fuzz import mutations

REQUEST = types.ClaimRequest("orders", "k1", "f", 60.0, "desk.example")
SETTINGS = """\
deployment: orders
daemon: d1
zone: z1
callers: {listen: {address: 127.0.0.1, port: 8080}, head_timeout_s: 5}
admin: {address: 127.0.0.1, port: 8081}
peers:
  listen: {address: 127.0.0.1, port: 8082}
  secret: a long enough shared secret
  seeds: [{address: 127.0.0.1, port: 8083}]
object_api: {endpoint: {address: 127.0.0.1, port: 8084}}
trusted_keys:
  - name: ana
    public_key: "%s"
""" % ("a1" * 32)
TOKENS = (
    "!!python/object/apply:os.system [x]",
    "&a [*a]",
    "*a",
    "<<: {a: 1}",
    ": ",
    "- ",
    "{",
    "[",
    "]",
    '"',
    "'",
    "|",
    "\t",
    "\x00",
    "null",
    "~",
    ".nan",
    ".inf",
    "-1",
    "1e400",
    "0x" + "f" * 300,
    "9" * 400,
    "2001-01-01",
    "yes",
    "? ",
    "---\n",
    "[" * 200,
    "percent: 1000000000000",
)
PART = Part("desk", "ab" * 32, 10)
MANIFEST = Manifest("orders", 2, "cd" * 32, "ana", "x", (PART,))
SIGNATURE = Signature("ben", "sign", "ef" * 64)
ACCEPTED = AcceptedBundle(MANIFEST, (SIGNATURE, SIGNATURE), 1e9, "ana")
JSON_TOKENS = ("{", "[", "]", "}", '"', "null", "1e999", "NaN", "\\ud800")
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 70), 1 << 70)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(("claimed", "done", "released")),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                (
                    *records.Record._fields,
                    *records.StoredResponse._fields,
                    "permits",
                    "waiting",
                    "accepted",
                    "manifest",
                    "signatures",
                    "data",
                )
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


class FilesTest(TestCase):
    def check(self, parse):
        def check(text):
            try:
                parse(text, "file.yaml")
            except exceptions.ConfigError as error:
                self.assertIn("file.yaml", str(error))
                self.assertLess(len(str(error)), 100_000)

        return check

    def test_bundles(self):
        texts = mutations.mutated_text((samples.BUNDLE,), TOKENS)
        seeds.explore(self.check(parsing.parse), 300, texts)

    def test_settings(self):
        settings.parse(SETTINGS, "file.yaml")
        texts = mutations.mutated_text((SETTINGS,), TOKENS)
        seeds.explore(self.check(settings.parse), 200, texts)

    def test_any_text(self):
        texts = st.text(max_size=60)
        seeds.explore(self.check(parsing.parse), 100, texts)


class CanonicalTest(TestCase):
    def explore(self, decode, value, examples=150):
        def check(data):
            try:
                found = decode(data)
            except canonical.CanonicalError:
                return
            self.assertEqual(data, canonical.encode(found))

        tokens = tuple(token.encode() for token in JSON_TOKENS)
        data = mutations.mutated((canonical.encode(value),), tokens)
        seeds.explore(check, examples, data)

    def test_manifests(self):
        self.explore(canonical.decode_manifest, MANIFEST)

    def test_accepted(self):
        self.explore(canonical.decode_accepted, ACCEPTED)

    def test_parts(self):
        service = samples.bundle().services[0]

        def decode(data):
            part = Part(service.name, canonical.digest(data), len(data))
            return canonical.decode_part(data, part)

        self.explore(decode, service)


class StoredValuesTest(TestCase):
    """Objects of the object API that somebody altered."""

    def test_any_value(self):
        def check(value):
            value = value if isinstance(value, dict) else {"data": value}
            item = interface.StoredObject("kind", "orders", "1", value)
            record = records.from_object(item)
            self.assertIsInstance(record, records.Record | None)
            if record is not None:
                records.evaluate(record, REQUEST, 1e9)
            permits = objects.read_permits(value)
            self.assertIsInstance(permits, list | None)
            self.assertIsInstance(
                reading.decode_head(item), HeadFound | DamagedObject
            )

        seeds.explore(check, 400, VALUES)

    def test_damaged_heads(self):
        sample = json.dumps(reading.head_value(ACCEPTED))

        def check(text):
            try:
                value = json.loads(text)
            except ValueError:
                return
            if isinstance(value, dict):
                item = interface.StoredObject("kind", "orders", "1", value)
                self.assertIsInstance(
                    reading.decode_head(item), HeadFound | DamagedObject
                )

        texts = mutations.mutated_text((sample,), JSON_TOKENS)
        seeds.explore(check, 200, texts)
