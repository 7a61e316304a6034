"""Tests of the plans of the soak."""

import hashlib

from banyantiller.tests import base
from soak import faults, plan, regressions, server_faults

SIZES = plan.Sizes()
# SHA-256 of the steps of seeds 0 to 299 and 1000 to 1099.
EARLIER_PLANS = (
    "3dce4d6d1bd70bc4401217a813f598dbc6e5b765d81b29393a2165535b34d64d"
)


class PlanTest(base.TestCase):
    def test_a_seed_always_gives_the_same_plan(self):
        self.assertEqual(plan.draw(5, SIZES), plan.draw(5, SIZES))
        self.assertNotEqual(
            plan.draw(5, SIZES).steps, plan.draw(6, SIZES).steps
        )

    def test_every_kind_can_be_carried_out(self):
        self.assertEqual(set(plan.RELAY_KINDS), set(faults.ACTIONS))

    def test_hundred_seeds_have_every_kind_and_choice(self):
        for kinds, first in (
            (plan.KINDS, 0),
            (plan.LATER_KINDS, plan.FIRST_LATER_SEED),
            (plan.POWER_KINDS, plan.FIRST_POWER_SEED),
            (plan.ENDING_KINDS, plan.FIRST_ENDING_SEED),
            (plan.EVACUATION_KINDS, plan.FIRST_EVACUATION_SEED),
            (plan.LIMIT_KINDS, plan.FIRST_LIMIT_SEED),
            (plan.BACKOFF_KINDS, plan.FIRST_BACKOFF_SEED),
            (plan.PARTITION_KINDS, plan.FIRST_PARTITION_SEED),
            (plan.ORGANISATION_KINDS, plan.FIRST_ORGANISATION_SEED),
            (plan.RESTORE_KINDS, plan.FIRST_RESTORE_SEED),
            (plan.ENDLESS_KINDS, plan.FIRST_ENDLESS_SEED),
            (plan.RELAY_KINDS, plan.FIRST_RELAY_SEED),
        ):
            wanted = {(name, choice) for name, kind in kinds.items()
                      for choice in kind.choices}  # fmt: skip
            drawn = {(step.kind, step.choice)
                     for seed in range(first, first + 100)
                     for step in plan.draw(seed, SIZES).steps}  # fmt: skip
            self.assertEqual(wanted, drawn)

    def test_earlier_seeds_keep_their_plans(self):
        digest = hashlib.sha256()
        for seed in (*range(300), *range(1000, 1100)):
            for step in plan.draw(seed, SIZES).steps:
                digest.update(repr(tuple(step)).encode())
        self.assertEqual(EARLIER_PLANS, digest.hexdigest())

    def test_no_two_requests_that_end_servers_are_the_same(self):
        first = plan.FIRST_ENDING_SEED
        for seed in (*range(first, first + 200), 5004):
            paths = [
                server_faults.ending_path(step)
                for step in plan.draw(seed, SIZES).steps
                if step.kind == "request ends servers"
            ]
            self.assertEqual(len(paths), len(set(paths)), seed)

    def test_faults_end_before_the_quiet_end(self):
        last_s = SIZES.seconds - plan.QUIET_S
        for seed in range(50):
            for step in plan.draw(seed, SIZES).steps:
                self.assertGreaterEqual(step.at_s, plan.FIRST_S)
                self.assertLessEqual(step.at_s + step.for_s, last_s + 0.001)

    def test_regressions_state_their_cause(self):
        for one in regressions.REGRESSIONS:
            self.assertGreater(len(one.cause), 20)
