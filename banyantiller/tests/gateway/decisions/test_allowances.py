"""Tests of how relays divide and grant the allowance of an organisation."""

import hypothesis
from hypothesis import strategies

from banyantiller.gateway.decisions import allowances
from banyantiller.tests import base

WINDOW_S = 5.0
FIGURES = strategies.floats(0.1, 500)
LIMITS = allowances.BucketLimits(per_s=2.0, capacity=4.0, start=0.0)


class DivisionTest(base.TestCase):
    """Guards against parts that add up to more than the whole."""

    @hypothesis.given(FIGURES, FIGURES, strategies.integers(1, 24))
    def test_parts_add_up_to_the_allowance(self, per_s, burst, count):
        slack = 2 * count * allowances.MIN_TOKENS / allowances.SLACK_SHARE
        part = allowances.relay_part(per_s, burst, slack, count)
        self.assertAlmostEqual(per_s, part.per_s * count)
        most = (part.capacity + part.start) * count
        self.assertLessEqual(most, burst + slack + 1e-6)

    def test_part_of_a_small_burst_is_one_request(self):
        part = allowances.relay_part(1.0, 1.0, 0.0, 3)
        self.assertEqual(allowances.MIN_TOKENS, part.capacity)

    def test_allowed_requests_are_whole(self):
        self.assertEqual(6, allowances.allowed_requests(1.1, 1.1, WINDOW_S))


class RelayAllowanceTest(base.TestCase):
    """Guards against more grants than the rate and one burst."""

    def full(self):
        """Returns the bucket of a relay that has been running for long."""
        allowance = allowances.RelayAllowance(LIMITS, 0.0)
        allowance.fill(LIMITS, 100.0)
        return allowance

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 2),
                strategies.integers(0, 9),
                strategies.booleans(),
            ),
            max_size=60,
        )
    )
    def test_no_span_has_more_grants_also_if_the_relay_restarts(self, steps):
        allowance = self.full()
        now = 100.0
        grants = []
        for pause_s, asked, restarts in steps:
            now += pause_s
            if restarts:
                allowance = allowances.RelayAllowance(LIMITS, now)
            grants += [now] * allowance.grant(asked, LIMITS, now)
        for first, began in enumerate(grants):
            for last in range(first, len(grants)):
                most = LIMITS.capacity + LIMITS.per_s * (grants[last] - began)
                self.assertLessEqual(last - first + 1, most + 1e-6)

    def test_burst_is_granted_again_once_the_bucket_is_full(self):
        allowance = self.full()
        self.assertEqual(4, allowance.grant(9, LIMITS, 100.0))
        self.assertEqual(0, allowance.grant(9, LIMITS, 100.4))
        self.assertEqual(4, allowance.grant(9, LIMITS, 102.4))

    def test_unused_grants_are_granted_again(self):
        allowance = self.full()
        allowance.grant(4, LIMITS, 100.0)
        allowance.take_back(3)
        self.assertEqual(3, allowance.grant(4, LIMITS, 100.0))

    def test_lower_limit_applies_at_once(self):
        lower = allowances.BucketLimits(0.5, 1.0, 0.0)
        self.assertEqual(1, self.full().grant(9, lower, 100.0))

    def test_wait_grows_with_refusals_and_is_bounded(self):
        allowance = allowances.RelayAllowance(LIMITS, 100.0)
        waits = []
        for number in range(400):
            allowance.grant(1, LIMITS, 100.0 + number / 200)
            waits.append(allowance.wait_s(LIMITS))
        self.assertLess(waits[0], 0.1)
        self.assertEqual(allowances.MAX_WAIT_S, max(waits))


class RequestWindowTest(base.TestCase):
    def test_memory_is_bounded_whatever_the_rate(self):
        window = allowances.RequestWindow(WINDOW_S)
        for number in range(100_000):
            window.add(number / 1000)
            window.expire(number / 1000)
        limit = WINDOW_S / allowances.SLOT_S + 2
        self.assertLessEqual(len(window.slots), limit)
