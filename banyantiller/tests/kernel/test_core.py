"""Tests of the kernel's tasks and events."""

import asyncio
import itertools

from banyantiller.kernel import core, events
from banyantiller.tests import base


class KernelTest(base.TestCase):
    def test_failing_task_is_restarted_with_back_off(self) -> None:
        starts: list[float] = []

        async def body() -> None:
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise OSError("refused")

        async def scenario() -> None:
            kernel = core.Kernel(seed=1)
            kernel.start("reader", body)
            await kernel.tasks["reader"]
            self.assertEqual(2, kernel.failures["reader"])

        self.run_paused(scenario())
        self.assertEqual(3, len(starts))
        self.assertTrue(starts[2] - starts[1] > starts[1] - starts[0])

    def test_stop_cancels_and_removes_tasks(self) -> None:
        async def scenario() -> None:
            kernel = core.Kernel()
            kernel.start("sleeper", lambda: asyncio.sleep(1000))
            await kernel.stop()
            await asyncio.sleep(0)
            self.assertEqual({}, kernel.tasks)

        self.run_paused(scenario())

    def test_running_tasks_have_unique_names(self) -> None:
        async def scenario() -> None:
            kernel = core.Kernel()
            kernel.start("reader", lambda: asyncio.sleep(1000))
            with self.assertRaises(ValueError):
                kernel.start("reader", lambda: asyncio.sleep(1000))
            await kernel.stop(["reader", "unknown"])
            kernel.start("reader", lambda: asyncio.sleep(0))
            await kernel.tasks["reader"]

        self.run_paused(scenario())

    def test_restart_delay_is_bounded(self) -> None:
        starts: list[float] = []

        async def body() -> None:
            starts.append(asyncio.get_running_loop().time())
            raise OSError("refused")

        async def scenario() -> None:
            kernel = core.Kernel(seed=1)
            kernel.start("reader", body)
            await asyncio.sleep(100)
            await kernel.stop()

        self.run_paused(scenario())
        delays = [b - a for a, b in itertools.pairwise(starts)]
        self.assertLessEqual(max(delays), core.MAX_RESTART_DELAY_S + 1e-6)
        self.assertGreater(max(delays), core.MAX_RESTART_DELAY_S / 2)

    def test_failing_handler_does_not_stop_the_others(self) -> None:
        received: list[events.DaemonDraining] = []
        kernel = core.Kernel()

        def failing(event: events.DaemonDraining) -> None:
            raise ValueError("broken handler")

        kernel.subscribe(events.DaemonDraining, failing)
        kernel.subscribe(events.DaemonDraining, received.append)
        kernel.emit(events.DaemonDraining(1.0))
        self.assertEqual([events.DaemonDraining(1.0)], received)
