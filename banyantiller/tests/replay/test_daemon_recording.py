"""A whole daemon records what its dispatcher gets; it can be replayed."""

import asyncio
import pathlib
import tempfile

from banyantiller.replay import player, traces
from banyantiller.tests.base import TestCase
from banyantiller.tests.daemon import test_whole_path as whole

EXPECTED = """\
{"expect": "same_servers"}
{"expect": "every_call_ends_once"}
{"expect": "answered_share", "percent": 100}
"""


class DaemonRecordingTest(TestCase):
    async def use(self, path):
        fleet = whole.Fleet()
        await fleet.start(0)
        settings = whole.settings(1, trace_file=path)
        daemon = await fleet.add(settings)
        await asyncio.sleep(whole.SETTLED_S)
        calls = [
            whole.send(8001, "GET", f"/orders/{number}") for number in range(9)
        ]
        await asyncio.gather(*calls)
        fleet.service_s = 0.2
        calls = [
            whole.send(8001, "GET", f"/orders/{number}") for number in range(12)
        ]
        await asyncio.gather(*calls)
        for driver in daemon.proxy.drivers.values():
            driver.dispatcher.recording.close()
        await fleet.stop()
        daemon.replicator.replica.recording.close()

    def test_replay_decides_as_the_daemon(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.run_paused(self.use(f"{folder.name}/trace"))
        files = sorted(pathlib.Path(folder.name).iterdir())
        self.assertEqual(
            [
                "trace.archive.jsonl",
                "trace.desk.jsonl",
                "trace.replica.jsonl",
            ],
            [file.name for file in files],
        )
        text = files[1].read_text()
        names = [line.name for line in traces.parse(text).inputs]
        self.assertEqual(21, names.count("submit"))
        for result in player.play(text + EXPECTED):
            self.assertEqual("", result.problem, result.name)
