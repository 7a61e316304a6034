"""Tests of `banyantiller validate --kind document`."""

import copy
import io
import json
import sys
from unittest import mock

import hypothesis
import yaml
from hypothesis import strategies

from banyantiller import exceptions
from banyantiller.commands import document_files
from banyantiller.gateway import document_checks, document_differences
from banyantiller.http import server
from banyantiller.platform import document_errors, documents
from banyantiller.tests import base
from banyantiller.tests.commands import test_cli
from banyantiller.tests.fuzz import mutations
from standins import platform_store

KEY = "a828m82thhkmgjqnirth"
ROUTE = {
    "name": "r",
    "hostname": "desk.example",
    "pathPrefix": "/a/",
    "routeType": "safe",
    "timeoutS": 0.5,
    "targetLatencyS": 0.2,
    "priority": 2,
    "service": "one",
    "maxAttempts": 2,
}
ORGANISATION = {"name": "north", "apiKeys": [KEY], "ratePerS": 5, "burst": 2}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE, ROUTE | {"name": "open", "pathPrefix": "/b/"}],
    "services": [{"name": "one", "healthPath": "/health", "maxConns": 220}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "tenants": [ORGANISATION],
    "baseVersion": 5,
}
PORT = 9007
RATIO = 0.2
VALUES = strategies.sampled_from(
    (None, 7, -1, 0.5, "one", "", [], ["one"], {}, [{}], True, [None])
)


def edited(*path_and_value):
    """Returns the document with another value at a path."""
    *path, last, value = path_and_value
    document = copy.deepcopy(DOCUMENT)
    inner = document
    for step in path:
        inner = inner[step]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return document


@strategies.composite
def damaged(draw):
    """Returns the document with some values removed or replaced."""
    document = copy.deepcopy(DOCUMENT)
    for _ in range(draw(strategies.integers(0, 3))):
        inner = document
        while inner:
            keys = list(inner) if isinstance(inner, dict) else range(len(inner))
            key = draw(strategies.sampled_from(list(keys)))
            if isinstance(inner[key], dict | list) and draw(
                strategies.booleans()
            ):
                inner = inner[key]
                continue
            if draw(strategies.booleans()):
                del inner[key]
            else:
                inner[key] = draw(VALUES)
            break
    return document


class ErrorsTest(base.TestCase):
    """Guards against documents that the check accepts and daemons refuse."""

    @hypothesis.given(damaged())
    def test_check_accepts_what_daemons_accept_and_nothing_else(self, value):
        found = document_errors.find_problems(value)
        errors = [one for one in found if not one.warning]
        self.assertNotIn(KEY, repr(found))
        try:
            documents.read_document(value)
        except ValueError:
            self.assertNotEqual([], errors)
            # Each error has its path; the decoder's own has none.
            self.assertNotIn("$", repr(errors))
        else:
            self.assertEqual([], errors)

    def test_all_errors_have_paths(self):
        value = edited("version", "x")
        value["routes"][0] |= {"service": "won", "maxAttempts": "2"}
        del value["routes"][1]["hostname"]
        value["tenants"].append(ORGANISATION | {"name": "a\nb", "burst": -1})
        found = document_errors.find_problems(value)
        self.assertEqual(
            {
                "version",
                "routes[0].service",
                "routes[0].maxAttempts",
                "routes[1]",
                "tenants[1].name",
                "tenants[1].apiKeys[0]",
                "tenants[1].burst",
            },
            {one.path for one in found},
        )

    def test_misspelt_field_is_a_warning(self):
        value = edited("tenants", 0, "ratePerS", None)
        value["tenants"][0]["ratePerSec"] = 5
        (found,) = document_errors.find_problems(value)
        self.assertTrue(found.warning)
        self.assertEqual("tenants[0].ratePerSec", found.path)

    def test_two_services_of_a_name_are_an_error(self):
        """Daemons would use the last one."""
        value = edited("services", DOCUMENT["services"] * 2)
        (found,) = document_errors.find_problems(value)
        self.assertEqual("services[1].name", found.path)


