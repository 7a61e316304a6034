"""A call's way through the dispatcher when nothing fails."""

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind
from banyantiller.plugins import Registry
from banyantiller.routing import adaptive, plugin, types
from banyantiller.tests.base import TestCase
from banyantiller.tests.routing.driver import (
    Driver,
    of_type,
    server_states,
    success,
)


class BasicsTest(TestCase):
    def test_answer_is_relayed_and_slot_freed(self):
        driver = Driver(server_states(3))
        (start,) = driver.submit()
        self.assertEqual({start.server: 1.0}, self.load(driver))
        self.assertEqual(
            [types.Relay(start.call_id, start.attempt_id)],
            driver.receive_head(start.attempt_id, success()),
        )
        self.assertEqual({start.server: 1.0}, self.load(driver))
        driver.dispatcher.attempt_done(start.attempt_id, driver.now)
        self.assertEqual({}, self.load(driver))

    def test_own_calls_spread_over_free_servers(self):
        driver = Driver(server_states(4, slots=2))
        servers = [
            of_type(driver.submit(), types.Start)[0].server for _ in "1234"
        ]
        self.assertEqual(4, len(set(servers)))

    def test_full_servers_make_calls_wait_and_an_end_starts_them(self):
        driver = Driver(server_states(1, slots=2))
        first, *_ = driver.fill(3)
        self.assertEqual([], driver.submit())
        started = of_type(driver.answer(first.attempt_id), types.Start)
        self.assertEqual([4], [start.call_id for start in started])

    def test_earliest_deadline_starts_first(self):
        driver = Driver(server_states(1, slots=1))
        first, _ = driver.fill(2)
        driver.submit(timeout_s=4.0)
        driver.submit(timeout_s=1.0)
        started = of_type(driver.answer(first.attempt_id), types.Start)
        self.assertEqual([4], [start.call_id for start in started])

    def test_queue_is_bounded_and_says_when_to_come_back(self):
        queue = options.QueuePolicy(limit=2)
        service = options.Service("lookups", (), queue=queue)
        driver = Driver(server_states(1, slots=1), service)
        driver.fill(2)
        self.assertEqual([], driver.submit() + driver.submit())
        (refusal,) = driver.submit()
        self.assertEqual(ErrorKind.QUEUE_FULL, refusal.failure.kind)
        self.assertGreater(refusal.failure.retry_after, 0)

    def test_cancelled_call_is_forgotten(self):
        driver = Driver(server_states(1, slots=1))
        first, second = driver.fill(2)
        driver.submit()
        self.assertEqual([], driver.dispatcher.cancel(3, driver.now))
        self.assertEqual(
            [], of_type(driver.answer(first.attempt_id), types.Start)
        )
        driver.answer(second.attempt_id)
        running = driver.submit()[0]
        cancelled = driver.dispatcher.cancel(running.call_id, driver.now)
        self.assertEqual([types.Cancel(running.attempt_id)], cancelled)
        self.assertEqual([], driver.receive_head(running.attempt_id, success()))
        self.assertEqual({}, self.load(driver))

    def test_plugin_registers_the_policy(self):
        registry = Registry()
        plugin.register(registry)
        self.assertIs(adaptive.create, registry.get("routing", "adaptive"))

    def load(self, driver):
        return driver.dispatcher.own_load(driver.now)
