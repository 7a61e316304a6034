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
    def play(self, steps):
        """Plays a plan and expects that nothing is broken."""
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                run.play(pathlib.Path(folder), steps, timed=False)
            )
        self.assertEqual([], result.findings)
        self.assertGreater(result.served, 50)

    def test_promises_are_kept_under_one_seed(self):
        self.play(plan.draw(101, SIZES))

    def test_promises_are_kept_under_another_seed(self):
        self.play(plan.draw(102, SIZES))

    def test_a_request_ends_servers(self):
        step = plan.Step(1.0, 6.0, "request ends servers", 0, 0.5, "")
        self.play(plan.Plan(plan.FIRST_ENDING_SEED, SIZES, (step,)))

    def test_servers_ask_for_backoffs_and_state_their_leaving(self):
        steps = (
            plan.Step(1.0, 3.0, "server asks for a backoff", 0, 0.3, "one"),
            plan.Step(1.5, 0.0, "server states its leaving", 1, 0.0, ""),
        )
        self.play(plan.Plan(plan.FIRST_BACKOFF_SEED, SIZES, steps))

    def test_daemons_are_partitioned_from_all_servers(self):
        steps = (
            plan.Step(0.5, 4.4, "daemons partitioned", 0, 0.0, "silent"),
            plan.Step(1.5, 2.0, "document", 0, 0.0, "one"),
            plan.Step(2.0, 1.0, "restart daemon", 1, 0.0, ""),
        )
        self.play(plan.Plan(plan.FIRST_PARTITION_SEED, SIZES, steps))

    def test_callers_wait_while_all_daemons_start(self):
        # The store answers within the time that a request waits for it.
        steps = (
            plan.Step(at_s, 0.3, "power lost", 0, 0.3, "")
            for at_s in (1.5, 4.5, 7.5)
        )
        self.play(plan.Plan(plan.FIRST_POWER_SEED, SIZES, tuple(steps)))
