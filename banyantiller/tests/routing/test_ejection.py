"""Ejection, its cap, recovery, cold start and leaving servers."""

from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import types
from banyantiller.tests.base import TestCase
from banyantiller.tests.routing.driver import (
    Driver,
    failed,
    good,
    of,
    states,
)

REFUSED = failed(ErrorKind.CONNECT_FAILED, Ran.NO)


def spread(driver, calls, bad=()):
    """Sends calls one by one, answering all but those on bad servers."""
    counts = {}
    for _ in range(calls):
        todo = of(driver.submit(), types.Start)
        while todo:
            start = todo.pop()
            counts[start.server] = counts.get(start.server, 0) + 1
            if start.server in bad:
                actions = driver.head(start.attempt_id, REFUSED)
                todo += of(actions, types.Start)
            else:
                driver.answer(start.attempt_id)
    return counts


def closed(driver):
    views = driver.dispatcher.known.views.values()
    return [v.state.name for v in views if v.ejected_until > driver.now]


class EjectionTest(TestCase):
    def test_server_that_refuses_connections_is_ejected_at_once(self):
        driver = Driver(states(4))
        driver.warm(100)
        self.assertLessEqual(spread(driver, 8, {"b00"}).get("b00", 0), 1)

    def test_ejection_never_empties_a_service(self):
        driver = Driver(states(4))
        bad = {"b00", "b01", "b02", "b03"}
        spread(driver, 40, bad)
        self.assertEqual(2, len(closed(driver)))
        self.assertEqual(1, len(of(driver.submit(), types.Start)))
        alone = Driver(states(1))
        spread(alone, 10, {"b00"})
        self.assertEqual([], closed(alone))

    def test_one_trial_at_a_time_brings_a_server_back(self):
        driver = Driver(states(2), zone="nowhere")
        driver.warm(100)
        spread(driver, 30, {"b00"})
        driver.now += 6.0
        trials = []
        for _ in range(3):
            starts = of(driver.submit(), types.Start)
            trials += [s for s in starts if s.server == "b00"]
        self.assertEqual(1, len(trials))
        driver.answer(trials[0].attempt_id)
        self.assertFalse(driver.dispatcher.known.views["b00"].trial)

    def test_ejections_grow_longer(self):
        driver = Driver(states(2))
        driver.warm(50)
        view = driver.dispatcher.known.views["b00"]
        lengths = []
        for _ in range(3):
            while view.ejected_until <= driver.now:
                spread(driver, 1, {"b00"})
            lengths.append(view.ejected_until - driver.now)
            driver.run_due(view.ejected_until)
        self.assertGreater(lengths[1], lengths[0])
        self.assertGreater(lengths[2], lengths[1])

    def test_probe_tests_an_ejected_server_while_the_budget_lasts(self):
        driver = Driver(states(2), charge=lambda _: True)
        driver.warm(50)
        while not closed(driver):
            spread(driver, 1, {"b00"})
        probes = of(driver.run_due(driver.now + 1.0), types.Probe)
        self.assertEqual([types.Probe("b00")], probes)
        self.assertNotIn("b00", spread(driver, 10))
        report = types.LoadReport(0.0, source="probe")
        driver.dispatcher.report("b00", report, driver.now)
        self.assertFalse(driver.dispatcher.known.views["b00"].trial)

    def test_no_probe_is_asked_for_a_server_that_leaves_or_is_gone(self):
        leaving = (states(1, leaving=True)[0], states(2)[1])
        for present in (leaving, states(2)[1:]):
            asked = []
            driver = Driver(states(2), charge=asked.append)
            driver.warm(50)
            while not closed(driver):
                spread(driver, 1, {"b00"})
            dispatcher = driver.dispatcher
            dispatcher.configure(driver.service, present, driver.now)
            driver.run_due(driver.now + 30.0)
            self.assertEqual([], asked)

    def test_probe_without_any_answer_does_not_close_a_server_for_good(self):
        driver = Driver(states(2), charge=lambda _: True)
        driver.warm(50)
        while not closed(driver):
            spread(driver, 1, {"b00"})
        self.assertEqual(
            1, len(of(driver.run_due(driver.now + 1.0), types.Probe))
        )
        again = of(driver.run_due(driver.now + 10.0), types.Probe)
        self.assertGreaterEqual(len(again), 1)

    def test_silent_server_is_ejected_after_overdue_tries(self):
        driver = Driver(states(3))
        driver.warm(300)
        view = driver.dispatcher.known.views["b00"]
        tries = 0
        for _ in range(3000):
            starts = of(driver.submit(), types.Start)
            if starts[0].server == "b00":
                tries += 1
                starts = driver.next_starts(driver.now + 1.0)
            for start in starts:
                driver.answer(start.attempt_id)
            if view.trial:
                break
        self.assertTrue(view.trial)
        self.assertEqual(3, tries)


class ColdStartTest(TestCase):
    def test_new_server_gets_its_share_by_degrees(self):
        driver = Driver(states(3), zone="nowhere")
        driver.warm(60)
        driver.dispatcher.configure(driver.service, states(4), driver.now)
        early = self.share_of_new(driver, 6)
        driver.now += 10.0
        late = self.share_of_new(driver, 40)
        self.assertEqual(0, early)
        self.assertGreater(late, 4)

    def share_of_new(self, driver, calls):
        return spread(driver, calls).get("b03", 0)


class LeavingTest(TestCase):
    def leave(self, driver):
        known = list(states(3))
        known[0] = known[0]._replace(leaving=True)
        return driver.note(
            driver.dispatcher.configure(
                driver.service, tuple(known), driver.now
            )
        )

    def test_leaving_server_gets_nothing_new_and_cuts_nothing(self):
        driver = Driver(states(3))
        starts = [driver.submit()[0] for _ in range(3)]
        (old,) = [s for s in starts if s.server == "b00"]
        self.assertEqual([], self.leave(driver))
        self.assertNotIn("b00", spread(driver, 30))
        self.assertEqual(
            [types.Relay(old.call_id, old.attempt_id)],
            driver.head(old.attempt_id, good()),
        )

    def test_draining_answer_stops_new_calls_at_once(self):
        driver = Driver(states(3))
        starts = [driver.submit()[0] for _ in range(3)]
        (first,) = [s for s in starts if s.server == "b00"]
        report = types.LoadReport(0.0, draining=True)
        result = good()._replace(report=report)
        driver.head(first.attempt_id, result)
        driver.dispatcher.attempt_done(first.attempt_id, driver.now)
        self.assertNotIn("b00", spread(driver, 30))
        self.leave(driver)
        driver.dispatcher.configure(driver.service, states(3), driver.now)
        driver.now += 10.0
        self.assertIn("b00", spread(driver, 30))

    def test_calls_are_refused_at_once_when_every_server_leaves(self):
        driver = Driver(states(1, slots=1))
        driver.fill(2)
        self.assertEqual([], driver.submit())
        gone = tuple(s._replace(leaving=True) for s in states(1, slots=1))
        (refusal,) = driver.dispatcher.configure(
            driver.service, gone, driver.now
        )
        self.assertEqual(ErrorKind.NO_SERVER, refusal.failure.kind)
        self.assertIsNotNone(refusal.failure.retry_after)
