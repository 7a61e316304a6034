"""Wrong traces get a clear error; wrong outcomes are reported."""

import io
import json
import pathlib
import tempfile

from hypothesis import strategies

from banyantiller.commands import cli
from banyantiller.replay import player, traces
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds

HEADER = {
    "trace": 1,
    "core": "dispatcher",
    "service": {"name": "desk", "servers": []},
    "servers": [{"name": "s1", "zone": "z", "slots": 1}],
}
CALL = {"t": 1, "submit": {"call": 1, "idempotent": True, "deadline": 3}}
BEHAVES = {"t": 0, "behaves": {"server": "s1"}}
CLAIMS = {"trace": 1, "core": "claims", "daemons": ["d1"]}
ROLLS = {"trace": 1, "core": "rolls", "operators": ["ana", "ben"]}
REPLICA = {"trace": 1, "core": "replica", "daemons": ["d1"]}
HOLDS = {"expect": "every_call_ends_once"}
EDITS = ("", "-", "9", '"', "{", "null", "1e9")
FORMS = (
    HEADER,
    CLAIMS,
    ROLLS,
    REPLICA,
    CALL,
    BEHAVES,
    HOLDS,
    {"t": 0, "request": {"call": 1, "daemon": "d1", "key": "k"}},
    {"t": 0, "store": {"owner": "ana", "lose_answers": 1}},
    {"t": 1, "propose": {"operator": "ana", "bundle": "a"}},
    {"t": 2, "roll": {"operator": "ana", "bundle": "a"}},
    {"t": 0, "offer": {"daemon": "d1", "version": 1}},
    {"expect": "holds", "daemon": "d1", "version": 1},
    {"expect": "runs_at_most_once"},
    {"expect": "in_force", "bundle": "a", "version": 1},
)


def text(*rows):
    return "".join(json.dumps(row) + "\n" for row in rows)


def problems(*rows):
    return [result.problem for result in player.play(text(*rows))]


class PlayerTest(TestCase):
    def test_an_outcome_that_did_not_come_about_is_reported(self):
        never = {"expect": "never_started", "call": 1}
        kind = {"expect": "refused", "call": 1, "kind": "queue_full"}
        self.assertEqual(
            ["it was sent to s1", "its outcome is an answer", ""],
            problems(HEADER, BEHAVES, CALL, never, kind, HOLDS),
        )

    def test_wrong_traces_are_refused_with_their_line(self):
        wrong = (
            ([], "empty"),
            ([{**HEADER, "trace": 2}, HOLDS], "Line 1"),
            ([{**HEADER, "core": "none"}, HOLDS], "Line 1"),
            ([{**HEADER, "more": 1}, HOLDS], "it.more is not known"),
            ([HEADER], "states no outcome"),
            ([HEADER, {"t": 1, "nothing": {}}, HOLDS], "Line 2"),
            ([HEADER, {"submit": {}}, HOLDS], "Line 2"),
            ([HEADER, CALL, BEHAVES, HOLDS], "Line 3: earlier"),
            ([HEADER, CALL, CALL, HOLDS], "occurs twice"),
            ([HEADER, CALL, {"expect": "none"}], "Line 3"),
            (
                [HEADER, {"expect": "never_started", "call": 5}],
                "call 5 is not in the trace",
            ),
            ([CLAIMS, {"t": 0, "pause": {"owner": "x"}}, HOLDS], "Line 2"),
            (
                [
                    ROLLS,
                    {"t": 0, "roll": {"operator": "ana", "bundle": "b"}},
                    HOLDS,
                ],
                "was not proposed",
            ),
            ([REPLICA, {"t": 0, "restart": {"daemon": "x"}}, HOLDS], "Line 2"),
        )
        for rows, message in wrong:
            error = self.assertRaises(
                traces.TraceError, player.play, text(*rows)
            )
            self.assertIn(message, str(error))

    def test_any_text_is_played_or_refused(self):
        rows = strategies.lists(strategies.sampled_from(FORMS), max_size=6)
        edits = strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2000),
                strategies.sampled_from(
                    ["", "-", "9", '"', "{", "null", "1e9"]
                ),
            ),
            max_size=3,
        )

        def check(rows, edits):
            changed = text(*rows)
            for place, new in edits:
                changed = changed[:place] + new + changed[place + 1 :]
            try:
                player.play(changed)
            except traces.TraceError:
                pass

        seeds.explore(check, 150, rows, edits)

    def test_command_exits_with_0_only_if_all_hold(self):
        never = {"expect": "never_started", "call": 1}
        good = self.write(text(HEADER, BEHAVES, CALL, HOLDS))
        bad = self.write(text(HEADER, BEHAVES, CALL, HOLDS, never))
        broken = self.write("{")
        self.assertEqual(0, self.run_command("replay", good, "--json"))
        self.assertEqual(1, self.run_command("replay", bad))
        self.assertEqual(2, self.run_command("replay", broken))
        self.assertEqual(2, self.run_command("replay", broken + "x"))

    def run_command(self, *argv):
        self.patch(cli.sys, "stdout", io.StringIO())
        self.patch(cli.sys, "stderr", io.StringIO())
        return cli.run(list(argv))

    def write(self, content):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "trace.jsonl")
        path.write_text(content)
        return str(path)
