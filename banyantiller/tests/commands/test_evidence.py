"""Tests of the commands held, audit, gone and report."""

import asyncio
import contextlib
import io
import json
import os
import tempfile
from typing import Any
from unittest import mock

from banyantiller.commands import cli, context, times
from banyantiller.evidence import audit
from banyantiller.store import interface, memory, table
from banyantiller.tests import base
from banyantiller.tests.evidence import samples

SETTINGS = """\
deployment: fleet
operator: awa
object_api:
  endpoint: {address: 127.0.0.1, port: 1}
"""
LIFE_S = 100.0


class EvidenceCase(base.TestCase):
    """Runs commands after two daemons have lived for 100 s."""

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.settings = self.path("operator.yaml")
        with open(self.settings, "w") as file:
            file.write(SETTINGS)
        self.table = table.ObjectTable()
        self.store = memory.MemoryStore(self.table)
        self.now = samples.EPOCH + 150

    def path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def live(self, cut: str = "", die: bool = False) -> None:
        async def scenario() -> None:
            first = samples.DaemonParts(self.table)
            second = samples.DaemonParts(self.table, "b2")
            for parts in (first, second):
                parts.start()
                parts.bundle(1, samples.EPOCH)
            await audit.append(
                self.store, "fleet", "roll", "awa", {"version": 1}, first.wall
            )
            await asyncio.sleep(50)
            first.kernel.emit(samples.call())
            if cut:
                first.kernel.emit(samples.call(cut, cut=True))
            await asyncio.sleep(LIFE_S - 50)
            await first.shut_down()
            await (second.crash() if die else second.shut_down())

        self.run_paused(scenario())

    def run_cli(self, *argv: str) -> tuple[int, str]:
        out = io.StringIO()
        surroundings = context.Surroundings(
            lambda options, deployment: self.store,
            lambda: self.now,
            base.run_paused,
        )
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            status = cli.run([*argv, "--settings", self.settings], surroundings)
        return status, out.getvalue()

    def data(self, *argv: str) -> tuple[int, Any]:
        status, text = self.run_cli(*argv, "--json")
        return status, json.loads(text)


class HeldTest(EvidenceCase):
    def test_everything_held(self) -> None:
        self.live()
        status, found = self.data("held")
        self.assertEqual(0, status)
        self.assertEqual(7, len(found["promises"]))
        self.assertEqual({"held"}, {p["answer"] for p in found["promises"]})
        self.assertEqual(["b1", "b2"], [d["daemon"] for d in found["daemons"]])
        self.assertTrue(found["audit"]["intact"])

    def test_text_names_the_request_of_a_breach(self) -> None:
        self.live(cut="request-7")
        status, text = self.run_cli("held")
        self.assertEqual(9, status)
        self.assertIn("whole_own_answer       broken", text)
        self.assertIn("request-7 at", text)

    def test_daemon_that_died_is_named_with_the_time(self) -> None:
        self.live(die=True)
        status, text = self.run_cli("held", "--since", "120s", "--until", "51s")
        self.assertEqual(10, status)
        self.assertRegex(text, r"not known:\n  b2 \S+ to \S+: No summary")
        self.assertEqual(1, text.count("the daemon crashed or can't write"))

    def test_statement_that_a_daemon_is_gone(self) -> None:
        self.live(die=True)
        self.assertEqual(0, self.run_cli("gone", "b2", "--at", "55s")[0])
        status, _ = self.data("held", "--since", "54s", "--until", "51s")
        self.assertEqual(0, status)
        status, _ = self.data("held", "--since", "60s", "--until", "56s")
        self.assertEqual(10, status)

    def test_statement_about_now_and_about_the_future(self) -> None:
        self.now += 0.0006
        self.assertEqual(0, self.run_cli("gone", "b2")[0])
        status, text = self.run_cli("gone", "b2", "--at", "2100-01-01")
        self.assertEqual(2, status)
        self.assertIn("in the future", text)

    def test_false_statement_that_a_daemon_is_gone(self) -> None:
        """The daemon reported after the stated time, so it counts nothing."""
        self.live(die=True)
        self.assertEqual(0, self.run_cli("gone", "b2", "--at", "140s")[0])
        status, _ = self.data("held", "--since", "54s", "--until", "51s")
        self.assertEqual(10, status)

    def test_without_evidence_nothing_is_claimed(self) -> None:
        status, found = self.data("held")
        self.assertEqual(10, status)
        self.assertEqual(
            {"not known"}, {p["answer"] for p in found["promises"]}
        )

    def test_living_daemons_are_given_time_to_report(self) -> None:
        self.live(die=True)
        self.now = samples.EPOCH + LIFE_S
        status, found = self.data("held")
        self.assertEqual(0, status)
        self.assertEqual(
            times.text_of(round((samples.EPOCH + 75.5) * 1000)), found["to"]
        )

    def test_bundle_accepted_at_the_end_of_the_period(self) -> None:
        """What is known after the period tells whether it came in time."""
        self.live()
        last = ("--since", "150s", "--until", "149s")
        status, found = self.data("held", *last)
        self.assertEqual(0, status, found["promises"][-1])

    def test_fleet_that_has_just_started(self) -> None:
        self.live(die=True)
        self.now = samples.EPOCH + 5
        status, text = self.run_cli("held")
        self.assertEqual(1, status)
        self.assertIn("had time to report", text)

    def test_bad_times(self) -> None:
        for argv in (
            ("--since", "yesterday"),
            ("--every", "0m"),
            ("--since", "1m", "--until", "2m"),
        ):
            status, text = self.run_cli("held", *argv)
            self.assertEqual(2, status, text)

    def test_store_down(self) -> None:
        self.store.faults.down = True
        for argv in (("held",), ("audit",), ("gone", "b2")):
            self.assertEqual(5, self.run_cli(*argv)[0])

    def test_statement_whose_answer_is_lost(self) -> None:
        create = self.store.create

        async def last_create(*args: Any) -> interface.CreateOutcome:
            await create(*args)
            self.store.faults.down = True
            return interface.Unknown("the answer was lost")

        with mock.patch.object(self.store, "create", last_create):
            status, text = self.run_cli("gone", "b2")
        self.assertEqual(7, status)
        self.assertIn("not known whether the statement was written", text)


