"""Tests of loading settings: all errors, with their places."""

import tempfile
import textwrap

from banyantiller import exceptions
from banyantiller.config import documents, fields, loading, scalars, settings
from banyantiller.config.defaults import Settings
from banyantiller.tests import certificates
from banyantiller.tests.base import TestCase

KEY = "ab" * 32

VALID = f"""\
deployment: orders
daemon: balancer-1
zone: zone-1
callers:
  listen: {{address: 127.0.0.1, port: 8080}}
admin: {{address: 127.0.0.1, port: 8081}}
peers:
  listen: {{address: 127.0.0.1, port: 8082}}
  secret: 0123456789abcdef
object_api:
  endpoint: {{address: 127.0.0.1, port: 8083}}
trusted_keys:
  - {{name: ana, public_key: "{KEY}"}}
  - {{name: ben, public_key: "{"cd" * 32}", not_after: 2030-01-31}}
"""


def errors_of(text: str) -> list[str]:
    try:
        settings.parse(textwrap.dedent(text), "s.yaml")
    except exceptions.ConfigError as error:
        assert str(error).splitlines() == [p.text() for p in error.problems]
        return [p.text() for p in error.problems if not p.warning]
    return []


class ValidSettingsTest(TestCase):
    def test_defaults_and_values(self):
        loaded, warnings = settings.parse(VALID, "s.yaml")
        self.assertEqual((), warnings)
        self.assertEqual(8080, loaded.callers.listen.port)
        self.assertEqual(10.0, loaded.callers.head_timeout_s)
        self.assertEqual(("propose", "sign"), loaded.trusted_keys[0].roles)
        self.assertEqual("2030-01-31", loaded.trusted_keys[1].not_after)
        self.assertIsNone(loaded.vm_list)

    def test_aliases_may_be_used(self):
        text = VALID.replace(
            "admin: {address: 127.0.0.1, port: 8081}",
            "admin: &here {address: 127.0.0.1, port: 0}\n"
            "vm_list: {endpoint: {address: 127.0.0.1, port: 1}}",
        ).replace("listen: {address: 127.0.0.1, port: 8082}", "listen: *here")
        loaded, _ = settings.parse(text, "s.yaml")
        self.assertEqual(loaded.admin, loaded.peers.listen)

    def test_every_declared_type_can_be_loaded(self):
        pending = [Settings]
        while pending:
            for field in fields.fields_of(pending.pop()):
                kind = fields.optional_of(field.kind) or field.kind
                kind = fields.item_of(kind) or kind
                if fields.is_group(kind):
                    pending.append(kind)
                else:
                    self.assertIn(kind, scalars.READERS)


