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
