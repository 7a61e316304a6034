"""Tests of which requests have the same fingerprint."""

import testtools

from banyantiller.quarantine import fingerprint


def digest_of(method=b"POST", host=b"a", target=b"/x", caller=b"key", body=()):
    digest = fingerprint.Fingerprint(method, host, target, caller)
    for part in body:
        digest.update(part)
    return digest.hexdigest()


class FingerprintTest(testtools.TestCase):
    def test_division_of_a_body_makes_no_difference(self):
        self.assertEqual(
            digest_of(body=(b"abc", b"", b"d")), digest_of(body=(b"abcd",))
        )

    def test_the_case_of_a_host_makes_no_difference(self):
        self.assertEqual(
            digest_of(host=b"A.example"), digest_of(host=b"a.EXAMPLE")
        )

    def test_the_port_of_a_host_makes_no_difference(self):
        """Callers may reach each daemon at a different port."""
        self.assertEqual(digest_of(host=b"a"), digest_of(host=b"a:8001"))
        self.assertEqual(
            digest_of(host=b"[::1]:80"), digest_of(host=b"[::1]:81")
        )
        self.assertNotEqual(digest_of(host=b"[::1]"), digest_of(host=b"[::2]"))

    def test_each_part_makes_a_difference(self):
        others = [
            digest_of(method=b"GET"),
            digest_of(host=b"b"),
            digest_of(target=b"/x?y=1"),
            digest_of(caller=b"other"),
            digest_of(body=(b"b",)),
            # The same bytes, divided differently.
            digest_of(host=b"a/", target=b"x"),
        ]
        self.assertEqual(len(others) + 1, len({digest_of(), *others}))

    def test_fingerprint_is_the_same_in_all_processes(self):
        """Python's own hash differs between processes; this one must not."""
        self.assertEqual("30a6ca8cab829effea1338f1e685f6b7", digest_of())
