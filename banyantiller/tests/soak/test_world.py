"""Tests of the processes of a soak."""

import asyncio
import pathlib
import tempfile

from banyantiller.tests import base
from soak import gateways, plan, world


class WorldTest(base.TestCase):
    def test_overlapping_steps_start_one_process_of_a_daemon(self):
        started = []

        async def start(name, *command, **more):
            started.append(name)
            await asyncio.sleep(0.1)

        async def body(folder):
            played = world.World(folder, plan.Sizes())
            self.patch(played.children, "start", start)
            self.patch(played, "write_settings", lambda daemon: folder)
            self.patch(played, "_watch", lambda daemon: asyncio.sleep(0))
            daemon = gateways.Daemon(0, [1, 2, 3])
            await asyncio.gather(
                played.start_daemon(daemon), played.start_daemon(daemon)
            )

        with tempfile.TemporaryDirectory() as folder:
            self.run_paused(body(pathlib.Path(folder)))
        self.assertEqual(["gateway-0-1"], started)
