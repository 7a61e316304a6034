"""Tests of how relays divide and grant the allowance of an organisation."""

import hypothesis
from hypothesis import strategies

from banyantiller.gateway.decisions import allowances
from banyantiller.tests import base

WINDOW_S = 5.0
NUMBERS = strategies.integers(0, 2000)


class DivisionTest(base.TestCase):
    """Guards against parts that add up to more, or less, than the whole."""

    @hypothesis.given(NUMBERS, strategies.text(), strategies.integers(1, 24))
    def test_parts_add_up_to_the_allowance(self, total, name, count):
        parts = [
            allowances.relay_part(total, name, index, count)
            for index in range(count)
        ]
        self.assertEqual(total, sum(parts))
        self.assertLessEqual(max(parts) - min(parts), 1)

    def test_allowed_requests_are_whole(self):
        self.assertEqual(6, allowances.allowed_requests(1.1, 1.1, WINDOW_S))


class GrantWindowTest(base.TestCase):
    """Guards against a window in which more is granted than the part."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 2), strategies.integers(0, 9)
            ),
            max_size=60,
        ),
        strategies.integers(0, 30),
    )
    def test_no_window_has_more_grants_than_the_part(self, asks, part):
        allowance = allowances.RelayAllowance(WINDOW_S)
        now = 1000.0
        grants = []
        for pause_s, asked in asks:
            now += pause_s
            granted = allowance.grant(asked, part, 0.0, 1000.0, now)
            grants += [now] * granted
        for first in grants:
            within = [at for at in grants if first <= at <= first + WINDOW_S]
            self.assertLessEqual(len(within), part)

    def test_part_is_granted_again_after_a_window(self):
        allowance = allowances.RelayAllowance(WINDOW_S)
        self.assertEqual(4, allowance.grant(9, 4, 0.0, 60.0, 100.0))
        self.assertEqual(0, allowance.grant(9, 4, 0.0, 60.0, 104.9))
        again_at = 100.0 + WINDOW_S + 2 * allowances.SLOT_S
        self.assertEqual(4, allowance.grant(9, 4, 0.0, 60.0, again_at))

    def test_unused_grants_are_granted_again(self):
        allowance = allowances.RelayAllowance(WINDOW_S)
        allowance.grant(4, 4, 0.0, 60.0, 100.0)
        allowance.grants.take_back(3)
        self.assertEqual(3, allowance.grant(4, 4, 0.0, 60.0, 101.0))

    def test_restarted_relay_regains_its_part_over_a_window(self):
        """The process before it may have granted the whole part."""
        granted = []
        for age_s in (0.0, 1.0, 2.5, 4.0, 5.0):
            allowance = allowances.RelayAllowance(WINDOW_S)
            granted.append(allowance.grant(99, 50, 0.0, age_s, 100.0))
        self.assertEqual([0, 10, 25, 40, 50], granted)

    def test_slack_is_granted_at_once_after_a_restart(self):
        allowance = allowances.RelayAllowance(WINDOW_S)
        self.assertEqual(3, allowance.grant(99, 50, 3.0, 0.0, 100.0))

    def test_wait_grows_with_refusals_and_is_bounded(self):
        allowance = allowances.RelayAllowance(WINDOW_S)
        waits = []
        for number in range(400):
            now = 100.0 + number / 200
            allowance.grant(1, 0, 0.0, 60.0, now)
            waits.append(allowance.wait_s(now))
        self.assertLess(waits[0], 0.1)
        self.assertEqual(allowances.MAX_WAIT_S, max(waits))

    def test_memory_is_bounded_whatever_the_rate(self):
        window = allowances.GrantWindow(WINDOW_S)
        for number in range(100_000):
            window.add(number / 1000)
            window.expire(number / 1000)
        limit = WINDOW_S / allowances.SLOT_S + 2
        self.assertLessEqual(len(window.slots), limit)
