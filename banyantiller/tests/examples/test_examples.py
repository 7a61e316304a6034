"""Runs each example and checks what it prints."""

import asyncio
import contextlib
import io
import pathlib
import runpy

from banyantiller.store import memory
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples
from banyantiller.tests.replica import support

FOLDER = pathlib.Path(__file__).parents[3] / "examples"
LINE_LIMIT = 40


class ExamplesTest(TestCase):
    def load_example(self, name: str) -> dict:
        return runpy.run_path(str(FOLDER / f"{name}.py"))

    def run_example(self, name: str) -> list[str]:
        """Runs `main` of an example on the paused clock; returns its output."""
        main = self.load_example(name)["main"]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            if asyncio.iscoroutinefunction(main):
                self.run_paused(main())
            else:
                main()
        lines = out.getvalue().splitlines()
        return [line for line in lines if "membership: " not in line]

    def test_all_examples_are_short(self):
        paths = sorted(FOLDER.glob("*.py"))
        self.assertEqual(5, len(paths))
        for path in paths:
            self.assertLess(len(path.read_text().splitlines()), LINE_LIMIT)

    def test_membership(self):
        received, alive = self.run_example("membership")
        self.assertIn("second ServersLeaving(service='desk'", received)
        self.assertEqual("alive: ['first', 'second']", alive)

    def test_claims(self):
        self.assertEqual(
            ["paid now", "paid before, response b'paid'"],
            self.run_example("claims"),
        )

    def test_budget(self):
        (line,) = self.run_example("budget")
        sent = int(line.split(":")[1])
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, 30 * 4)

    def test_routing(self):
        lines = self.run_example("routing")
        *started, waiting, relayed, next_start = lines
        self.assertGreaterEqual(len(started), 2)
        number = len(started) + 1
        self.assertIn("Start(call_id=1, attempt_id=1,", started[0])
        self.assertIn("waits", waiting)
        self.assertIn("Relay(call_id=1,", relayed)
        self.assertIn(f"Start(call_id={number},", next_start)

    def test_replica(self):
        async def body():
            store = memory.MemoryStore()
            bundles = []
            options = support.settings(0)
            task = asyncio.create_task(
                self.load_example("replica")["follow"](
                    options, store, bundles.append
                )
            )
            digest = await samples.prepare(store, support.bundle_text(1))
            await samples.roll(store, digest)
            await asyncio.sleep(5)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return [bundle.version for bundle in bundles]

        self.assertEqual([1], self.run_paused(body()))
