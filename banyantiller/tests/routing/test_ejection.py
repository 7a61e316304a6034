"""Tests of ejection, its limit, recovery, slow start and leaving servers."""

from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import limits, types
from banyantiller.tests.base import TestCase
from banyantiller.tests.routing.driver import (
    Driver,
    failure,
    of_type,
    server_states,
    success,
)

REFUSED = failure(ErrorKind.CONNECT_FAILED, Ran.NO)


def send_calls(driver, calls, failing=()):
    """Sends calls one by one; those to failing servers are refused.

    Returns:
        Number of attempts by server.
    """
    counts = {}
    for _ in range(calls):
        pending = of_type(driver.submit(), types.Start)
        while pending:
            start = pending.pop()
            counts[start.server] = counts.get(start.server, 0) + 1
            if start.server in failing:
                actions = driver.receive_head(start.attempt_id, REFUSED)
                pending += of_type(actions, types.Start)
            else:
                driver.respond(start.attempt_id)
    return counts


def ejected_servers(driver):
    views = driver.dispatcher.state.views.values()
    return [v.server.name for v in views if v.ejected_until > driver.now]


class EjectionTest(TestCase):
    def test_server_that_refuses_connections_is_ejected_at_once(self):
        driver = Driver(server_states(4))
        driver.warm_up(100)
        self.assertLessEqual(send_calls(driver, 8, {"b00"}).get("b00", 0), 1)

    def test_ejection_never_empties_a_service(self):
        driver = Driver(server_states(4))
        failing = {"b00", "b01", "b02", "b03"}
        send_calls(driver, 40, failing)
        self.assertEqual(2, len(ejected_servers(driver)))
        self.assertEqual(1, len(of_type(driver.submit(), types.Start)))
        alone = Driver(server_states(1))
        send_calls(alone, 10, {"b00"})
        self.assertEqual([], ejected_servers(alone))

    def test_one_trial_at_a_time_restores_a_server(self):
        driver = Driver(server_states(2), zone="nowhere")
        driver.warm_up(100)
        send_calls(driver, 30, {"b00"})
        driver.now += 6.0
        trials = []
        for _ in range(3):
            starts = of_type(driver.submit(), types.Start)
            trials += [s for s in starts if s.server == "b00"]
        self.assertEqual(1, len(trials))
        driver.respond(trials[0].attempt_id)
        self.assertFalse(driver.dispatcher.state.views["b00"].awaiting_trial)

    def test_ejections_grow_longer(self):
        driver = Driver(server_states(2))
        driver.warm_up(50)
        view = driver.dispatcher.state.views["b00"]
        lengths = []
        for _ in range(3):
            while view.ejected_until <= driver.now:
                send_calls(driver, 1, {"b00"})
            lengths.append(view.ejected_until - driver.now)
            driver.run_due(view.ejected_until)
        self.assertGreater(lengths[1], lengths[0])
        self.assertGreater(lengths[2], lengths[1])

    def test_probe_tests_an_ejected_server_within_the_budget(self):
        driver = Driver(server_states(2), charge=lambda _: True)
        driver.warm_up(50)
        while not ejected_servers(driver):
            send_calls(driver, 1, {"b00"})
        probes = of_type(driver.run_due(driver.now + 1.0), types.Probe)
        self.assertEqual([types.Probe("b00")], probes)
        self.assertNotIn("b00", send_calls(driver, 10))
        report = types.LoadReport(0.0, source="probe")
        driver.dispatcher.report("b00", report, driver.now)
        self.assertFalse(driver.dispatcher.state.views["b00"].awaiting_trial)

    def test_ejected_server_is_not_probed_in_its_backoff(self):
        driver = Driver(server_states(2), charge=lambda _: True)
        driver.warm_up(50)
        view = driver.dispatcher.state.views["b00"]
        while not ejected_servers(driver):
            send_calls(driver, 1, {"b00"})
        limits.back_off(view, 10.0, 0.1, driver.now)
        ends_at = driver.now + 10.0
        self.assertEqual(
            [], of_type(driver.run_due(ends_at - 0.1), types.Probe)
        )
        probes = of_type(driver.run_due(ends_at + 0.1), types.Probe)
        self.assertEqual([types.Probe("b00")], probes)

    def test_no_probe_is_charged_for_a_leaving_or_removed_server(self):
        leaving = (server_states(1, leaving=True)[0], server_states(2)[1])
        for present in (leaving, server_states(2)[1:]):
            charged = []
            driver = Driver(server_states(2), charge=charged.append)
            driver.warm_up(50)
            while not ejected_servers(driver):
                send_calls(driver, 1, {"b00"})
            dispatcher = driver.dispatcher
            dispatcher.configure(driver.service, present, driver.now)
            driver.run_due(driver.now + 30.0)
            self.assertEqual([], charged)

    def test_unresponsive_probe_does_not_block_a_server_forever(self):
        driver = Driver(server_states(2), charge=lambda _: True)
        driver.warm_up(50)
        while not ejected_servers(driver):
            send_calls(driver, 1, {"b00"})
        self.assertEqual(
            1, len(of_type(driver.run_due(driver.now + 1.0), types.Probe))
        )
        again = of_type(driver.run_due(driver.now + 10.0), types.Probe)
        self.assertGreaterEqual(len(again), 1)

    def test_unresponsive_server_is_ejected_after_overdue_attempts(self):
        driver = Driver(server_states(3))
        driver.warm_up(300)
        view = driver.dispatcher.state.views["b00"]
        attempts = 0
        for _ in range(3000):
            starts = of_type(driver.submit(), types.Start)
            if starts[0].server == "b00":
                attempts += 1
                starts = driver.next_starts(driver.now + 1.0)
            for start in starts:
                driver.respond(start.attempt_id)
            if view.awaiting_trial:
                break
        self.assertTrue(view.awaiting_trial)
        self.assertEqual(3, attempts)


