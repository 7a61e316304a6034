"""Tests of reading the list of tests that fail because of a known fault."""

import pathlib
import tempfile

from banyantiller.tests import base, known_red

VALID_ENTRY = "a/test_b.py::C::test_d | pytest a/test_b.py | 404 | issue 7"


class KnownRedTest(base.TestCase):
    def read(self, text):
        """Reads a list that consists of a text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "list.txt"
            path.write_text(text, encoding="utf-8")
            return known_red.read_entries(path)

    def test_entry_names_test_command_finding_and_issue(self):
        (entry,) = self.read(f"# A comment.\n\n{VALID_ENTRY}\n")
        self.assertEqual("a/test_b.py::C::test_d", entry.test)
        self.assertEqual("issue 7", entry.issue)
        self.assertEqual(VALID_ENTRY, known_red.format_entry(entry))

    def test_entry_without_all_fields_is_an_error(self):
        for text in ("a/test_b.py::C::test_d", VALID_ENTRY.replace("404", "")):
            self.assertRaises(ValueError, self.read, text)

    def test_missing_list_has_no_entries(self):
        self.assertEqual(
            [], known_red.read_entries(pathlib.Path("no-such-file"))
        )
