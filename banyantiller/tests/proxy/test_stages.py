"""Tests of traffic shares that change in stages."""

from banyantiller.bundle import options
from banyantiller.proxy import stages
from banyantiller.tests.base import TestCase


class StagesTest(TestCase):
    def test_stage_depends_on_the_time_since_acceptance(self):
        first, last = (options.Share("a", 100),), (options.Share("b", 100),)
        service = options.Service(
            "lookups",
            (),
            shares=first,
            stages=(options.Stage(60.0, last),),
        )
        before = stages.service_at(service, 59.5)
        self.assertEqual(first, before.service.shares)
        self.assertEqual(0.5, before.next_s)
        after = stages.service_at(service, 60.0)
        self.assertEqual(last, after.service.shares)
        self.assertIsNone(after.next_s)