class InvalidSettingsTest(TestCase):
    def test_all_errors_are_collected_with_their_places(self):
        found = errors_of("""\
            deployment: Orders
            daemon: 17
            zonne: zone-1
            callers:
              listen: {address: localhost, port: 70000}
              head_timeout_s: fast
            admin: [1]
            peers:
              listen: {address: 127.0.0.1, port: 1}
              secret: 0123456789abcdef
              secret: 0123456789abcdef
              links: 99
            object_api:
              endpoint: {address: 127.0.0.1}
            log: {level: infos, access: 1}
            trusted_keys:
              - {name: ana, public_key: xyz}
            """)
        expected = [
            "s.yaml:1:1: error: zone: This value is required.",
            "s.yaml:1:13: error: deployment: 'Orders' does not match the form",
            "s.yaml:2:9: error: daemon: Expected text, found a whole number."
            " Put it in quotes.",
            "s.yaml:3:1: error: zonne: No option is named 'zonne'."
            " Did you mean 'zone'?",
            "s.yaml:5:21: error: callers.listen.address: 'localhost' is not"
            " an IP address.",
            "s.yaml:5:38: error: callers.listen.port: 70000 is above 65535.",
            "s.yaml:6:19: error: callers.head_timeout_s: Expected a number,"
            " found text.",
            "s.yaml:7:8: error: admin: Expected a mapping, found a list.",
            "s.yaml:11:3: error: peers.secret: This key is given twice.",
            "s.yaml:12:10: error: peers.links: 99 is above 16.",
            "s.yaml:14:13: error: object_api.endpoint.port: This value is"
            " required.",
            "s.yaml:15:14: error: log.level: 'infos' is not one of debug,"
            " info, warning, error. Did you mean 'info'?",
            "s.yaml:15:29: error: log.access: Expected true or false, found"
            " a whole number.",
            "s.yaml:17:29: error: trusted_keys[0].public_key: 'xyz' does not",
        ]
        self.assertEqual(len(expected), len(found), "\n".join(found))
        for line, start in zip(found, expected, strict=True):
            self.assertEqual(start, line[: len(start)])

    def test_checks_over_several_values(self):
        text = VALID.replace("port: 8081", "port: 8080").replace(
            "secret: 0123456789abcdef",
            "heartbeat_s: 3\n  tls: {certificate: none.pem}\n"
            "  seeds: [{address: 127.0.0.1, port: 0}]",
        )
        text += f'  - {{name: cy, public_key: "{KEY}", roles: []}}\n'
        text += "outage: {isolated_after_s: 2}\n"
        found = "\n".join(errors_of(text))
        for part in (
            "6:8: error: admin: callers.listen listens on the same address"
            " and port.",
            "peers.suspect_s: It must be above heartbeat_s, 3 s.",
            "10:8: error: peers.tls: 'certificate' and 'key' are required"
            " together.",
            "peers.tls.certificate: There is no file 'none.pem'.",
            "peers.seeds[0].port: Port 0 cannot be connected to.",
            "outage.isolated_after_s: It must be above peers.suspect_s.",
            "trusted_keys[2].public_key: 'ana' has the same public key.",
            "trusted_keys[2].roles: The key has no role.",
        ):
            self.assertIn(part, found)

    def test_peers_must_authenticate(self):
        text = VALID.replace("  secret: 0123456789abcdef\n", "")
        self.assertIn("peers: Peers need 'tls' or", errors_of(text)[0])

    def test_peers_need_a_trust_file_with_their_certificate(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        files = certificates.Authority(folder.name).issue("d0")
        identity = f"certificate: {files.certificate}, key: {files.key}"
        secret = "secret: 0123456789abcdef"
        (found,) = errors_of(VALID.replace(secret, f"tls: {{{identity}}}"))
        self.assertIn("peers.tls: Peers verify each other", found)
        trusting = f"tls: {{{identity}, trust: {files.trust}}}"
        self.assertEqual([], errors_of(VALID.replace(secret, trusting)))

    def test_one_operator_alone_is_warned_about(self):
        text = VALID[: VALID.index("  - {name: ben")]
        _, warnings = settings.parse(text, "s.yaml")
        self.assertEqual(["trusted_keys"], [item.path for item in warnings])

    def test_numbers_in_other_notations_are_refused(self):
        for wrong in ("0x1f", "010", "1:30", ".inf", "1.0", "yes", "~"):
            text = VALID.replace("port: 8080", f"port: {wrong}")
            self.assertEqual(1, len(errors_of(text)), wrong)

    def test_a_tag_does_not_make_a_list_or_mapping_a_scalar(self):
        for tag in ("int", "float", "bool", "null", "str"):
            for value, name in (("[1]", "a list"), ("{a: 1}", "a mapping")):
                tagged = f"!!{tag} {value}"
                text = VALID.replace("port: 8080", f"port: {tagged}")
                (found,) = errors_of(text)
                self.assertIn(f"found {name}.", found)
                text = VALID + f"log: {{access: {tagged}}}\n"
                (found,) = errors_of(text)
                self.assertIn(f"found {name}.", found)
                text = VALID + f"vm_list: {tagged}\n"
                self.assertNotEqual([], errors_of(text))


class InvalidDocumentTest(TestCase):
    def refusal(self, text: str) -> str:
        (line,) = errors_of(text)
        return line

    def test_syntax_errors_have_a_place(self):
        self.assertIn("s.yaml:2:", self.refusal("a: [1\nb: 2"))

    def test_no_document_two_documents_and_wrong_root(self):
        self.assertIn("is empty", self.refusal(""))
        self.assertIn("is not YAML", self.refusal("a: 1\n---\nb: 2"))
        self.assertIn("Expected a mapping", self.refusal("- 1"))
        self.assertIn("is not YAML", self.refusal("a: *nowhere"))

    def test_deep_and_long_documents_are_bounded(self):
        self.assertIn("too deeply", self.refusal("[" * 50 + "]" * 50))
        self.assertIn("nesting depth", self.refusal("[" * 100_000))
        self.assertIn("larger", self.refusal("#" * 5_000_000))

    def test_aliases_do_not_multiply_without_bound(self):
        self.patch(loading, "MAX_VALUES", 1000)
        seeds = "&a {address: 127.0.0.1, port: 1}" + ", *a" * 60
        keys = f"&k {{name: a, public_key: '{KEY}', roles: [sign"
        text = VALID.replace("secret:", f"seeds: [{seeds}]\n  secret:")
        roles = ", sign" * 100
        text = text[: text.index("trusted_keys")]
        text += f"trusted_keys: [{keys}{roles}]}}{', *k' * 60}]\n"
        self.assertIn("There are too many values.", "\n".join(errors_of(text)))

    def test_a_recursive_alias_ends(self):
        found = "\n".join(errors_of(VALID + "vm_list: &a {endpoint: *a}\n"))
        self.assertIn("No option is named 'endpoint'", found)

    def test_files_that_cannot_be_read(self):
        error = self.assertRaises(
            exceptions.ConfigError, documents.read_file, "/nowhere/s.yaml"
        )
        self.assertIn("cannot be read: No such file", str(error))
