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
MOST_LINES = 40


class ExamplesTest(TestCase):
    def load(self, name: str) -> dict:
        return runpy.run_path(str(FOLDER / f"{name}.py"))

    def output(self, name: str) -> list[str]:
        """Runs `main` of an example on the paused clock."""
        main = self.load(name)["main"]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            if asyncio.iscoroutinefunction(main):
                self.run_paused(main())
            else:
                main()
        lines = out.getvalue().splitlines()
        return [line for line in lines if "membership: " not in line]

    def test_all_are_short(self):
        paths = sorted(FOLDER.glob("*.py"))
        self.assertEqual(5, len(paths))
        for path in paths:
            self.assertLess(len(path.read_text().splitlines()), MOST_LINES)

    def test_membership(self):
        told, alive = self.output("membership")
        self.assertIn("second ServersLeaving(service='desk'", told)
        self.assertEqual("alive: ['first', 'second']", alive)

    def test_claims(self):
        self.assertEqual(
            ["paid now", "paid before, answer b'paid'"], self.output("claims")
        )

    def test_budget(self):
        (line,) = self.output("budget")
        sent = int(line.split(":")[1])
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, 30 * 4)

    def test_routing(self):
        lines = self.output("routing")
        *started, waiting, relayed, then = lines
        self.assertGreaterEqual(len(started), 2)
        number = len(started) + 1
        self.assertIn("Start(call_id=1, attempt_id=1,", started[0])
        self.assertIn("waits", waiting)
        self.assertIn("Relay(call_id=1,", relayed)
        self.assertIn(f"Start(call_id={number},", then)

    def test_replica(self):
        async def body():
            store = memory.MemoryStore()
            shown = []
            chosen = support.settings(0)
            following = asyncio.create_task(
                self.load("replica")["follow"](chosen, store, shown.append)
            )
            digest = await samples.prepare(store, support.bundle_text(1))
            await samples.roll(store, digest)
            await asyncio.sleep(5)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
            return [held.version for held in shown]

        self.assertEqual([1], self.run_paused(body()))
