"""Tests of the gateway as a separate process."""

import asyncio
import os
import pathlib
import re
import subprocess
import sys
import sysconfig
import tempfile

from banyantiller.http import client, outcomes
from banyantiller.tests import base
from soak import gateways, plan
from soak import world as worlds

SIZES = plan.Sizes(daemons=1, servers=1, callers=0)
REPOSITORY = pathlib.Path(__file__).parents[3]
DEPLOYED_REQUIREMENTS = REPOSITORY / "deploy" / "requirements.txt"
# Maximum wait for a response, on a busy machine.
MAX_WAIT_S = 30.0
CHECK_TLS_IMPORTS = """
import sys
from banyantiller.gateway import tls_imports
tls_imports.block_tls()
import banyantiller.gateway.run, banyantiller.platform.plugin
assert "_ssl" not in sys.modules
tls_imports.allow_tls()
import banyantiller.gateway.metrics
assert "_ssl" in sys.modules
"""
LIST_DISTRIBUTIONS = """
import importlib.metadata, sys
import banyantiller.gateway.run, banyantiller.platform.plugin
import banyantiller.gateway.metrics
names = importlib.metadata.packages_distributions()
for module in set(name.partition(".")[0] for name in sys.modules):
    print(*names.get(module, ()), sep="\\n")
"""
SIGHUP_WHILE_LOADING = """
import os, runpy, signal, sys, types
import banyantiller.gateway
run = types.ModuleType("banyantiller.gateway.run")
run.run = lambda arguments, listener: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules[run.__name__] = banyantiller.gateway.run = run
runpy.run_module("banyantiller.gateway", run_name="__main__")
"""
# Sends SIGHUP whenever a module of the program is imported.
SIGHUP_AT_EACH_IMPORT = """
import os, runpy, signal, sys, types
import {package}
run = types.ModuleType("{package}.run")
run.run = lambda *arguments: 0
sys.modules[run.__name__] = {package}.run = run

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("banyantiller.") and "__main__" not in name:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module("{package}", run_name="__main__")
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
                    http_client = client.HttpClient("127.0.0.1", port)
                    found = await http_client.request(
                        "GET", "/metrics", MAX_WAIT_S
                    )
                    await http_client.close()
                    return found
                finally:
                    await world.close()

        found = asyncio.run(body())
        self.assertIsInstance(found, outcomes.Answered)
        self.assertEqual(200, found.response.status)
        self.assertIn(b"banyantiller_gateway_ready 1.0", found.body)

    def test_tls_library_is_not_loaded_before_the_metrics(self):
        process = subprocess.run(
            [sys.executable, "-c", CHECK_TLS_IMPORTS], check=False
        )
        self.assertEqual(0, process.returncode)

    def test_deployed_requirements_suffice_for_the_metrics(self):
        # Without the site module, whose hooks import further distributions.
        paths = [str(REPOSITORY), sysconfig.get_path("purelib")]
        output = subprocess.run(
            [sys.executable, "-S", "-c", LIST_DISTRIBUTIONS],
            check=True,
            capture_output=True,
            env={"PYTHONPATH": os.pathsep.join(paths)},
            text=True,
        ).stdout
        used = {normalize(name) for name in output.split()}
        lines = DEPLOYED_REQUIREMENTS.read_text().split()
        deployed = {normalize(line.partition("==")[0]) for line in lines}
        self.assertIn("opentelemetry-sdk", used)
        self.assertEqual(set(), used - deployed - {"banyantiller"})

    def test_sighup_before_its_handler_is_installed_is_ignored(self):
        code = SIGHUP_WHILE_LOADING
        process = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(0, process.returncode)

    def test_sighup_at_any_import_of_a_program_does_not_end_it(self):
        """Guards against a daemon that a reload ends while it starts."""
        for package in ("banyantiller.gateway", "banyantiller.daemon"):
            code = SIGHUP_AT_EACH_IMPORT.format(package=package)
            process = subprocess.run([sys.executable, "-c", code], check=False)
            self.assertEqual(0, process.returncode, package)


def normalize(distribution):
    """Returns the name of a distribution as package indexes compare it."""
    return re.sub(r"[-_.]+", "-", distribution).lower()
