"""Tests of the choice of a server by load, latency and their age."""

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

FAST_503 = types.AttemptResult(True, Ran.UNKNOWN, status=503)


def near_and_far(zone="zone-a"):
    return (
        types.ServerState("near", "zone-a", 2),
        types.ServerState("far", zone, 2),
    )


def report_load(driver, server, in_flight, age_s=0.0):
    report = types.LoadReport(in_flight, age_s, source="probe")
    driver.dispatcher.report(server, report, driver.now)


def chosen_servers(driver, calls):
    """Submits and completes calls one by one; returns their servers."""
    servers = []
    for _ in range(calls):
        (start,) = driver.submit()
        servers.append(start.server)
        driver.respond(start.attempt_id)
    return servers


class ChoiceTest(TestCase):
    def test_reported_load_is_avoided_while_it_is_fresh(self):
        driver = Driver(near_and_far())
        driver.warm_up()
        report_load(driver, "far", 0)
        report_load(driver, "near", 6)
        self.assertEqual("far", driver.submit()[0].server)

    def test_weight_of_a_report_falls_with_its_age(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        report_load(driver, "near", 6, age_s=1.0)
        self.assertEqual("near", driver.submit()[0].server)
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        report_load(driver, "near", 6)
        driver.now += 1.0
        self.assertEqual("near", driver.submit()[0].server)

    def test_older_report_does_not_replace_a_newer(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        report_load(driver, "near", 6)
        report_load(driver, "near", 0, age_s=0.01)
        self.assertEqual("far", driver.submit()[0].server)

    def test_reports_that_contradict_local_attempts_lose_weight(self):
        driver = Driver(near_and_far())
        driver.warm_up()
        starts = [driver.submit()[0] for _ in range(4)]
        near = [start for start in starts if start.server == "near"]
        driver.now += 0.02
        driver.receive_head(near[0].attempt_id, success(in_flight=0.0))
        report_load(driver, "near", 9)
        report_load(driver, "far", 0)
        view = driver.dispatcher.state.views["near"]
        self.assertGreater(view.distrust, 0)
        for start in starts:
            driver.dispatcher.attempt_done(start.attempt_id, driver.now)
        self.assertIn("near", [driver.submit()[0].server for _ in range(2)])

    def test_local_zone_is_preferred_until_it_costs_latency(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        self.assertEqual({"near"}, set(chosen_servers(driver, 20)))
        report_load(driver, "near", 4)
        self.assertEqual("far", driver.submit()[0].server)

    def test_reports_from_peers_are_ignored(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        report = types.LoadReport(9, source="peer")
        driver.dispatcher.report("near", report, driver.now)
        self.assertEqual("near", driver.submit()[0].server)

    def test_fast_failing_server_attracts_no_calls(self):
        driver = Driver(server_states(5))
        driver.warm_up(100)
        sent = {}
        for number in range(300):
            starts = of_type(driver.submit(idempotent=False), types.Start)
            for start in starts:
                sent[start.server] = sent.get(start.server, 0) + 1
                if start.server == "b00":
                    driver.now += 0.0005
                    driver.receive_head(start.attempt_id, FAST_503)
                    driver.dispatcher.attempt_done(start.attempt_id, driver.now)
                else:
                    driver.respond(start.attempt_id, in_flight=1.0)
            driver.now += 0.01 * (number % 3)
        self.assertLess(sent.get("b00", 0), 15)

    def test_cancelled_attempts_mark_a_server_as_slow_before_it_responds(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up(200)
        for _ in range(2):
            (slow,) = driver.submit()
            (hedge,) = driver.next_starts(driver.now + 1.0)
            driver.respond(hedge.attempt_id)
            self.assertEqual("near", slow.server)
        self.assertEqual({"far"}, set(chosen_servers(driver, 5)))

    def test_slow_server_gets_calls_again_after_a_while(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        for _ in range(10):
            start = driver.submit(idempotent=False)[0]
            slow = start.server == "near"
            driver.respond(start.attempt_id, after_s=0.4 if slow else 0.02)
        self.assertEqual({"far"}, set(chosen_servers(driver, 3)))
        driver.now += 60.0
        self.assertIn("near", chosen_servers(driver, 5))

    def test_single_failure_diverts_calls_without_an_ejection(self):
        driver = Driver(near_and_far("zone-b"))
        driver.warm_up()
        (start,) = driver.submit(idempotent=False)
        driver.receive_head(
            start.attempt_id, failure(ErrorKind.BACKEND_MALFORMED)
        )
        self.assertEqual({"far"}, set(chosen_servers(driver, 5)))
