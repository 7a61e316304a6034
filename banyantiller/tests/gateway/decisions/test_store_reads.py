"""Tests when a daemon reads the store itself."""

import itertools

from banyantiller.gateway.decisions import store_reads
from banyantiller.tests import base

# Time after an outage from which changes are in force in time again.
RECOVERY_S = 3.0
STEP_S = 0.01


class StoreReadPolicyTest(base.TestCase):
    def test_relying_on_peers_leaves_time_to_read_the_store(self):
        for bound_s in (1.0, 2.0, 3.0):
            policy = store_reads.StoreReadPolicy(bound_s, RECOVERY_S, 10.0)
            last = 10.0 + bound_s - store_reads.STORE_READ_S
            self.assertTrue(policy.may_rely_on_peers(last - 0.01))
            self.assertFalse(policy.may_rely_on_peers(last))

    def test_lost_store_is_retried_with_growing_pauses(self):
        policy = store_reads.StoreReadPolicy(2.0, RECOVERY_S, 0.0)
        retries = [
            tenth / 10
            for tenth in range(120)
            if policy.should_retry_store(tenth / 10)
        ]
        self.assertEqual([1.4, 2.9, 5.3, 7.7, 10.1], retries)

    def test_pause_leaves_time_to_notice_the_return_of_the_store(self):
        for recovery_s in (2.0, 3.0, 4.0):
            policy = store_reads.StoreReadPolicy(2.0, recovery_s, 0.0)
            retries = [
                step * STEP_S
                for step in range(2000)
                if policy.should_retry_store(step * STEP_S)
            ]
            pauses = [b - a for a, b in itertools.pairwise(retries)]
            self.assertLess(
                max(pauses) + store_reads.RETRY_DELAY_S,
                recovery_s + 2 * STEP_S,
            )

    def test_confirmation_resets_the_retry_pause(self):
        policy = store_reads.StoreReadPolicy(2.0, RECOVERY_S, 0.0)
        self.assertTrue(policy.should_retry_store(1.5))
        policy.record_confirmation(1.6)
        self.assertFalse(policy.should_retry_store(2.9))
        self.assertTrue(policy.should_retry_store(3.0))

    def test_older_confirmation_changes_nothing(self):
        policy = store_reads.StoreReadPolicy(2.0, RECOVERY_S, 5.0)
        policy.record_confirmation(4.0)
        self.assertEqual(5.0, policy.fresh_at)

    def test_settling_ends(self):
        policy = store_reads.StoreReadPolicy(2.0, RECOVERY_S, 5.0)
        self.assertTrue(policy.is_settling(6.1))
        self.assertFalse(policy.is_settling(6.2))
        self.assertTrue(policy.is_settling(7.9, listed=True))
        self.assertFalse(policy.is_settling(8.0, listed=True))
        policy.end_settling()
        self.assertFalse(policy.is_settling(5.0))
        self.assertFalse(policy.is_settling(5.0, listed=True))