class WarningsTest(base.TestCase):
    """Guards against entries that are accepted and do not work as meant."""

    def warnings(self, value):
        document = documents.read_document(value)
        return [
            (one.part, one.index, one.field)
            for one in document_checks.find_warnings(document, RATIO)
        ]

    def test_document_without_faults_has_no_warnings(self):
        self.assertEqual([], self.warnings(DOCUMENT))

    def test_each_fault_is_found_at_its_place(self):
        route, split = ("routes", 0), [{"service": "one", "weight": 0}]
        service = {"name": "two", "healthPath": "/", "maxConns": 9}
        rows = (
            ("routes", 1, "prefix", edited("routes", 1, "pathPrefix", "/a/")),
            (*route, "prefix", edited(*route, "pathPrefix", "a/")),
            (*route, "prefix", edited(*route, "pathPrefix", "/c?d/")),
            (*route, "host", edited(*route, "hostname", "desk.example:80")),
            (*route, "host", edited(*route, "hostname", "")),
            (*route, "timeout_s", edited(*route, "timeoutS", 0.1)),
            (*route, "max_attempts", edited(*route, "maxAttempts", 5)),
            (*route, "max_attempts", edited(*route, "maxAttempts", 0)),
            (*route, "weighted_services",
             edited(*route, "trafficSplit", split)),
            ("services", 1, "name",
             edited("services", [*DOCUMENT["services"], service])),
            ("organisations", 0, "burst", edited("tenants", 0, "burst", 0.5)),
            ("organisations", 0, "burst",
             edited("tenants", 0, "ratePerS", None)),
            ("organisations", 0, "key_digests",
             edited("tenants", 0, "apiKeys", [])),
            ("limits", None, "idle_timeout_s",
             edited("limits", "idleTimeoutS", -1)),
        )  # fmt: skip
        for *place, value in rows:
            self.assertEqual([tuple(place)], self.warnings(value), place)

    def test_priority_of_organisations_is_no_fault(self):
        """The priority of a route still orders requests of an organisation."""
        value = edited("tenants", 0, "priority", 1)
        value["routes"][0]["priority"] = 0
        self.assertEqual([], self.warnings(value))

    def test_attempts_follow_from_the_retry_budget(self):
        self.assertEqual(1, document_checks.max_useful_attempts(0.0))
        self.assertEqual(4, document_checks.max_useful_attempts(RATIO))


class DifferencesTest(base.TestCase):
    """Guards against a change that callers notice and that is not shown."""

    def changes(self, value):
        before, after = map(documents.read_document, (DOCUMENT, value))
        found = document_differences.compare(before, after)
        return [one.change.value for one in found]

    def test_same_document_has_no_differences(self):
        self.assertEqual([], self.changes(DOCUMENT))

    def test_each_change_has_its_kind(self):
        split = [{"service": "one", "weight": 3}]
        rows = (
            ("route_removed", edited("routes", [ROUTE])),
            ("service_changed", edited("services", 0, "maxConns", 9)),
            ("service_changed", edited("routes", 0, "trafficSplit", split)),
            ("key_removed", edited("tenants", 0, "apiKeys", ["other"])),
            ("allowance_lowered", edited("tenants", 0, "ratePerS", 4)),
            ("allowance_lowered", edited("tenants", 0, "burst", 1)),
            ("timeout_lowered", edited("routes", 0, "timeoutS", 0.4)),
            ("timeout_lowered", edited("limits", "idleTimeoutS", 9)),
            ("other", edited("routes", 0, "timeoutS", 0.6)),
            ("other", edited("tenants", 0, "ratePerS", None)),
            ("other", edited("tenants", None)),
        )
        for change, value in rows:
            self.assertEqual([change], self.changes(value))

    def test_what_callers_notice_most_comes_first(self):
        value = edited("version", 8)
        value["routes"] = [ROUTE | {"timeoutS": 0.3}]
        value["tenants"] = []
        expected = ["route_removed", "key_removed", "timeout_lowered", "other"]
        self.assertEqual(expected, self.changes(value))


