"""Tests of the bench of claims: it counts real calls and real grants."""

from banyantiller.tests import base
from bench import claims


class ClaimsBenchTest(base.TestCase):
    def test_both_ways_grant_each_key_once_and_are_counted(self) -> None:
        objects, world = claims.run(claims.measure_objects(3, 50.0, 4.0, 400.0))
        self.assertEqual({1}, set(world.runs.values()))
        self.assertEqual(objects.keys, len(world.runs))
        # A create, an update and a deletion of each, and little besides.
        self.assertTrue(3.0 <= objects.writes_per_key < 3.2, objects)
        paged, world = claims.run(claims.measure_pages(3, 16, 50.0, 4.0, 400.0))
        self.assertEqual({1}, set(world.runs.values()))
        self.assertTrue(paged.conflicts_per_key > 0.0, paged)
        self.assertTrue(paged.p99_ms > objects.p99_ms, paged)
