"""Tests that each event of the gateway's log is written when it occurs."""

import asyncio
import typing

import structlog

from banyantiller.gateway import call_events, events
from banyantiller.telemetry import events as log_events
from banyantiller.tests import base
from banyantiller.tests.gateway import event_scenarios, harness

DECLARED = {
    event_type: declared
    for event_type, declared in log_events.DECLARATIONS.items()
    if event_type.__module__ in (events.__name__, call_events.__name__)
}


class EventsTest(base.TestCase):
    def lines_of(self, scenario):
        """Runs a scenario in a harness and returns the log lines."""

        async def run_scenario():
            async with harness.GatewayHarness() as env:
                await scenario(env)

        with structlog.testing.capture_logs() as lines:
            self.run_paused(run_scenario())
        return lines

    def test_every_event_has_a_scenario(self):
        shown = {
            event_type
            for _, event_types in event_scenarios.SCENARIOS
            for event_type in event_types
        }
        self.assertEqual(set(DECLARED), shown)

    def test_every_event_is_written_when_it_occurs(self):
        for scenario, event_types in event_scenarios.SCENARIOS:
            lines = self.lines_of(scenario)
            for event_type in event_types:
                found = [
                    line
                    for line in lines
                    if line["event"] == DECLARED[event_type].text
                ]
                self.assertNotEqual([], found, (scenario.__name__, event_type))
                for line in found:
                    self.check_line(event_type, line)

    def check_line(self, event_type, line):
        """Checks that a line has the declared fields and level."""
        self.assertEqual(DECLARED[event_type].level, line["log_level"])
        hints = typing.get_type_hints(event_type)
        for name, hint in hints.items():
            allowed = typing.get_args(hint) or (hint,)
            if typing.get_origin(hint) is list:
                allowed = (list,)
            plain = tuple(typing.get_origin(one) or one for one in allowed)
            self.assertIsInstance(line[name], (*plain, int), (event_type, name))
        extra = set(line) - set(hints) - {"event", "log_level", "exc_info"}
        self.assertEqual(set(), extra)

    def test_all_lines_are_declared_events(self):
        texts = {declared.text for declared in DECLARED.values()}
        for scenario, _ in event_scenarios.SCENARIOS:
            for line in self.lines_of(scenario):
                if line["event"].startswith("gateway:"):
                    self.assertIn(line["event"], texts)

    def test_line_of_a_call_shows_the_age_of_its_document(self):
        async def before_the_first_document(env):
            env.store.faults.silent = True
            await env.start_gateway(name="d2")
            await env.request("a")

        async def with_store(env):
            await asyncio.sleep(20)
            await env.request("a")

        async def without_store(env):
            env.store.faults.silent = True
            await asyncio.sleep(20)
            await env.request("a")

        ages = [
            line["known_ms"]
            for scenario in (
                before_the_first_document,
                with_store,
                without_store,
            )
            for line in self.lines_of(scenario)
            if line["event"] == DECLARED[call_events.CallEnded].text
        ]
        self.assertIsNone(ages[0])
        self.assertLess(ages[1], 3100)
        self.assertGreater(ages[2], 20000)

    def test_two_events_cannot_have_the_same_text(self):
        self.assertRaises(ValueError, log_events.event, "gateway: started.")