class CommandTest(test_cli.CliTestCase):
    """The command with files, the standard input and the store."""

    def validate(self, text, *argv, name="d.json"):
        file = self.write(name, text)
        return self.run_cli("validate", file, "--kind", "document", *argv)

    def test_problems_have_the_lines_of_json_and_yaml(self):
        value = edited("routes", 0, "service", "won")
        for text in (json.dumps(value, indent=1), yaml.safe_dump(value)):
            lines = text.splitlines()
            result = self.validate(text, "--json")
            self.assertEqual(2, result.status)
            (problem,) = result.data()["problems"]
            self.assertEqual("routes[0].service", problem["path"])
            self.assertIn("won", lines[problem["line"] - 1])

    def test_warnings_are_errors_if_strict(self):
        text = json.dumps(edited("routes", 0, "timeoutS", 0.1))
        result = self.validate(text, "--json")
        self.assertEqual(0, result.status)
        self.assertEqual(
            ["warning"], [one["level"] for one in result.data()["problems"]]
        )
        self.assertEqual(2, self.validate(text, "--strict").status)
        self.assertEqual(0, self.validate(json.dumps(DOCUMENT)).status)

    def test_standard_input_is_compared_with_a_file(self):
        before = self.write("before.json", json.dumps(DOCUMENT))
        value = edited("version", 8) | {"routes": [ROUTE]}
        given = mock.Mock(buffer=io.BytesIO(json.dumps(value).encode()))
        with mock.patch.object(sys, "stdin", given):
            result = self.run_cli(
                "validate", "-", "--kind", "document", "--against", before,
                "--json",
            )  # fmt: skip
        self.assertEqual(0, result.status, result)
        found = [one["change"] for one in result.data()["differences"]]
        self.assertEqual(["route_removed", "other"], found)

    def test_version_that_does_not_rise_is_a_warning(self):
        before = self.write("before.json", json.dumps(DOCUMENT))
        result = self.validate(json.dumps(DOCUMENT), "--against", before)
        self.assertEqual(0, result.status)
        self.assertIn("version: The version is not above 7", result.out)

    def test_text_that_json_cannot_hold_is_refused(self):
        for text in (
            "version: .nan\n",
            "version: 2026-12-04\n",
            "a: &b [1]\nc: [*b, *b]\n",
            "version: 1\nversion: 2\n",
            "1: 2\n",
            '{"version": 1,}',
            '{"version": 1, "version": 2}',
            '"\\ud800": "\\ud800"\n',
            "[" * 99,
            "",
        ):
            self.assertEqual(2, self.validate(text).status, text)

    def test_document_in_force_is_read_from_the_store(self):
        async def with_store(reading):
            store = platform_store.PlatformStore()
            store.put("config", "main", DOCUMENT)
            listener = server.HttpServer(store.handle)
            await listener.start("127.0.0.1", PORT)
            try:
                return await reading
            finally:
                await listener.close()

        file = self.write("d.json", json.dumps(edited("version", 8)))
        argv = ("validate", file, "--kind", "document", "--json")
        argv += ("--against-store", f"127.0.0.1:{PORT}")
        run = base.run_paused
        with mock.patch.object(
            base, "run_paused", lambda body: run(with_store(body))
        ):
            result = self.run_cli(*argv)
        self.assertEqual(0, result.status, result)
        self.assertEqual(
            [7], [d["before"] for d in result.data()["differences"]]
        )
        self.assertEqual(5, self.run_cli(*argv).status)

    def test_only_documents_are_compared(self):
        result = self.run_cli(
            "validate", self.path("b.yaml"), "--against", self.path("c.yaml")
        )
        self.assertEqual(2, result.status)

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        mutations.mutated_text(
            (json.dumps(DOCUMENT), yaml.safe_dump(DOCUMENT)),
            (
                "&a ",
                "*a",
                "!!binary",
                "<<: ",
                "\t",
                "{",
                "}",
                "- ",
                "~",
                "1e999",
            ),
        )
    )
    def test_any_text_is_read_or_refused(self, text):
        try:
            with mock.patch.object(
                document_files.documents, "read_file", lambda file: text
            ):
                value, _ = document_files.read("f")
        except exceptions.ConfigError:
            return
        document_errors.find_problems(value)
