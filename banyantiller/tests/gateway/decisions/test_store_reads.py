"""Tests when a daemon reads the store itself."""

from banyantiller.gateway.decisions import store_reads
from banyantiller.tests import base


class StoreReadPolicyTest(base.TestCase):
    def test_relying_on_peers_leaves_time_to_read_the_store(self):
        for bound_s in (1.0, 2.0, 3.0):
            policy = store_reads.StoreReadPolicy(bound_s, 10.0)
            last = 10.0 + bound_s - store_reads.STORE_READ_S
            self.assertTrue(policy.may_rely_on_peers(last - 0.01))
            self.assertFalse(policy.may_rely_on_peers(last))

    def test_lost_store_is_retried_with_growing_pauses(self):
        policy = store_reads.StoreReadPolicy(2.0, 0.0)
        retries = [
            tenth / 10
            for tenth in range(200)
            if policy.should_retry_store(tenth / 10)
        ]
        self.assertEqual([1.4, 2.9, 5.9, 9.9, 13.9, 17.9], retries)

    def test_confirmation_resets_the_retry_pause(self):
        policy = store_reads.StoreReadPolicy(2.0, 0.0)
        self.assertTrue(policy.should_retry_store(1.5))
        policy.record_confirmation(1.6)
        self.assertFalse(policy.should_retry_store(2.9))
        self.assertTrue(policy.should_retry_store(3.0))

    def test_older_confirmation_changes_nothing(self):
        policy = store_reads.StoreReadPolicy(2.0, 5.0)
        policy.record_confirmation(4.0)
        self.assertEqual(5.0, policy.fresh_at)

    def test_settling_ends(self):
        policy = store_reads.StoreReadPolicy(2.0, 5.0)
        self.assertTrue(policy.is_settling(6.1))
        self.assertFalse(policy.is_settling(6.2))
        self.assertTrue(policy.is_settling(7.9, listed=True))
        self.assertFalse(policy.is_settling(8.0, listed=True))
        policy.end_settling()
        self.assertFalse(policy.is_settling(5.0))
        self.assertFalse(policy.is_settling(5.0, listed=True))
