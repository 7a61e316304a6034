"""Tests of the command line end to end, over an object store in memory."""

import contextlib
import io
import json
import os
import stat
import tempfile
from typing import Any, NamedTuple

from banyantiller.bundle import reading
from banyantiller.commands import cli, context
from banyantiller.evidence import audit
from banyantiller.store import interface
from banyantiller.store.memory import MemoryStore
from banyantiller.store.table import ObjectTable
from banyantiller.tests import base
from banyantiller.tests.bundle import samples

NOW = samples.NOW
STATUS = {"daemon": "one", "zone": "zone-1", "incarnation": 1, "at": NOW}


class Result(NamedTuple):
    """What a command printed and returned."""

    status: int
    out: str
    err: str

    def data(self) -> Any:
        return json.loads(self.out)


class CliTestCase(base.TestCase):
    """Runs commands in a directory of their own with keys of operators."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.store = MemoryStore(ObjectTable())
        self.write("b.yaml", samples.BUNDLE)
        self.write("c.yaml", samples.BUNDLE.replace("9002", "9009"))
        trusted = "\n".join(
            f'  - {{name: {key.name}, public_key: "{key.public_key}"}}'
            for key in samples.TRUSTED
        )
        for name, pair in samples.KEYS.items():
            key = self.write(f"{name}.key", pair.private)
            os.chmod(key, 0o600)
            self.write(
                f"{name}.yaml",
                f"deployment: {samples.DEPLOYMENT}\noperator: {name}\n"
                f"key_file: {key}\nobject_api:\n"
                "  endpoint: {address: 127.0.0.1, port: 1}\n"
                f"trusted_keys:\n{trusted}\n",
            )

    def path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def write(self, name: str, text: str) -> str:
        with open(self.path(name), "w") as file:
            file.write(text)
        return self.path(name)

    def run_cli(self, *argv: str, by: str = "") -> Result:
        settings = ["--settings", self.path(f"{by}.yaml")] if by else []
        out, err = io.StringIO(), io.StringIO()
        surroundings = context.Surroundings(
            lambda options, deployment: self.store,
            lambda: NOW,
            base.run_paused,
        )
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            status = cli.run([*argv, *settings], surroundings)
        return Result(status, out.getvalue(), err.getvalue())

    def do(self, *argv: str, by: str = "") -> Any:
        result = self.run_cli(*argv, "--json", by=by)
        self.assertEqual(0, result.status, result)
        return result.data()

    def prepare(self, name: str) -> str:
        """Proposes and signs a bundle file."""
        digest = self.do("propose", self.path(name), by="ana")["digest"]
        self.do("sign", digest[:12], by="ben")
        return digest

    def put_status(self, daemon: str, **values: Any) -> None:
        value = {**STATUS, "daemon": daemon, **values}
        labels = {"deployment": samples.DEPLOYMENT}
        self.store.table.create("daemonstatuses", daemon, value, labels)


class WholePathTest(CliTestCase):
    def test_two_bundles_from_proposal_to_in_force(self):
        digest = self.do("propose", self.path("b.yaml"), by="ana")["digest"]
        (waiting,) = self.do("proposals", by="ben")
        self.assertEqual((digest, []), (waiting["digest"], waiting["signers"]))
        self.do("sign", digest[:8], by="ben")
        rolled = self.do("roll", digest, by="cy")
        self.assertEqual((1, digest), (rolled["version"], rolled["digest"]))
        self.assertEqual([], self.do("proposals", by="ben"))
        changed = self.do("propose", self.path("c.yaml"), by="ben")
        path = "services[desk].servers[desk-2].port"
        change = {
            "path": path,
            "kind": "changed",
            "before": 9002,
            "after": 9009,
        }
        self.assertEqual([change], changed["changes"])
        second = changed["digest"]
        args = ("compare", "accepted", second[:12])
        self.assertEqual([change], self.do(*args, by="ana"))
        self.do("sign", second, by="ana")
        self.assertEqual(2, self.do("roll", second, by="ana")["version"])
        shown = self.do("show", by="ana")
        self.assertEqual((2, digest), (shown["version"], shown["parent"]))
        self.assertEqual("ana", shown["roller"])
        self.assertEqual(1, self.do("show", "1", by="ana")["version"])
        files = self.do("compare", "2", self.path("c.yaml"), by="ana")
        self.assertEqual([], files)
        self.check_trail()

    def check_trail(self):
        report = base.run_paused(audit.verify(self.store, samples.DEPLOYMENT))
        self.assertTrue(report.intact)
        done = [(item["action"], item["operator"]) for item in report.entries]
        self.assertEqual(("propose", "ana"), done[0])
        self.assertEqual(("roll_result", "ana"), done[-1])
        self.assertEqual(8, len(done))

    def test_what_is_shown_can_be_proposed_again(self):
        digest = self.prepare("b.yaml")
        self.do("roll", digest, by="ana")
        shown = self.run_cli("show", by="ana")
        self.assertIn("# signed by ben", shown.out)
        self.assertIn("# rolled by ana at 2027-01-15", shown.out)
        again = self.write("again.yaml", shown.out)
        self.assertEqual([], self.do("compare", "1", again, by="ana"))

    def test_text_names_the_next_step(self):
        result = self.run_cli("propose", self.path("b.yaml"), by="ana")
        added = "+ services[desk]:\n+     name: desk\n+     servers:"
        self.assertIn(added, result.out)
        self.assertIn("banyantiller sign", result.out)
        digest = self.prepare("b.yaml")
        result = self.run_cli("roll", digest, by="ana")
        self.assertIn(f"Rolled version 1: {digest}", result.out)
        self.assertIn(
            "Nothing differs.",
            self.run_cli("compare", "accepted", "1", by="ana").out,
        )


class DamageTest(CliTestCase):
    def test_a_forged_head_is_told_and_can_be_replaced(self):
        self.do("roll", self.prepare("b.yaml"), by="ana")
        key = (reading.HEADS, samples.DEPLOYMENT)
        record = self.store.table.records[key]
        data = record.data.replace(b"First.", b"Forged")
        self.store.table.records[key] = record._replace(data=data)
        result = self.run_cli("show", by="ana")
        self.assertEqual(3, result.status)
        self.assertIn("Daemons refuse what the object API", result.err)
        self.assertIn("does not match the bundle", result.err)
        self.assertEqual(2, len(self.do("status", by="ana")["doubts"]))
        proposed = self.do("propose", self.path("c.yaml"), by="ana")
        self.assertIn("Daemons refuse", proposed["doubts"][0])
        self.do("sign", proposed["digest"], by="ben")
        rolled = self.do("roll", proposed["digest"], by="ana")
        self.assertEqual(2, rolled["version"])
        self.assertEqual(2, self.do("show", by="ana")["version"])

    def test_versions_stay_above_what_daemons_hold(self):
        self.put_status("one", bundle=7, digest="")
        proposed = self.do("propose", self.path("b.yaml"), by="ana")
        self.assertEqual(8, proposed["version"])


class ExitStatusTest(CliTestCase):
    def check(self, status: int, part: str, *argv: str, by: str = "") -> None:
        result = self.run_cli(*argv, by=by)
        self.assertEqual(status, result.status, result)
        self.assertIn(part, result.err)
        result = self.run_cli(*argv, "--json", by=by)
        self.assertEqual(status, result.status)
        self.assertEqual(status, result.data()["exit_code"])
        self.assertIn(part, result.data()["message"])

    def test_invalid_files(self):
        bad = self.write("bad.yaml", "services: [{name: A}]\nx: 1\n")
        result = self.run_cli("validate", bad, "--json")
        places = [(p["line"], p["path"]) for p in result.data()["problems"]]
        self.assertEqual(
            [
                (1, "services[0].servers"),
                (1, "services[0].name"),
                (2, "x"),
            ],
            places,
        )
        self.check(2, "bad.yaml:2:1: error: x: No option", "validate", bad)
        self.check(2, "cannot be read", "propose", self.path("no"), by="ana")
        self.assertEqual(2, self.run_cli("rol").status)
        self.assertEqual(0, self.run_cli("--help").status)

    def test_refused(self):
        digest = self.do("propose", self.path("b.yaml"), by="ana")["digest"]
        self.check(3, "also signed the bundle", "sign", digest, by="ana")
        self.check(3, "by a second operator", "roll", digest, by="ana")
        self.check(1, "There is no proposal", "roll", "0" * 64, by="ana")
        self.check(1, "No proposal of", "roll", "0" * 12, by="ana")
        self.check(1, "at least 6 digits", "roll", "0", by="ana")
        self.check(1, "No bundle was accepted", "show", by="ana")
        self.assertNotIn(
            (reading.HEADS, samples.DEPLOYMENT), self.store.table.records
        )

    def test_race_lost(self):
        one = self.prepare("b.yaml")
        other = self.prepare("c.yaml")
        self.do("roll", other, by="cy")
        self.check(4, "of 'cy' is in force", "roll", one, by="ana")

    def test_outage_and_lost_answer(self):
        digest = self.prepare("b.yaml")
        self.store.faults.down = True
        self.check(5, "Nothing was changed", "roll", digest, by="ana")
        self.check(5, "is down", "status", by="ana")
        self.store.faults.down = False
        create = self.store.create

        async def last_create(kind, *args):
            outcome = await create(kind, *args)
            if kind != reading.HEADS:
                return outcome
            self.store.faults.down = True
            return interface.Unknown("the answer was lost")

        self.patch(self.store, "create", last_create)
        result = self.run_cli("roll", digest, by="ana")
        self.assertEqual(7, result.status, result)
        self.assertIn("not known whether the write took effect", result.err)
        self.store.faults.down = False
        again = self.do("roll", digest, by="ana")
        self.assertIn("accepted before", again["note"])

    def test_key_file_that_others_may_read(self):
        os.chmod(self.path("ana.key"), 0o644)
        args = ("propose", self.path("b.yaml"))
        self.check(2, "Others may read", *args, by="ana")


class WaitTest(CliTestCase):
    def test_wait_shows_progress_by_daemon(self):
        digest = self.prepare("b.yaml")
        self.put_status("one", bundle=1, digest=digest)
        self.put_status("two", bundle=1, digest=digest)
        self.put_status("gone", bundle=0, digest="", at=NOW - 3600)
        args = ("roll", digest, "--wait", "--daemons", "2")
        result = self.run_cli(*args, by="ana")
        self.assertEqual(0, result.status, result)
        self.assertIn("2/2 one (zone-1): version 1", result.err)
        self.assertIn("2/2 two (zone-1): version 1", result.err)

    def test_wait_ends_and_names_who_is_behind(self):
        digest = self.prepare("b.yaml")
        self.put_status("one", bundle=1, digest=digest)
        self.put_status("two", bundle=0, digest="")
        result = self.run_cli("roll", digest, "--wait", by="ana")
        self.assertEqual(8, result.status)
        self.assertIn("after 60 s", result.err)
        self.assertIn("behind are two.", result.err)

    def test_wait_ends_when_too_few_daemons_speak(self):
        digest = self.prepare("b.yaml")
        self.put_status("one", bundle=1, digest=digest)
        args = ("roll", digest, "--wait", "--daemons", "2")
        result = self.run_cli(*args, by="ana")
        self.assertEqual(8, result.status)
        self.assertIn("1 of 2 daemons have it.", result.err)

    def test_status(self):
        digest = self.prepare("b.yaml")
        self.do("roll", digest, by="ana")
        self.put_status("one", bundle=1, digest=digest)
        self.put_status("two", bundle=0, digest="")
        self.put_status("gone", bundle=1, digest=digest, at=NOW - 3600)
        self.store.table.create(
            "daemonstatuses", "odd", {}, {"deployment": samples.DEPLOYMENT}
        )
        found = self.do("status", by="ana")
        self.assertEqual(1, found["accepted"]["version"])
        self.assertEqual(
            {"one": "current", "two": "behind", "gone": "silent"},
            {item["daemon"]: item["state"] for item in found["daemons"]},
        )
        text = self.run_cli("status", by="ana").out.splitlines()
        self.assertEqual(f"Accepted: version 1 {digest[:12]}", text[0])
        self.assertEqual(5, len(text))


class KeysTest(CliTestCase):
    def test_key_files_are_private_and_never_overwritten(self):
        args = ("keys", "dora", "--directory", self.directory)
        made = self.do(*args)
        mode = stat.S_IMODE(os.stat(made["key_file"]).st_mode)
        self.assertEqual(0o600, mode)
        self.assertEqual(64, len(context.read_key(made["key_file"])))
        result = self.run_cli(*args)
        self.assertEqual(2, result.status)
        self.assertIn("File exists", result.err)
        self.assertEqual(2, self.run_cli("keys", "Dora/").status)
