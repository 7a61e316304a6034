"""Tests of parsing bundles: all errors and warnings, with their places."""

from banyantiller import exceptions
from banyantiller.bundle import parsing
from banyantiller.tests.base import TestCase
from banyantiller.tests.bundle import samples

SERVER = "{name: %s, address: 127.0.0.1, port: %d, group: %s}"


def service(*lines: str, name: str = "desk") -> str:
    """Returns a service with two groups of servers and further lines."""
    head = [
        f"- name: {name}",
        f"  path: /{name}",
        "  servers:",
        f"    - {SERVER % ('one', 9001, 'main')}",
        f"    - {SERVER % ('two', 9002, 'next')}",
    ]
    if not any(line.startswith("requests") for line in lines):
        head.append("  requests: [{idempotent: false}]")
    return "\n".join([*head, *(f"  {line}" for line in lines), ""])


def errors_of(text: str) -> list[str]:
    try:
        parsing.parse(text, "b.yaml")
    except exceptions.ConfigError as error:
        lines = [item.text() for item in error.problems]
        assert str(error).splitlines() == lines
        return [line for line in lines if ": error: " in line]
    return []


def warnings_of(text: str) -> list[str]:
    return [item.text() for item in parsing.parse(text, "b.yaml").warnings]


class ParsingTest(TestCase):
    def test_a_valid_bundle(self):
        parsed = parsing.parse(samples.BUNDLE, "b.yaml")
        self.assertEqual((), parsed.warnings)
        names = [item.name for item in parsed.bundle.services]
        self.assertEqual(["archive", "desk"], names)

    def test_errors_of_all_services_are_collected(self):
        found = errors_of(
            "services:\n"
            + service(
                "shares: [{group: main, percent: 60}, "
                "{group: nxt, percent: 30}]"
            )
            + service(
                "stages:",
                "  - {after_s: 60, shares: [{group: main, percent: 100}]}",
                "  - {after_s: 60, shares: []}",
                name="desk",
            )
            + service("servers: []", name="c")
            + "- name: d\n  servers: []\n  hosts: [a.example, a.example]\n"
        )
        expected = (
            "8:11: error: services[0].shares: The shares add up to 90",
            "8:48: error: services[0].shares[1].group: No server is in group"
            " 'nxt'. Did you mean 'next'?",
            "9:9: error: services[1].name: 'desk' is the name of"
            " services[0] too.",
            "17:17: error: services[1].stages[1].after_s: It must be above 60",
            "17:29: error: services[1].stages[1].shares: The shares add up"
            " to 0, not 100.",
            "24:3: error: services[2].servers: This key is given twice.",
            "26:12: error: services[3].servers: A service needs at least one",
            "27:10: error: services[3].hosts: A host is named twice.",
        )
        self.assertEqual(len(expected), len(found), "\n".join(found))
        for start, line in zip(expected, found, strict=True):
            self.assertIn(start, line)

    def test_errors_are_raised_with_the_warnings(self):
        text = service("requests: []", "slots: 0")
        error = self.assertRaises(
            exceptions.ConfigError, parsing.parse, f"services:\n{text}", "b"
        )
        levels = [item.warning for item in error.problems]
        self.assertEqual([True, False], levels)

    def test_services_on_the_same_path(self):
        text = service() + service(name="shop").replace("/shop", "/desk/")
        (found,) = errors_of(f"services:\n{text}")
        self.assertIn("Service 'desk' has the same host and path", found)

    def test_servers_of_one_service_must_differ(self):
        text = service().replace("9002", "9001").replace("two", "one")
        found = "\n".join(errors_of(f"services:\n{text}"))
        self.assertIn("servers[1].name: 'one' is the name of", found)
        self.assertIn("servers[1].address: Server 'one' has this", found)

    def test_single_values_are_checked(self):
        for line, part in (
            ("key_header: 'a b'", "is not a header name"),
            ("requests: [{idempotent: true, methods: [get]}]", "in upper case"),
            ("requests: [{idempotent: true, path: a}]", "begin with '/'"),
            ("hosts: [A.example]", "in lower case"),
            ("objective: cheap", "is not one of latency, cost"),
            ("deadline_s: 0", "0.0 is below 0.001 s"),
            ("slots: true", "found true or false"),
        ):
            (found,) = errors_of(f"services:\n{service(line)}")
            self.assertIn(part, found)

    def test_a_bundle_over_one_megabyte_is_refused(self):
        hosts = ", ".join(f"h{i}.{'x' * 200}" for i in range(6000))
        (found,) = errors_of(f"services:\n{service(f'hosts: [{hosts}]')}")
        self.assertIn("in canonical form, more than 1000000", found)


class WarningTest(TestCase):
    def check(self, part: str, text: str) -> None:
        (found,) = warnings_of(text)
        self.assertIn(part, found)

    def test_requests(self):
        for rules, part in (
            ("[]", "No rule states which requests of 'desk' are idempotent"),
            ("[{idempotent: true}]", "of any method, also POST"),
            (
                "[{idempotent: true, methods: [GET], path: /other}]",
                "outside the service's path '/desk'",
            ),
            (
                "[{idempotent: false, path: /desk/a},"
                " {idempotent: true, methods: [GET], path: /desk/a/b}]",
                "services[0].requests[0] matches first",
            ),
        ):
            self.check(part, f"services:\n{service(f'requests: {rules}')}")

    def test_rules_on_paths_with_a_common_prefix_are_not_shadowed(self):
        rules = (
            "[{idempotent: false, path: /desk/a},"
            " {idempotent: true, methods: [GET], path: /desk/ab}]"
        )
        text = f"services:\n{service(f'requests: {rules}')}"
        self.assertEqual([], warnings_of(text))

    def test_traffic(self):
        shares = "shares: [{group: main, percent: 100}]"
        self.check("'next' get no share", f"services:\n{service(shares)}")
        stage = (
            "stages: [{after_s: 1, shares: [{group: main, percent: 50},"
            " {group: next, percent: 50}]}]"
        )
        self.check("Until the first stage", f"services:\n{service(stage)}")

    def test_other_warnings(self):
        one, two = service(), service(name="shop")
        found = warnings_of(f"services:\n{one}{two}")
        self.assertEqual(2, len(found))
        self.assertIn("Service 'desk' uses the same server", found[0])
        self.check("no services", "services: []")
        queue = service("deadline_s: 1")
        self.check("above deadline_s, 1 s", f"services:\n{queue}")
        zone = service().replace("9001,", "9001, zone: zone-1,")
        self.check("has no zone", f"services:\n{zone}")
        required = service(
            "requests: [{idempotent: true}]", "key_required: true"
        )
        found = warnings_of(f"services:\n{required}")
        self.assertIn("every request is idempotent", "\n".join(found))
