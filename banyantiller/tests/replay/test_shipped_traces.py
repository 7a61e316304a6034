"""Every shipped trace holds, and a wrong decision makes it fail."""

import itertools
import pathlib

from banyantiller.errors import ErrorKind, Failure
from banyantiller.replay import dispatcher_player, player, traces
from banyantiller.routing import types
from banyantiller.tests.base import TestCase

TRACES = sorted(pathlib.Path(__file__).parents[3].glob("traces/*.jsonl"))
MOST_BYTES = 20_000


class RecklessDispatcher:
    """Sends each call anywhere at once, again after any failure, at most 9."""

    def __init__(self, service, servers, daemon, zone, seed, now, charge):
        self.names = [server.name for server in servers]
        self.numbers = itertools.count(1)
        self.calls = {}
        self.tried = {}

    def configure(self, service, servers, now):
        return []

    def submit(self, call, now):
        self.tried[call.call_id] = 0
        return [self.start(call.call_id)]

    def start(self, call_id):
        number = next(self.numbers)
        self.calls[number] = call_id
        self.tried[call_id] += 1
        name = self.names[number % len(self.names)]
        return types.Start(call_id, number, name)

    def attempt_head(self, attempt_id, result, now):
        call_id = self.calls[attempt_id]
        if result.ok:
            return [types.Relay(call_id, attempt_id)]
        if self.tried[call_id] < 9:
            return [self.start(call_id)]
        return [types.Refuse(call_id, Failure(ErrorKind.NO_SERVER))]

    def attempt_done(self, attempt_id, now):
        return []

    def cancel(self, call_id, now):
        return []

    def report(self, server, report, now):
        return []

    def probe_failed(self, server, now):
        return []

    def members(self, alive, now):
        pass

    def tick(self, now):
        return []

    def next_tick(self):
        return None


class ShippedTracesTest(TestCase):
    def test_every_stated_outcome_holds(self):
        self.assertGreater(len(TRACES), 12)
        for path in TRACES:
            for result in player.play(path.read_text()):
                where = f"{path.name}, line {result.number}: {result.name}"
                self.assertEqual("", result.problem, where)

    def test_every_trace_is_small_and_says_what_it_shows(self):
        for path in TRACES:
            text = path.read_text()
            self.assertLess(len(text), MOST_BYTES)
            self.assertNotEqual("", traces.parse(text).header["about"])

    def test_a_reckless_dispatcher_fails_them(self):
        failed = 0
        count = 0
        for path in TRACES:
            trace = traces.parse(path.read_text())
            if trace.core == "dispatcher":
                count += 1
                results = dispatcher_player.play(trace, RecklessDispatcher)
                failed += any(result.problem for result in results)
        self.assertEqual(count, failed)
