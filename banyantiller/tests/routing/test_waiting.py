"""Tests of waiting calls: refusals, deadlines, the window, and timers."""

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import types
from banyantiller.tests.base import TestCase
from banyantiller.tests.routing.driver import (
    Driver,
    failure,
    of_type,
    server_states,
    success,
)


def full_server(waiting=0, timeout_s=5.0, **kwargs):
    """Returns a driver whose one server is full, with calls waiting."""
    driver = Driver(server_states(1, slots=1), **kwargs)
    driver.warm_up(60)
    running, _ = driver.fill_servers(2)
    for _ in range(waiting):
        driver.submit(idempotent=False, timeout_s=timeout_s)
    return driver, running


class EarlyRefusalTest(TestCase):
    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        driver, _ = full_server(waiting=20)
        (refusal,) = driver.submit(timeout_s=0.05)
        self.assertEqual(
            ErrorKind.DEADLINE_UNREACHABLE, refusal.failure.error_kind
        )
        self.assertEqual(Ran.NO, refusal.failure.response.ran)
        self.assertGreater(refusal.failure.retry_after, 0.2)

    def test_waiting_call_that_cannot_meet_its_deadline_is_refused_early(
        self,
    ):
        driver, running = full_server()
        driver.submit(timeout_s=0.1)
        driver.now += 0.095
        actions = driver.respond(running.attempt_id, after_s=0.0)
        refusals = of_type(actions, types.Refuse)
        self.assertEqual(
            [ErrorKind.DEADLINE_UNREACHABLE],
            [refusal.failure.error_kind for refusal in refusals],
        )

    def test_longest_wait_ends_in_a_refusal(self):
        queue = options.QueuePolicy(longest_s=0.5)
        service = options.Service("lookups", (), queue=queue)
        driver, _ = full_server(waiting=1, service=service)
        started = driver.now
        refusals = of_type(driver.run_due(started + 4.0), types.Refuse)
        self.assertEqual(
            [ErrorKind.QUEUE_FULL], [r.failure.error_kind for r in refusals]
        )

    def test_deadline_of_a_running_call_cancels_it(self):
        driver, running = full_server()
        actions = driver.run_due(driver.now + 6.0)
        self.assertIn(types.Cancel(running.attempt_id), actions)
        kinds = {
            refusal.failure.error_kind
            for refusal in of_type(actions, types.Refuse)
        }
        self.assertEqual({ErrorKind.DEADLINE_AFTER_START}, kinds)

    def test_deadline_already_over(self):
        driver = Driver(server_states(1))
        (refusal,) = driver.submit(timeout_s=0.0)
        self.assertEqual(
            ErrorKind.DEADLINE_BEFORE_START, refusal.failure.error_kind
        )


class WindowTest(TestCase):
    def overload(self, driver, calls):
        for _ in range(calls):
            for start in of_type(driver.submit(), types.Start):
                driver.respond(start.attempt_id, in_flight=9.0)

    def test_backlogs_shrink_the_window_to_the_equal_share(self):
        driver = Driver(server_states(4, slots=2))
        driver.dispatcher.members(4, driver.now)
        self.overload(driver, 100)
        started = [of_type(driver.submit(), types.Start) for _ in range(8)]
        self.assertEqual(2, sum(len(starts) for starts in started))

    def test_window_grows_again(self):
        driver = Driver(server_states(4, slots=2))
        driver.dispatcher.members(4, driver.now)
        self.overload(driver, 100)
        driver.warm_up(200)
        started = [of_type(driver.submit(), types.Start) for _ in range(8)]
        self.assertEqual(8, sum(len(starts) for starts in started))

    def test_wrong_daemon_counts_allow_one_call_at_least(self):
        for alive in (0, 1, 10_000):
            driver = Driver(server_states(2, slots=1))
            driver.dispatcher.members(alive, driver.now)
            self.overload(driver, 100)
            self.assertEqual(1, len(of_type(driver.submit(), types.Start)))


class TimersTest(TestCase):
    def test_no_callback_stays_due(self):
        driver = Driver(server_states(3, slots=1), charge=lambda _: True)
        driver.warm_up(100)
        failing = failure(ErrorKind.CONNECT_FAILED, Ran.NO)
        for number in range(300):
            starts = of_type(driver.submit(timeout_s=0.5), types.Start)
            for start in starts:
                if number % 3:
                    driver.receive_head(start.attempt_id, failing)
            driver.run_due(driver.now + 0.01)
            driver.dispatcher.tick(driver.now)
            due = driver.dispatcher.next_tick()
            self.assertTrue(due is None or due > driver.now)
        driver.run_due(driver.now + 60.0)
        self.assertEqual({}, driver.dispatcher.scheduler.calls)
        self.assertEqual({}, driver.dispatcher.scheduler.attempts)

    def test_nothing_is_due_without_calls(self):
        driver = Driver(server_states(3))
        self.assertIsNone(driver.dispatcher.next_tick())

    def test_late_results_of_dropped_attempts_are_ignored(self):
        driver, running = full_server()
        driver.dispatcher.cancel(running.call_id, driver.now)
        self.assertEqual([], driver.receive_head(running.attempt_id, success()))
        done = driver.dispatcher.attempt_done(running.attempt_id, driver.now)
        self.assertEqual([], done)
