"""Tests of what `bench.fleet` reads and works out."""

import json
import pathlib
import tempfile
import types

from banyantiller.tests.base import TestCase
from bench import fleet, fleet_processes, fleet_world


def line(version: int, level: str = "info") -> str:
    return json.dumps(
        {
            "version": version,
            "event": "replica: bundle in force.",
            "level": level,
            "timestamp": f"2026-12-02T18:00:0{version}.5Z",
        }
    )


class FleetBenchTest(TestCase):
    def daemon(self, folder: str) -> fleet_processes.DaemonProcess:
        daemon = fleet_processes.DaemonProcess("d1", "", 1)
        daemon.offset = 0
        daemon.child = types.SimpleNamespace(log=pathlib.Path(folder) / "log")
        return daemon

    def test_a_revert_and_an_error_are_seen_in_the_log(self):
        with tempfile.TemporaryDirectory() as folder:
            daemon = self.daemon(folder)
            world = fleet_world.World(pathlib.Path(folder), 1, 1)
            world.daemons = [daemon]
            half = line(3)
            daemon.child.log.write_text(f"{line(1)}\n{line(2)}\n{half[:20]}")
            self.assertEqual(0, world.reverted())
            with daemon.child.log.open("a") as log:
                log.write(f"{half[20:]}\n{line(2, 'error')}\n")
            self.assertEqual(1, world.reverted())
            self.assertEqual(1, daemon.errors)
            self.assertEqual([1, 2, 3, 2], [x.version for x in daemon.history])
            since = daemon.history[2].at
            self.assertEqual(since, daemon.version_here(2, since))
            self.assertIsNone(daemon.version_here(4))

    def test_costs_at_the_stated_rate(self):
        idle = fleet.Spent(1.0, 2.0, 0.5, 0.5, 3.0)
        rolling = fleet.Spent(2.0, 3.0, 4.5, 1.5, 13.0)
        found = fleet.cost(idle, rolling, rolls_per_s=1.0)
        share = fleet.CHANGES_A_DAY / fleet.DAY_S
        self.assertAlmostEqual(1 + share, found["control_core_percent"], 3)
        self.assertAlmostEqual(1 + 5 * share, found["control_kb_per_s"], 3)
        self.assertEqual(6.0, found["control_kb_per_s_rolling"])
        self.assertEqual(3.0, found["object_api_calls_per_s_idle"])
