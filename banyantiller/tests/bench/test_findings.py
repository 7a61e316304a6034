"""Tests that each finding of the users' bench has its test."""

import pathlib

from banyantiller.tests import base
from bench import findings

TESTS = pathlib.Path(__file__).parents[1]


class FindingsTest(base.TestCase):
    def test_each_finding_names_a_test_that_exists(self):
        text = "".join(p.read_text() for p in TESTS.rglob("test_*.py"))
        for finding in findings.FINDINGS:
            self.assertIn(f"def {finding.test}(", text)
