"""Tests of what makes two sendings the same request."""

import testtools

from banyantiller.quarantine import fingerprint


def of(method=b"POST", host=b"a", target=b"/x", caller=b"key", body=()):
    found = fingerprint.Fingerprint(method, host, target, caller)
    for part in body:
        found.add(part)
    return found.text()


class FingerprintTest(testtools.TestCase):
    def test_pieces_of_a_body_make_no_difference(self):
        self.assertEqual(of(body=(b"abc", b"", b"d")), of(body=(b"abcd",)))

    def test_the_case_of_a_host_makes_no_difference(self):
        self.assertEqual(of(host=b"A.example"), of(host=b"a.EXAMPLE"))

    def test_the_port_of_a_host_makes_no_difference(self):
        """Callers may reach each daemon at a port of its own."""
        self.assertEqual(of(host=b"a"), of(host=b"a:8001"))
        self.assertEqual(of(host=b"[::1]:80"), of(host=b"[::1]:81"))
        self.assertNotEqual(of(host=b"[::1]"), of(host=b"[::2]"))

    def test_each_part_makes_a_difference(self):
        others = [
            of(method=b"GET"),
            of(host=b"b"),
            of(target=b"/x?y=1"),
            of(caller=b"other"),
            of(body=(b"b",)),
            # The same bytes, cut elsewhere.
            of(host=b"a/", target=b"x"),
        ]
        self.assertEqual(len(others) + 1, len({of(), *others}))

    def test_processes_agree(self):
        """Python's own hash differs between processes; this may not."""
        self.assertEqual("30a6ca8cab829effea1338f1e685f6b7", of())
