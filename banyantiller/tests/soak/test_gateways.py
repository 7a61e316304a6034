"""Tests of the ports that the daemons of a soak get."""

from banyantiller.tests import base
from soak import gateways


class PortsTest(base.TestCase):
    def test_two_runs_beside_each_other_share_no_port(self):
        """The second one finds the first one's ports free: no daemon is up."""
        first = gateways.Ports.take(12)
        second = gateways.Ports.take(12)
        self.addCleanup(first.give_back)
        self.addCleanup(second.give_back)
        self.assertEqual(12, len(set(first.numbers)))
        self.assertEqual(set(), {*first.numbers} & {*second.numbers})

    def test_a_range_that_was_given_back_is_taken_again(self):
        first = gateways.Ports.take(3)
        first.give_back()
        second = gateways.Ports.take(3)
        self.addCleanup(second.give_back)
        self.assertEqual(first.numbers, second.numbers)
