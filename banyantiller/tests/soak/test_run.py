"""A short run of the soak with fixed seeds, on real processes.

Promises with a time limit are left out, since a busy machine breaks them.
"""

import asyncio
import pathlib
import tempfile

from banyantiller.tests import base
from soak import plan, run

SIZES = plan.Sizes(daemons=2, servers=2, callers=4, seconds=11.0)


class RunTest(base.TestCase):
    def play(self, seed):
        """Plays a seed and expects that nothing is broken."""
        with tempfile.TemporaryDirectory() as folder:
            steps = plan.draw(seed, SIZES)
            result = asyncio.run(
                run.play(pathlib.Path(folder), steps, timed=False)
            )
        self.assertEqual([], result.findings)
        self.assertGreater(result.served, 50)

    def test_promises_are_kept_under_one_seed(self):
        self.play(101)

    def test_promises_are_kept_under_another_seed(self):
        self.play(102)