class ColdStartTest(TestCase):
    def test_new_server_gets_its_share_gradually(self):
        driver = Driver(server_states(3), zone="nowhere")
        driver.warm_up(60)
        driver.dispatcher.configure(
            driver.service, server_states(4), driver.now
        )
        during_ramp = self.calls_to_new_server(driver, 6)
        driver.now += 10.0
        after_ramp = self.calls_to_new_server(driver, 40)
        self.assertEqual(0, during_ramp)
        self.assertGreater(after_ramp, 4)

    def calls_to_new_server(self, driver, calls):
        return send_calls(driver, calls).get("b03", 0)


class LeavingTest(TestCase):
    def mark_leaving(self, driver):
        servers = list(server_states(3))
        servers[0] = servers[0]._replace(leaving=True)
        return driver.record_actions(
            driver.dispatcher.configure(
                driver.service, tuple(servers), driver.now
            )
        )

    def test_leaving_server_gets_no_new_calls_and_completes_running_ones(self):
        driver = Driver(server_states(3))
        starts = [driver.submit()[0] for _ in range(3)]
        (running,) = [s for s in starts if s.server == "b00"]
        self.assertEqual([], self.mark_leaving(driver))
        self.assertNotIn("b00", send_calls(driver, 30))
        self.assertEqual(
            [types.Relay(running.call_id, running.attempt_id)],
            driver.receive_head(running.attempt_id, success()),
        )

    def test_draining_response_stops_new_calls_at_once(self):
        driver = Driver(server_states(3))
        starts = [driver.submit()[0] for _ in range(3)]
        (first,) = [s for s in starts if s.server == "b00"]
        report = types.LoadReport(0.0, draining=True)
        result = success()._replace(report=report)
        driver.receive_head(first.attempt_id, result)
        driver.dispatcher.attempt_done(first.attempt_id, driver.now)
        self.assertNotIn("b00", send_calls(driver, 30))
        self.mark_leaving(driver)
        driver.dispatcher.configure(
            driver.service, server_states(3), driver.now
        )
        driver.now += 10.0
        self.assertIn("b00", send_calls(driver, 30))

    def test_calls_are_refused_at_once_when_every_server_leaves(self):
        driver = Driver(server_states(1, slots=1))
        driver.fill_servers(2)
        self.assertEqual([], driver.submit())
        leaving = tuple(
            s._replace(leaving=True) for s in server_states(1, slots=1)
        )
        (refusal,) = driver.dispatcher.configure(
            driver.service, leaving, driver.now
        )
        self.assertEqual(ErrorKind.NO_SERVER, refusal.failure.error_kind)
        self.assertIsNotNone(refusal.failure.retry_after)
