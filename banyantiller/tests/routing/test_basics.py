"""Tests of a call's lifecycle when no server fails."""

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


class CallLifecycleTest(TestCase):
    def test_response_is_relayed_and_slot_freed(self):
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

    def test_calls_spread_over_free_servers(self):
        driver = Driver(server_states(4, slots=2))
        servers = [
            of_type(driver.submit(), types.Start)[0].server for _ in "1234"
        ]
        self.assertEqual(4, len(set(servers)))

    def test_calls_wait_for_full_servers_until_a_call_completes(self):
        driver = Driver(server_states(1, slots=2))
        first, *_ = driver.fill_servers(3)
        self.assertEqual([], driver.submit())
        started = of_type(driver.respond(first.attempt_id), types.Start)
        self.assertEqual([4], [start.call_id for start in started])

    def test_earliest_deadline_starts_first(self):
        driver = Driver(server_states(1, slots=1))
        first, _ = driver.fill_servers(2)
        driver.submit(timeout_s=4.0)
        driver.submit(timeout_s=1.0)
        started = of_type(driver.respond(first.attempt_id), types.Start)
        self.assertEqual([4], [start.call_id for start in started])

    def test_full_queue_refuses_calls_with_retry_after(self):
        queue = options.QueuePolicy(limit=2)
        service = options.Service("lookups", (), queue=queue)
        driver = Driver(server_states(1, slots=1), service)
        driver.fill_servers(2)
        self.assertEqual([], driver.submit() + driver.submit())
        (refusal,) = driver.submit()
        self.assertEqual(ErrorKind.QUEUE_FULL, refusal.failure.error_kind)
        self.assertGreater(refusal.failure.retry_after, 0)

    def test_cancelled_call_is_dropped(self):
        driver = Driver(server_states(1, slots=1))
        first, second = driver.fill_servers(2)
        driver.submit()
        self.assertEqual([], driver.dispatcher.cancel(3, driver.now))
        self.assertEqual(
            [], of_type(driver.respond(first.attempt_id), types.Start)
        )
        driver.respond(second.attempt_id)
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
