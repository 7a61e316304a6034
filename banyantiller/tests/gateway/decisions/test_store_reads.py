"""Tests of when a daemon reads the store itself."""

from banyantiller.gateway.decisions import store_reads
from banyantiller.tests import base


class RelianceTest(base.TestCase):
    def test_patience_leaves_time_for_an_own_read(self):
        for bound_s in (1.0, 2.0, 3.0):
            reliance = store_reads.StoreReadPolicy(bound_s, 10.0)
            last = 10.0 + bound_s - store_reads.OWN_READ_S
            self.assertTrue(reliance.may_rely_on_peers(last - 0.01))
            self.assertFalse(reliance.may_rely_on_peers(last))

    def test_lost_store_is_tried_more_and_more_seldom(self):
        reliance = store_reads.StoreReadPolicy(2.0, 0.0)
        tries = [
            tenth / 10
            for tenth in range(200)
            if reliance.should_retry_store(tenth / 10)
        ]
        self.assertEqual([1.4, 2.9, 5.9, 9.9, 13.9, 17.9], tries)

    def test_what_is_heard_begins_anew(self):
        reliance = store_reads.StoreReadPolicy(2.0, 0.0)
        self.assertTrue(reliance.should_retry_store(1.5))
        reliance.record_confirmation(1.6)
        self.assertFalse(reliance.should_retry_store(2.9))
        self.assertTrue(reliance.should_retry_store(3.0))

    def test_older_news_change_nothing(self):
        reliance = store_reads.StoreReadPolicy(2.0, 5.0)
        reliance.record_confirmation(4.0)
        self.assertEqual(5.0, reliance.fresh_at)

    def test_waiting_for_others_ends(self):
        reliance = store_reads.StoreReadPolicy(2.0, 5.0)
        self.assertTrue(reliance.is_settling(6.1))
        self.assertFalse(reliance.is_settling(6.2))
        self.assertTrue(reliance.is_settling(7.9, listed=True))
        self.assertFalse(reliance.is_settling(8.0, listed=True))
        reliance.end_settling()
        self.assertFalse(reliance.is_settling(5.0))
        self.assertFalse(reliance.is_settling(5.0, listed=True))
