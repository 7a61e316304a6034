"""Tests of the gateway as a process of its own."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile

from banyantiller.http import client, outcomes
from banyantiller.tests import base
from soak import gateways, plan
from soak import world as worlds

SIZES = plan.Sizes(daemons=1, servers=1, callers=0)
# Longest wait for an answer, on a busy machine.
LONGEST_S = 30.0
LOADS_NO_TLS = """
import sys
from banyantiller.gateway import tls_imports
tls_imports.block_tls()
import banyantiller.gateway.run, banyantiller.platform.plugin
assert "_ssl" not in sys.modules
tls_imports.allow_tls()
import banyantiller.gateway.metrics
assert "_ssl" in sys.modules
"""
HUNG_UP_WHILE_LOADING = """
import os, runpy, signal, sys, types
import banyantiller.gateway
run = types.ModuleType("banyantiller.gateway.run")
run.run = lambda arguments, listener: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules[run.__name__] = banyantiller.gateway.run = run
runpy.run_module("banyantiller.gateway", run_name="__main__")
"""


class ProgramTest(base.TestCase):
    def test_metrics_are_served(self):
        async def body():
            with tempfile.TemporaryDirectory() as folder:
                ports = gateways.Ports.take(1)
                self.addCleanup(ports.give_back)
                (port,) = ports.numbers
                settings = {"metrics_port": port}
                world = worlds.World(pathlib.Path(folder), SIZES, settings)
                try:
                    await world.start()
                    user = client.HttpClient("127.0.0.1", port)
                    found = await user.request("GET", "/metrics", LONGEST_S)
                    await user.close()
                    return found
                finally:
                    await world.close()

        found = asyncio.run(body())
        self.assertIsInstance(found, outcomes.Answered)
        self.assertEqual(200, found.response.status)
        self.assertIn(b"banyantiller_gateway_ready 1.0", found.body)

    def test_no_tls_library_is_loaded_until_metrics_are(self):
        done = subprocess.run([sys.executable, "-c", LOADS_NO_TLS], check=False)
        self.assertEqual(0, done.returncode)

    def test_hangup_before_its_handler_is_set_up_does_not_end_it(self):
        code = HUNG_UP_WHILE_LOADING
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(0, done.returncode)
