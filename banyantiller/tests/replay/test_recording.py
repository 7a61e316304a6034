"""A recorded dispatcher can be replayed."""

import json
import pathlib
import random
import tempfile

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Ran
from banyantiller.replay import dispatcher_player, player, recording, traces
from banyantiller.routing import adaptive, types
from banyantiller.tests.base import TestCase
from banyantiller.tests.routing.driver import of_type, server_states, success

SERVICE = options.Service("desk", ())


def drive(dispatcher, seed, calls=200):
    """Feeds random answers, failures, cancels and reports."""
    rng = random.Random(seed)
    now = 100.0
    running = []
    for number in range(1, calls + 1):
        now += rng.expovariate(100)
        call = types.Call(number, rng.random() < 0.7, now + 2.0)
        actions = dispatcher.submit(call, now)
        running += of_type(actions, types.Start)
        if running and rng.random() < 0.8:
            start = running.pop(rng.randrange(len(running)))
            now += 0.001
            running += end(dispatcher, start, rng, now)
        if rng.random() < 0.05:
            dispatcher.cancel(number, now)
        if rng.random() < 0.05:
            report = types.LoadReport(1.0, 0.1, source="peer")
            dispatcher.report("b01", report, now)
        running += of_type(dispatcher.tick(now), types.Start)
    dispatcher.members(3, now)
    dispatcher.configure(SERVICE, server_states(3, leaving=True), now)


def end(dispatcher, start, rng, now):
    if rng.random() < 0.2:
        failure = types.AttemptResult(
            False, Ran.UNKNOWN, ErrorKind.CONNECTION_LOST
        )
        actions = dispatcher.attempt_head(start.attempt_id, failure, now)
        return of_type(actions, types.Start)
    actions = dispatcher.attempt_head(start.attempt_id, success(1.0), now)
    actions += dispatcher.attempt_done(start.attempt_id, now)
    return of_type(actions, types.Start)


def record(seed, most_bytes=recording.MOST_BYTES):
    lines = []
    create = recording.record(adaptive.create, lines.append, most_bytes)
    rng = random.Random(seed)
    dispatcher = create(
        SERVICE,
        server_states(4),
        "d1",
        "zone-c",
        7,
        100.0,
        lambda _: rng.random() < 0.5,
    )
    drive(dispatcher, seed)
    return "".join(lines)


class RecordingTest(TestCase):
    def test_replay_decides_as_recorded(self):
        expected = '{"expect": "same_servers"}\n'
        for seed in range(5):
            text = record(seed)
            (result,) = player.play(text + expected)
            self.assertEqual("", result.problem)

    def test_another_seed_decides_otherwise_and_that_is_seen(self):
        header, rest = record(1).split("\n", 1)
        header = json.dumps({**json.loads(header), "seed": 8})
        text = f'{header}\n{rest}{{"expect": "same_servers"}}\n'
        (result,) = player.play(text)
        self.assertIn("went to others", result.problem)

    def test_a_recording_is_bounded_and_says_so(self):
        text = record(1, most_bytes=3000)
        self.assertLess(len(text), 6000)
        trace = traces.parse(text)
        self.assertEqual("truncated", trace.inputs[-1].name)
        dispatcher_player.play(trace)

    def test_each_service_gets_a_file(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        create = recording.record_to_files(adaptive.create, f"{folder.name}/t")
        dispatcher = create(
            SERVICE, server_states(2), "d1", "zone-c", 7, 100.0, lambda _: False
        )
        dispatcher.submit(types.Call(1, True, 105.0), 100.0)
        dispatcher.recording.close()
        text = pathlib.Path(folder.name, "t.desk.jsonl").read_text()
        self.assertEqual("submit", traces.parse(text).inputs[-1].name)
