"""Tests of the timers of a dispatcher."""

from banyantiller.routing import calls, timers, types
from banyantiller.tests import base


class TimersTest(base.TestCase):
    def test_callback_of_a_finished_call_is_dropped(self) -> None:
        call = calls.CallState.from_call(types.Call(1, True, 9.0), "main", 0.0)
        pending = timers.Timers()
        pending.schedule(1.0, lambda now: [], call)
        pending.schedule(9.0, lambda now: [], call)
        pending.schedule(5.0, lambda now: [])
        self.assertEqual(1.0, pending.next_due())
        call.finished = True
        self.assertEqual(5.0, pending.next_due())
        pending.run_due(5.0)
        self.assertIsNone(pending.next_due())
        self.assertEqual([], pending.heap)

    def test_callbacks_of_finished_calls_do_not_accumulate(self) -> None:
        pending = timers.Timers()
        for number in range(10_000):
            wanted = types.Call(number, True, 9.0)
            call = calls.CallState.from_call(wanted, "main", 0.0)
            pending.schedule(9.0, lambda now: [], call)
            call.finished = number % 100 > 0
        self.assertLess(len(pending.heap), 500)
