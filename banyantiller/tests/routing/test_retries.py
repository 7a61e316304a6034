"""Tests of retries and hedges: which calls, to which servers, how many."""

import hypothesis
from hypothesis import strategies

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

REFUSED = failure(ErrorKind.CONNECT_FAILED, Ran.NO)
SHED = failure(ErrorKind.BACKEND_SHED, Ran.NO)


def fill_budget(driver, calls=100):
    """Completes calls, so that the retry budget has tokens."""
    driver.warm_up(calls)


class RetryTest(TestCase):
    def test_idempotent_call_is_retried_on_another_server(self):
        driver = Driver(server_states(3))
        fill_budget(driver)
        (first,) = driver.submit()
        (second,) = driver.receive_head(first.attempt_id, failure())
        self.assertEqual(first.call_id, second.call_id)
        self.assertNotEqual(first.server, second.server)

    def test_same_server_only_when_no_other_is_free(self):
        driver = Driver(server_states(2, slots=1))
        fill_budget(driver)
        (first,) = driver.submit()
        others = driver.fill_servers(3)
        self.assertEqual(1, [s.server for s in others].count(first.server))
        actions = driver.receive_head(first.attempt_id, failure())
        self.assertEqual(first.server, of_type(actions, types.Start)[0].server)

    def test_call_that_may_have_run_is_not_retried(self):
        driver = Driver(server_states(3))
        fill_budget(driver)
        (first,) = driver.submit(idempotent=False)
        (refusal,) = driver.receive_head(first.attempt_id, failure())
        self.assertEqual(ErrorKind.CONNECTION_LOST, refusal.failure.error_kind)

    def test_call_known_not_run_is_retried(self):
        driver = Driver(server_states(3))
        fill_budget(driver)
        (first,) = driver.submit(idempotent=False)
        (second,) = driver.receive_head(first.attempt_id, REFUSED)
        self.assertIsInstance(second, types.Start)

    def test_call_without_its_body_is_not_retried(self):
        driver = Driver(server_states(3))
        fill_budget(driver)
        (first,) = driver.submit()
        lost = failure(ErrorKind.CONNECT_FAILED, Ran.NO, replayable=False)
        self.assertIsInstance(
            driver.receive_head(first.attempt_id, lost)[0], types.Refuse
        )

    def test_call_that_may_have_run_is_never_reported_as_not_run(self):
        driver = Driver(server_states(3))
        fill_budget(driver)
        (first,) = driver.submit()
        (second,) = driver.receive_head(first.attempt_id, failure())
        (third,) = driver.receive_head(second.attempt_id, REFUSED)
        (refusal,) = driver.receive_head(third.attempt_id, REFUSED)
        self.assertEqual(ErrorKind.CONNECTION_LOST, refusal.failure.error_kind)
        self.assertEqual(Ran.UNKNOWN, refusal.failure.response.ran)

    def test_retries_stay_in_budget_when_all_attempts_fail(self):
        for result in (failure(), REFUSED, SHED):
            driver = Driver(server_states(5))
            self.fail_all(driver, result, 500)
            starts = len(of_type(driver.actions, types.Start))
            self.assertLessEqual(starts, 500 * 1.1)
            answers = of_type(driver.actions, types.Refuse)
            self.assertEqual(500, len(answers))

    def test_retry_after_of_a_shedding_server_is_respected(self):
        driver = Driver(server_states(2, slots=1))
        fill_budget(driver)
        (first,) = driver.submit()
        shed = failure(ErrorKind.BACKEND_SHED, Ran.NO, retry_after_s=1.0)
        (second,) = driver.receive_head(first.attempt_id, shed)
        driver.respond(second.attempt_id)
        for _ in range(10):
            (start,) = driver.submit()
            self.assertNotEqual(first.server, start.server)
            driver.respond(start.attempt_id)

    def test_server_gets_no_requests_until_the_end_of_a_long_retry_after(self):
        driver = Driver(server_states(2))
        fill_budget(driver)
        (first,) = driver.submit()
        shed = failure(ErrorKind.BACKEND_SHED, Ran.NO, retry_after_s=20.0)
        (second,) = driver.receive_head(first.attempt_id, shed)
        driver.respond(second.attempt_id)
        for _ in range(19):
            driver.run_due(driver.now + 1.0)
            (start,) = driver.submit()
            self.assertNotEqual(first.server, start.server)
            driver.respond(start.attempt_id)

    def test_failure_carries_retry_after_of_the_server(self):
        driver = Driver(server_states(1))
        (first,) = driver.submit()
        shed = failure(ErrorKind.BACKEND_SHED, Ran.NO, retry_after_s=3.0)
        (refusal,) = driver.receive_head(first.attempt_id, shed)
        self.assertEqual(3.0, refusal.failure.retry_after)

    def fail_all(self, driver, result, calls):
        waiting = []
        for _ in range(calls):
            waiting += of_type(driver.submit(), types.Start)
            driver.now += 0.001
            while waiting:
                start = waiting.pop()
                actions = driver.receive_head(start.attempt_id, result)
                waiting += of_type(actions, types.Start)
            waiting += of_type(driver.run_due(driver.now + 0.01), types.Start)
        while waiting:
            start = waiting.pop()
            actions = driver.receive_head(start.attempt_id, result)
            waiting += of_type(actions, types.Start)
        driver.run_due(driver.now + 10.0)


