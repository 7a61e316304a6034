"""Whole daemons record what their replicas get; it can be replayed."""

import asyncio
import errno
import json
import pathlib
import tempfile

from banyantiller import exceptions
from banyantiller.kernel import events
from banyantiller.replay import (
    player,
    recording,
    replica_inputs,
    replica_recording,
    traces,
)
from banyantiller.replica import state
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.daemon import test_whole_path as whole


class ReplicaRecordingTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/trace"
        self.file = pathlib.Path(f"{self.path}.replica.jsonl")

    async def add(self, fleet, in_force):
        """Starts a daemon that records, and notes what is in force there."""
        settings = whole.settings(2, trace_file=self.path)
        daemon = await fleet.add(settings)
        in_force.append([])
        daemon.kernel.subscribe(
            events.BundleInForce,
            lambda event: in_force[-1].append((event.version, event.digest)),
        )
        await asyncio.sleep(whole.SETTLED_S)
        return daemon

    async def end(self, fleet, daemon):
        fleet.daemons.remove(daemon)
        for driver in daemon.proxy.drivers.values():
            driver.dispatcher.recording.close()
        await daemon.stop()
        daemon.replicator.replica.recording.close()

    async def roll(self, fleet, version):
        text = samples.BUNDLE.replace("/archive", f"/archive-{version}")
        digest = await samples.prepare(fleet.stores[0], text)
        await samples.roll(fleet.stores[0], digest)
        await asyncio.sleep(whole.SETTLED_S)

    async def use(self):
        """Rolls bundles; the daemon restarts, and lacks the store once."""
        in_force = []
        fleet = whole.Fleet()
        await fleet.start(1)
        daemon = await self.add(fleet, in_force)
        await self.roll(fleet, 2)
        fleet.stores[-1].faults.down = True
        await self.roll(fleet, 3)
        await self.end(fleet, daemon)
        await self.roll(fleet, 4)
        daemon = await self.add(fleet, in_force)
        await self.roll(fleet, 5)
        await self.end(fleet, daemon)
        await fleet.stop()
        return in_force

    def test_replay_puts_the_daemons_bundles_in_force_in_order(self):
        in_force = self.run_paused(self.use())
        versions = [[version for version, _ in life] for life in in_force]
        self.assertEqual([[1, 2, 3], [4, 5]], versions)
        text = self.file.read_text()
        inputs = [
            traces.typed(line, replica_inputs.INPUTS)
            for line in traces.parse(text).inputs
        ]
        recorded = [
            (item.version, item.digest)
            for item in inputs
            if isinstance(item, replica_inputs.Advance) and item.version
        ]
        self.assertEqual([*in_force[0], *in_force[1]], recorded)
        given = [x for x in inputs if isinstance(x, replica_inputs.Given)]
        self.assertIn("peer", {item.source for item in given})
        self.assertEqual(1, inputs.count(replica_inputs.Restart("d2")))
        more = (
            '{"expect": "holds", "daemon": "d2", "version": 5}\n'
            '{"expect": "never_goes_down"}\n'
        )
        self.assertEqual(
            [""] * 3, [x.problem for x in player.play(text + more)]
        )
        self.check_faults_are_found(text)

    def check_faults_are_found(self, text):
        """Changed code and changed recordings do not replay."""
        lines = text.splitlines(keepends=True)
        last = [
            n
            for n, x in enumerate(lines)
            if '"digest"' in x and '"advance"' in x
        ][-1]
        row = json.loads(lines[last])
        row["advance"]["version"] = 4
        changed = [*lines[:last], json.dumps(row) + "\n"]
        parts = [x for x in lines if '"part"' not in x]
        restart = next(x for x in lines if '"restart"' in x)
        at = json.loads(lines[last])["t"]
        fresh = json.dumps({**json.loads(restart), "t": at}) + "\n"
        restarted = [*lines[:last], fresh, *lines[last:]]
        for wrong in (changed, parts, restarted):
            (result,) = player.play("".join(wrong))
            self.assertNotEqual("", result.problem)
        self.patch(state.Replica, "add_part", lambda *_: False)
        (result,) = player.play(text)
        self.assertNotEqual("", result.problem)

    def create(self, **options):
        settings = whole.settings(2, trace_file=self.path)
        return replica_recording.create(settings, lambda: 7.0, **options)

    def test_a_recording_is_bounded_over_restarts_and_says_so(self):
        for _ in range(3):
            replica = self.create(most_bytes=4000)
            for number in range(100):
                replica.add_part(b"part %d" % number, cache_unneeded=True)
            replica.recording.close()
        text = self.file.read_text()
        self.assertTrue(len(text) < 4100)
        self.assertIn('"truncated"', text)
        self.assertEqual("", player.play(text)[0].problem)

    def test_a_killed_daemons_broken_line_is_dropped(self):
        replica = self.create()
        replica.add_part(b"\xff\x00 not text", cache_unneeded=True)
        replica.recording.write('{"t": 8, "part')
        replica.recording.close()
        self.create().recording.close()
        lines = traces.parse(self.file.read_text()).inputs
        part, restart = [
            traces.typed(line, replica_inputs.INPUTS) for line in lines
        ]
        self.assertEqual(
            b"\xff\x00 not text", replica_inputs.to_bytes(part.data)
        )
        self.assertEqual(replica_inputs.Restart("d2"), restart)

    def test_a_file_of_something_else_is_begun_anew(self):
        for before in ("", "no trace\n", '{"trace": 1}\n', "[1]\n"):
            self.file.write_text(before)
            self.create().recording.close()
            trace = traces.parse(self.file.read_text())
            self.assertEqual(("replica", ()), (trace.core, trace.inputs))

    def test_an_unwritable_file_is_a_settings_error(self):
        self.path = f"{self.path}/missing/folder"
        self.assertRaises(exceptions.ConfigError, self.create)

    def test_a_full_disk_ends_the_recording_only(self):
        replica = self.create()

        def write(_):
            raise OSError(errno.ENOSPC, "No space left on device")

        replica.recording.write = write
        for _ in range(2):
            replica.add_part(b"part", cache_unneeded=True)
        self.assertEqual(1, len(replica.cached_parts))
        self.assertTrue(replica.recording.is_full)
        replica.recording.close()

    def test_damaged_lines_are_no_traces(self):
        self.create().recording.close()
        head = self.file.read_text()
        for name, fields in (
            ("given", {"accepted": "{}", "source": "peer", "wall": 1}),
            ("part", {"data": "\ud800"}),
            ("advance", {"floor": "one"}),
        ):
            row = {"t": 1, name: {"daemon": "d2", **fields}}
            text = head + json.dumps(row) + "\n"
            self.assertRaises(traces.TraceError, player.play, text)

    def test_the_bound_is_that_of_the_player(self):
        self.assertTrue(recording.MOST_BYTES < player.MOST_BYTES)
