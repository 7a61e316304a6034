"""Tests the table of rejected callers, and when callers are told to return."""

import random
import tracemalloc

from banyantiller.gateway.decisions import (
    retry_after,
    returning_callers,
    service_load,
)
from banyantiller.tests import base

RELAYS = ("192.0.2.1:7001", "192.0.2.2:7001", "192.0.2.3:7001")
# Smallest daemon of the deployments, and the part of it that a table may use.
MEMORY_BYTES = 152 << 20
MEMORY_SHARE = 0.02


def digest(number):
    """Returns the digest of a request."""
    return number.to_bytes(8, "big")


def load(freed_per_s, rejected_share=0.0):
    """Returns the load of a service without a free slot."""
    return service_load.ZoneLoad(
        9, 0.0, 0.0, 0.0, 1.0, rejected_share, freed_per_s, 0.2
    )


class RejectionTableTest(base.TestCase):
    def test_precedence_ends_with_the_third_rejection(self):
        """Guards against callers that retry often and displace others."""
        table = returning_callers.RejectionTable()
        found = [
            returning_callers.has_precedence(table.record(digest(1), at / 10))
            for at in range(6)
        ]
        self.assertEqual([False, True, True, False, False, False], found)
        # It has precedence again only if it stayed away.
        self.assertEqual(0, table.record(digest(1), 6.0))

    def test_old_rejections_are_forgotten(self):
        table = returning_callers.RejectionTable()
        table.record(digest(1), 0.0)
        table.expire(returning_callers.MEMORY_S)
        self.assertEqual({}, dict(table.entries))

    def test_full_table_evicts_the_oldest(self):
        """Guards against a table that grows without a bound."""
        tracemalloc.start()
        table = returning_callers.RejectionTable()
        for number in range(3 * returning_callers.MAX_ENTRIES):
            table.record(digest(number), 1.0)
            table.record(digest(0), 1.0)
        used_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        self.assertEqual(returning_callers.MAX_ENTRIES, len(table.entries))
        self.assertLess(used_bytes, MEMORY_SHARE * MEMORY_BYTES)
        self.assertEqual(0, table.record(digest(1), 1.0))
        self.assertEqual(3, table.record(digest(0), 1.0))

    def test_request_that_was_served_is_new_the_next_time(self):
        """Guards against precedence for a caller that polls."""
        table = returning_callers.RejectionTable()
        for _ in range(2):
            self.assertEqual(0, table.record(digest(1), 1.0))
            table.withdraw(digest(1))
        table.record(digest(1), 1.0)
        table.record(digest(1), 1.1)
        table.withdraw(digest(1))
        self.assertEqual(0, table.record(digest(1), 1.2))

    def test_share_of_callers_that_come_back(self):
        """Guards against a share that depends on how much is rejected.

        Callers that are served when they come back are not seen again.
        """
        for rejected in (0.2, 0.55, 0.9):
            for returning in (0.0, 0.25, 1.0):
                share = self.simulate_share(rejected, returning)
                # Otherwise it could be on the wrong side of a half.
                self.assertLess(abs(share - returning), 0.25)

    def simulate_share(self, rejected, returning):
        """Returns the share after 60 s at one relay of 312 daemons."""
        rng = random.Random(3)
        table = returning_callers.RejectionTable()
        due = []
        for number in range(60 * 200):
            now = number / 200
            arrivals = [number] + [one for at, one in due if at <= now]
            due = [one for one in due if one[0] > now]
            for one in arrivals:
                if rng.random() >= rejected:
                    continue
                others = sum(rng.random() < rejected for _ in range(3))
                table.record_others(returning_callers.OtherRequests(3, others))
                first = not table.record(digest(one), now)
                if first and rng.random() < returning:
                    due.append((now + rng.uniform(0.03, 0.5), one))
        return table.returned_share()


class ChoiceOfRelayTest(base.TestCase):
    def test_requests_are_divided_evenly_and_stay_at_their_relay(self):
        """Guards against a relay that settings remove and all others move."""
        chosen = [
            returning_callers.choose_relay(digest(number), RELAYS)
            for number in range(3000)
        ]
        for relay in RELAYS:
            self.assertLess(abs(chosen.count(relay) - 1000), 150)
        for number, before in enumerate(chosen):
            if before != RELAYS[0]:
                after = returning_callers.choose_relay(
                    digest(number), RELAYS[1:]
                )
                self.assertEqual(before, after)


class FreedRetryAfterTest(base.TestCase):
    """Callers that were rejected at once come back to slots that get free."""

    def return_times(self, count, freed_per_s, remaining_s):
        """Returns when callers come back that are rejected at time 0."""
        rng = random.Random(7)
        queues = {relay: returning_callers.ReturnQueue() for relay in RELAYS}
        times = []
        for number in range(count):
            relay = returning_callers.choose_relay(digest(number), RELAYS)
            position = queues[relay].join(freed_per_s / len(RELAYS), 0.0)
            times.append(
                retry_after.freed_retry_after_s(
                    load(freed_per_s), position * len(RELAYS), remaining_s, rng
                )
            )
        return sorted(times)

    def rejected_again(self, times, freed_per_s):
        """Counts the callers that find no slot when they come back."""
        served, rejected = 0, 0
        for at in times:
            if served + 1 <= at * freed_per_s + 1e-6:
                served += 1
            else:
                rejected += 1
        return rejected

    def test_none_is_rejected_again_where_there_is_room(self):
        """Guards against callers that come back together, or too early.

        Today's time takes no account of the slots: 0.15 s for each.
        """
        for count, freed_per_s in ((20, 40), (60, 100), (300, 593)):
            times = self.return_times(count, freed_per_s, 6.0)
            self.assertEqual(0, self.rejected_again(times, freed_per_s))

    def test_slots_go_to_callers_although_not_all_can_be_served(self):
        """Guards against slots that stay free while callers wait."""
        freed_per_s, remaining_s = 100, 1.5
        times = self.return_times(200, freed_per_s, remaining_s)
        served = 200 - self.rejected_again(times, freed_per_s)
        # Times vary by at most 0.3 of themselves.
        room = freed_per_s * remaining_s / 3
        self.assertGreaterEqual(served, room / (1 + retry_after.RETRY_SPREAD))

    def test_no_caller_waits_beyond_a_third_of_its_time(self):
        for remaining_s in (-1.0, 0.0, 0.05, 0.6, 6.0):
            times = self.return_times(300, 100, remaining_s)
            self.assertLessEqual(times[-1], max(0.0, remaining_s) / 3)
            self.assertGreaterEqual(times[0], 0.0)

    def test_callers_spread(self):
        times = self.return_times(60, 100, 6.0)
        for start in range(60):
            together = [one for one in times if 0 <= one * 100 - start < 1]
            self.assertLessEqual(len(together), 2 * len(RELAYS))

    def test_without_knowledge_the_time_is_not_known(self):
        rng = random.Random(1)
        for known, expected in (
            (None, 3.0),
            (load(100), None),
            (load(0.0), 3.0),
            # Servers reject although they have free slots.
            (load(100, rejected_share=0.55), 3.0),
        ):
            self.assertIsNone(
                retry_after.freed_retry_after_s(known, expected, 1.0, rng)
            )

    def test_queue_empties_as_slots_become_free(self):
        """Guards against a late caller that waits for those served since."""
        queue = returning_callers.ReturnQueue()
        for _ in range(10):
            queue.join(10.0, 0.0)
        self.assertEqual(1.0, queue.join(10.0, 2.0))