class HedgeTest(TestCase):
    def start_slow_call(self, **kwargs):
        driver = Driver(server_states(3), **kwargs)
        fill_budget(driver, 200)
        (first,) = driver.submit()
        return driver, first

    def test_late_call_is_hedged_elsewhere_and_loser_cancelled(self):
        driver, first = self.start_slow_call()
        (hedge,) = of_type(driver.run_due(driver.now + 0.5), types.Start)
        self.assertTrue(hedge.hedge)
        self.assertNotEqual(first.server, hedge.server)
        actions = driver.receive_head(hedge.attempt_id, success())
        self.assertEqual(
            [
                types.Relay(first.call_id, hedge.attempt_id),
                types.Cancel(first.attempt_id),
            ],
            actions,
        )
        self.assertEqual([], driver.receive_head(first.attempt_id, success()))

    def test_first_response_wins_and_hedge_is_cancelled(self):
        driver, first = self.start_slow_call()
        (hedge,) = of_type(driver.run_due(driver.now + 0.5), types.Start)
        actions = driver.receive_head(first.attempt_id, success())
        self.assertIn(types.Cancel(hedge.attempt_id), actions)

    def test_other_attempt_continues_when_one_fails(self):
        driver, first = self.start_slow_call()
        (hedge,) = of_type(driver.run_due(driver.now + 0.5), types.Start)
        self.assertEqual([], driver.receive_head(first.attempt_id, failure()))
        actions = driver.receive_head(hedge.attempt_id, success())
        self.assertEqual(
            [types.Relay(first.call_id, hedge.attempt_id)], actions
        )

    def test_bundle_disables_hedges(self):
        policy = options.RetryPolicy(hedge=False)
        service = options.Service("lookups", (), retry=policy)
        driver, _ = self.start_slow_call(service=service)
        self.assertEqual(
            [], of_type(driver.run_due(driver.now + 1.0), types.Start)
        )

    def test_non_idempotent_call_is_never_hedged(self):
        driver = Driver(server_states(3))
        fill_budget(driver, 200)
        driver.submit(idempotent=False)
        due = driver.run_due(driver.now + 4.0)
        self.assertEqual([], of_type(due, types.Start))


class AtMostOnceTest(TestCase):
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(strategies.data())
    def test_non_idempotent_call_has_one_attempt_that_may_have_run(self, data):
        driver = Driver(server_states(3, slots=1))
        fill_budget(driver, 60)
        del driver.actions[:]
        idempotent_calls, running, may_have_run = {}, {}, {}
        steps = ("submit", "answer", "lost", "refused", "cancel", "tick")
        for step in data.draw(
            strategies.lists(strategies.sampled_from(steps), max_size=40)
        ):
            if step == "submit":
                idempotent = data.draw(strategies.booleans())
                idempotent_calls[driver.next_call + 1] = idempotent
                actions = driver.submit(idempotent, timeout_s=1.0)
            elif step == "tick":
                actions = driver.tick(0.05)
            elif not running:
                continue
            else:
                number = data.draw(strategies.sampled_from(sorted(running)))
                actions = self.finish_attempt(
                    driver, step, running.pop(number), may_have_run
                )
            for action in actions:
                if isinstance(action, types.Start):
                    self.check(action, idempotent_calls, running, may_have_run)
                    running[action.attempt_id] = action
                elif isinstance(action, types.Cancel):
                    running.pop(action.attempt_id, None)
                elif isinstance(action, types.Refuse):
                    ran = action.failure.response.ran
                    if may_have_run.get(action.call_id):
                        self.assertIsNot(Ran.NO, ran)

    def check(self, start, idempotent, running, may_have_run):
        if idempotent[start.call_id]:
            return
        self.assertFalse(may_have_run.get(start.call_id))
        others = [s for s in running.values() if s.call_id == start.call_id]
        self.assertEqual([], others)

    def finish_attempt(self, driver, step, start, may_have_run):
        if step == "cancel":
            return driver.record_actions(
                driver.dispatcher.cancel(start.call_id, driver.now)
            )
        if step == "answer":
            may_have_run[start.call_id] = True
            return driver.respond(start.attempt_id)
        if step == "lost":
            may_have_run[start.call_id] = True
            return driver.receive_head(start.attempt_id, failure())
        return driver.receive_head(start.attempt_id, REFUSED)
