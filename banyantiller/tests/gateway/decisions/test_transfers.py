"""Simulates a daemon's link that large and small responses share."""

import random

from banyantiller.gateway.decisions import transfers
from banyantiller.tests import base

LINK_MBPS = 10.0
LINK_BYTES_PER_S = LINK_MBPS * 1e6 / 8
LARGE_BYTES, SMALL_BYTES = 90_000, 400
WORK_S, DEADLINE_S = 0.2, 3.0
SECONDS = 20.0


class Daemon:
    """A daemon whose responses leave in the order in which they arrive."""

    def __init__(self, limited):
        self.limited = limited
        self.backlog = transfers.LinkBacklog(LINK_MBPS if limited else 0, 0.0)
        self.sizes = transfers.Sizes()
        self.arriving = []
        self.waiting = []
        self.link_free_at = 0.0
        self.large_s, self.small_s, self.rejected = [], [], 0

    def take_large(self, now, began):
        """Handles a call with a large response."""
        expected = self.sizes.expected()
        remaining_s = began + DEADLINE_S - now
        decision = self.backlog.decide(expected, WORK_S, remaining_s, now)
        if not self.limited or decision.verdict is transfers.Verdict.START:
            self.backlog.start(expected)
            self.arriving.append((now + WORK_S, began, expected))
        elif decision.verdict is transfers.Verdict.WAIT:
            self.waiting.append(began)
        else:
            self.rejected += 1

    def advance(self, now):
        """Sends what has arrived, and starts calls that waited."""
        while self.arriving and self.arriving[0][0] <= now:
            at, began, expected = self.arriving.pop(0)
            self.backlog.finish(expected, LARGE_BYTES, at)
            self.sizes.record(LARGE_BYTES)
            self.large_s.append(self.send(at, LARGE_BYTES) - began)
        waiting, self.waiting = self.waiting, []
        for began in waiting:
            self.take_large(now, began)

    def send(self, now, size):
        """Sends a response; returns when its last byte has left."""
        self.link_free_at = max(now, self.link_free_at)
        self.link_free_at += size / LINK_BYTES_PER_S
        return self.link_free_at


def simulate(limited, large_per_s, seed):
    """Simulates a daemon with large calls and 50 small replies a second."""
    daemon, rng = Daemon(limited), random.Random(seed)
    for step in range(int(SECONDS * 1000)):
        now = step / 1000
        daemon.advance(now)
        if rng.random() < large_per_s / 1000:
            daemon.take_large(now, now)
        if rng.random() < 0.05:
            daemon.small_s.append(daemon.send(now, SMALL_BYTES) - now)
    return daemon


def percentile(values, share):
    return sorted(values)[int(share * (len(values) - 1))]


class TransfersTest(base.TestCase):
    def test_small_replies_are_not_stuck_behind_a_surge_of_large_ones(self):
        """At twice the rate of the link, small replies are late by 0.15 s.

        That is the queue of `MAX_QUEUE_S` and one large response that was
        larger than expected. Without a limit the queue grows without end.
        """
        for seed in range(3):
            limited = simulate(True, 28, seed)
            self.assertLessEqual(percentile(limited.small_s, 0.99), 0.15)

    def test_accepted_large_responses_end_before_the_deadline(self):
        """A call that is accepted and then ends too late was sent in vain."""
        for seed in range(3):
            daemon = simulate(True, 28, seed)
            self.assertTrue(daemon.large_s)
            self.assertLessEqual(max(daemon.large_s), DEADLINE_S)
            self.assertGreater(daemon.rejected, 0)

    def test_no_call_is_rejected_while_the_link_has_room(self):
        """Rates within the link's share must not lead to rejections."""
        for seed in range(3):
            self.assertEqual(0, simulate(True, 3.5, seed).rejected)
            self.assertEqual(0, simulate(True, 9.0, seed).rejected)

    def test_a_link_without_a_limit_admits_everything(self):
        """A daemon that does not know its link decides as before."""
        backlog = transfers.LinkBacklog(0, 0.0)
        backlog.start(1e12)
        decision = backlog.decide(1e12, WORK_S, 0.001, 0.0)
        self.assertIs(transfers.Verdict.START, decision.verdict)

    def test_a_response_that_is_always_too_late_is_tried_on_an_idle_link(self):
        """An estimate that is too high must not reject every call for good."""
        backlog = transfers.LinkBacklog(LINK_MBPS, 0.0)
        decision = backlog.decide(1e9, WORK_S, 1.0, 0.0)
        self.assertIs(transfers.Verdict.START, decision.verdict)

    def test_calls_that_fail_leave_no_backlog(self):
        """Failed calls must not fill the link for good."""
        backlog = transfers.LinkBacklog(LINK_MBPS, 0.0)
        for _ in range(100):
            backlog.start(LARGE_BYTES)
            backlog.finish(LARGE_BYTES, 0, 0.1)
        self.assertEqual(0.0, backlog.busy_s(0.1))