class AuditTest(EvidenceCase):
    def test_entries_and_end(self) -> None:
        self.live()
        status, text = self.run_cli("audit")
        self.assertEqual(0, status)
        self.assertIn("awa  roll  version=1", text)
        self.assertIn("intact, 1 entries, ends at 1:", text)

    def test_end_from_an_earlier_check(self) -> None:
        self.live()
        tip = self.data("audit")[1]["tip"]
        end = f"{tip['sequence']}:{tip['digest']}"
        self.assertEqual(0, self.run_cli("audit", "--expect", end)[0])
        status, found = self.data("audit", "--expect", f"2:{tip['digest']}")
        self.assertEqual(9, status)
        self.assertEqual("truncated", found["problems"][0]["damage"])
        self.assertEqual(2, self.run_cli("audit", "--expect", "1")[0])

    def test_removed_trail_is_found_by_the_daemons_evidence(self) -> None:
        self.live()
        for kind in ("auditentries", "audittips"):
            for item in self.table.list(kind).items:
                self.table.delete(item)
        status, text = self.run_cli("audit")
        self.assertEqual(9, status)
        self.assertIn("truncated", text)


class ReportTest(EvidenceCase):
    def test_one_file_that_needs_nothing_else(self) -> None:
        self.live(cut="<request>")
        status, _ = self.run_cli("report", "--output-file", self.path("r.html"))
        self.assertEqual(9, status)
        with open(self.path("r.html"), encoding="utf-8") as file:
            page = file.read()
        self.assertEqual(5, page.count("data:image/svg+xml;base64,"))
        self.assertIn("&lt;request&gt;", page)
        self.assertNotIn("<request>", page)
        for outside in ("http://", "https://", 'src="/', "<script", "<link"):
            self.assertNotIn(outside, page)

    def test_missing_library_is_named(self) -> None:
        with mock.patch.dict("sys.modules", {"matplotlib": None}):
            status, text = self.run_cli(
                "report", "--output-file", self.path("r.html")
            )
        self.assertEqual(6, status)
        self.assertIn("banyantiller[report]", text)

    def test_file_that_cannot_be_written(self) -> None:
        self.live()
        status, text = self.run_cli(
            "report", "--output-file", self.path("none/r.html")
        )
        self.assertEqual(1, status)
        self.assertIn("can't be written", text)
