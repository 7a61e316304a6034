"""Tests of the days with one kind of trouble."""

import tomllib

from banyantiller.tests import base
from bench import kinds


class KindsTest(base.TestCase):
    def days(self, beside):
        texts = dict(kinds.days_of("", beside))
        return {name: tomllib.loads(text) for name, text in texts.items()}

    def test_each_day_has_its_trouble_twice(self):
        for name, day in self.days(False).items():
            entries = day.get("plan", []) + day.get("faults", [])
            if name == "calm":
                self.assertEqual([], entries)
                continue
            kind = name.split()[0]
            self.assertEqual(list(kinds.AT_S), [e["at"] for e in entries])
            self.assertEqual({kind}, {e["kind"] for e in entries})
            self.assertEqual(kind in kinds.PLANNED, "plan" in day)

    def test_planned_work_goes_on_beside_any_of_them(self):
        wanted = {"release", "roll_term", "config_change"}
        for name, day in self.days(True).items():
            self.assertLessEqual(wanted, {e["kind"] for e in day["plan"]}, name)
