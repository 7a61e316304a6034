"""Tests that the specifications hold and that faults in them are caught."""

import contextlib
import io
import json

from banyantiller.tests.base import TestCase
from spec import check
from spec.specification import protocol


def run(**options):
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = check.main(json=True, **options)
    return code, out.getvalue()


class CheckTest(TestCase):
    def test_every_property_holds_in_all_states(self):
        code, text = run()
        last = json.loads(text.splitlines()[-1])
        self.assertEqual((0, check.HOLDS), (code, last["verdict"]))
        self.assertEqual(13, len(last["protocols"]))
        for found in last["protocols"].values():
            self.assertTrue(found["exhaustive"])
            self.assertEqual({check.HOLDS}, set(found["properties"].values()))

    def test_every_property_has_a_broken_variant(self):
        for specification in check.SPECIFICATIONS:
            caught = {item.violates for item in specification.broken}
            self.assertEqual(set(specification.properties), caught)

    def test_every_broken_variant_is_caught_with_a_trace_that_replays(self):
        for broken in check.all_broken():
            specification, _ = check.find_broken(broken.name)
            found = check.check_broken(specification, broken)
            self.assertEqual(check.VIOLATED, found.verdict, broken.name)
            trace = found.traces[broken.violates]
            self.assert_replays(specification, broken, trace)

    def assert_replays(self, specification, broken, trace):
        model = protocol(specification, broken.name)
        state = model.initial
        for step in trace[1:]:
            after = type(state)(**step["state"])
            self.assertIn((step["label"], after), model.transitions(state))
            state = after
        holds = model.invariants[broken.violates]
        self.assertFalse(holds(model.d(state)))

    def test_broken_prints_the_trace_and_fails(self):
        code, text = run(broken="claim_without_read_back")
        self.assertEqual(1, code)
        self.assertIn("assume_granted", text)
        last = json.loads(text.splitlines()[-1])
        found = last["protocols"]["claims"]
        self.assertEqual(8, found["trace_steps"]["runs_at_most_once"])
        self.assertEqual(
            check.UNDETERMINED, found["properties"]["granted_to_one"]
        )

    def test_a_partial_search_is_no_pass(self):
        found = check.check(check.CLAIMS, most_states=1000)
        self.assertEqual(check.UNDETERMINED, found.verdict)
        self.assertFalse(found.exhaustive)
        self.assertNotEqual(0, check.EXIT_CODES[found.verdict])

    def test_nothing_checked_is_no_pass(self):
        self.assertEqual(check.UNDETERMINED, check.worst([]))

    def test_unknown_names_are_refused(self):
        self.assertEqual(2, run(protocol="nothing")[0])
        self.assertEqual(2, run(broken="nothing")[0])
