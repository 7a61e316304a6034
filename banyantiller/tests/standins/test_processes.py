"""Tests of child processes of demonstrations and of the soak."""

import asyncio
import pathlib
import signal
import subprocess
import tempfile
from unittest import mock

from banyantiller.tests import base
from standins import processes


class ProcessesTest(base.TestCase):
    def test_signal_does_not_collect_the_exit_status_of_an_ending_process(self):
        async def body(folder):
            children = processes.Children(folder)
            child = await children.start("one", "sleep", "60", read=False)
            child.signal(signal.SIGKILL)
            collects = AssertionError("collects the exit status")
            with mock.patch.object(
                subprocess.Popen, "poll", autospec=True
            ) as poll:
                poll.side_effect = collects
                child.signal(signal.SIGCONT)
            return await child.process.wait(), child.signal(signal.SIGCONT)

        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(body(pathlib.Path(folder)))
        self.assertEqual((-signal.SIGKILL, False), result)
