"""Tests that the daemon does not load what only the command line needs."""

import subprocess
import sys

from banyantiller.tests.base import TestCase

PROGRAM = """
import sys
import banyantiller.daemon.run
print(*sys.modules)
"""
ONLY_FOR_COMMANDS = ("defopt", "docutils", "banyantiller.commands")


class ImportsTest(TestCase):
    def test_daemon_loads_nothing_of_the_command_line(self):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            check=True,
            capture_output=True,
            text=True,
        )
        loaded = done.stdout.split()
        self.assertIn("banyantiller.config.settings", loaded)
        found = [name for name in loaded if name in ONLY_FOR_COMMANDS]
        self.assertEqual([], found)
