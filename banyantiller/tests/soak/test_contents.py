"""Tests of what the store holds in a soak."""

from banyantiller.tests import base
from soak import contents


class DocumentTest(base.TestCase):
    def test_further_routes_leave_those_of_callers_as_they_are(self):
        short = contents.document(3)["routes"]
        long = contents.document(3, 50)["routes"]
        self.assertEqual(short, long[: len(short)])
        self.assertEqual(50, len(long) - len(short))
        self.assertEqual(len(long), len({r["pathPrefix"] for r in long}))
