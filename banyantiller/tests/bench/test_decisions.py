"""Tests of the traces that the bench of decisions records."""

import pathlib
import tempfile

from banyantiller.replay import player
from banyantiller.tests import base
from bench import decisions

STATED = '{"expect": "every_call_ends_once"}\n{"expect": "same_servers"}\n'


class RecordTest(base.TestCase):
    def test_recorded_run_replays_with_stated_outcomes(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        folder = pathlib.Path(made.name)
        task = decisions.Task(
            "registry", "slow", "adaptive", 0.05, 1, "", str(folder)
        )
        decisions.run(task)
        paths = sorted(folder.iterdir())
        self.assertEqual(decisions.SIZES["registry"].daemons, len(paths))
        results = player.play(paths[0].read_text() + STATED)
        self.assertEqual(["", ""], [result.problem for result in results])

    def test_recorded_questions_replay_with_the_same_choices(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        folder = pathlib.Path(made.name)
        task = decisions.Task(
            "registry", "shifting", "asking", 0.03, 1, "", str(folder)
        )
        _, row = decisions.run(task)
        self.assertEqual((0, 0), (row["lost"], row["run_twice"]))
        paths = sorted(folder.iterdir())
        self.assertEqual(decisions.SIZES["registry"].daemons, len(paths))
        for path in paths:
            text = path.read_text() + '{"expect": "same_choices"}\n'
            (result,) = player.play(text)
            self.assertEqual("", result.problem)


class AskingTest(base.TestCase):
    def figures(self, scenario, policy):
        task = decisions.Task("registry", scenario, policy, 0.25, 3, "")
        return decisions.run(task)[1]

    def test_asking_beats_own_counts_where_speeds_shift(self) -> None:
        asking = self.figures("shifting", "asking")
        own = self.figures("shifting", "least_own")
        self.assertLess(asking["p99_ms"], own["p99_ms"])
        self.assertLess(asking["questions_per_server_s"], 60 * 14)

    def test_asking_avoids_servers_that_fell_silent(self) -> None:
        asking = self.figures("lost", "asking")
        self.assertGreater(asking["goodput"], 0.99)
        self.assertEqual((0, 0), (asking["lost"], asking["run_twice"]))
