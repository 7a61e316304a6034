"""Tests of decoding documents, registrations and loads of the platform."""

import hashlib

import hypothesis
from hypothesis import strategies

from banyantiller.gateway import types
from banyantiller.platform import documents, headers, registrations
from banyantiller.tests import base

ROUTE = {
    "name": "r",
    "hostname": "Desk.Example",
    "pathPrefix": "/a/",
    "routeType": "safe",
    "timeoutS": 0.5,
    "targetLatencyS": 0.2,
    "priority": 2,
    "service": "one",
    "maxAttempts": 2,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "one", "healthPath": "/health", "maxConns": 220, "tls": False}
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "baseVersion": 5,
}
SERVER = {
    "service": "one",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "maxConcurrency": 2,
    "state": "ready",
    "warmupLeftS": 0,
    "sequence": 4,
}


class DocumentsTest(base.TestCase):
    def read(self, **route):
        return documents.read_document(DOCUMENT | {"routes": [ROUTE | route]})

    def test_document_is_decoded(self):
        found = self.read()
        self.assertEqual(7, found.version)
        self.assertEqual(
            types.Route(
                "r", "desk.example", "/a/", True, 0.5, 0.2, 2, 2,
                (types.WeightedService("one", 1.0),),
            ),
            found.routes[0],
        )  # fmt: skip
        self.assertEqual(
            types.CallerLimits(16384, 67108864, 3, 15), found.limits
        )

    def test_only_routes_of_type_safe_are_idempotent(self):
        for route_type in ("unsafe", "keyed", "stream", ""):
            self.assertFalse(
                self.read(routeType=route_type).routes[0].idempotent
            )

    def test_downloads_are_idempotent(self):
        route = self.read(routeType="download").routes[0]
        self.assertTrue(route.idempotent)
        self.assertTrue(route.large_responses)

    def read_organisations(self, *items):
        value = documents.hide_keys(DOCUMENT | {"tenants": list(items)})
        return documents.read_document(value).organisations

    def test_organisations_hold_digests_of_their_keys(self):
        keyed = {"name": "a", "apiKeys": ["k", "\u00e9"], "priority": 1}
        found = self.read_organisations(keyed, {"name": "b"})
        digests = tuple(
            hashlib.sha256(key).hexdigest() for key in (b"k", b"\xc3\xa9")
        )
        self.assertEqual(
            (
                types.Organisation("a", digests, 1),
                types.Organisation("b", (), None),
            ),
            found,
        )

    def test_document_without_organisations_needs_no_keys(self):
        self.assertIsNone(documents.read_document(DOCUMENT).organisations)
        self.assertEqual((), self.read_organisations())

    def test_malformed_organisations_are_rejected_without_their_keys(self):
        for wrong in (
            {"name": "a", "apiKeys": "secret"},
            {"name": "a", "apiKeys": [["secret"]]},
            {"name": 7, "apiKeys": ["secret"]},
            {"name": "", "apiKeys": ["secret"]},
            {"name": "a\nb", "apiKeys": ["secret"]},
            {"name": "a", "apiKeys": ["secret"], "priority": "secret"},
            ["secret"],
            "secret",
        ):
            hidden = documents.hide_keys(DOCUMENT | {"tenants": [wrong]})
            self.assertNotIn(
                "secret",
                repr(hidden["tenants"]).replace("'priority': 'secret'", ""),
            )
            error = self.assertRaises(
                ValueError, documents.read_document, hidden
            )
            self.assertNotIn("secret", str(error))
        hidden = documents.hide_keys(DOCUMENT | {"tenants": "secret"})
        self.assertRaises(ValueError, documents.read_document, hidden)
        self.assertNotIn("secret", repr(hidden))

    def test_key_or_name_of_two_organisations_is_rejected(self):
        for first, second in (
            ({"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}),
            ({"name": "a"}, {"name": "a"}),
        ):
            self.assertRaises(
                ValueError, self.read_organisations, first, second
            )

    def test_hiding_keys_twice_changes_nothing(self):
        once = documents.hide_keys(
            DOCUMENT | {"tenants": [{"name": "a", "apiKeys": ["k"]}]}
        )
        self.assertEqual(once, documents.hide_keys(once))

    def test_traffic_split_takes_precedence_over_the_service(self):
        split = [{"service": "one", "weight": 90}]
        parts = self.read(trafficSplit=split).routes[0].weighted_services
        self.assertEqual((types.WeightedService("one", 90),), parts)

    def test_error_names_the_place(self):
        for wrong, place in (
            ({"service": "none"}, "routes[0]"),
            ({"timeoutS": "soon"}, "$.routes[0].timeoutS"),
            ({"maxAttempts": None}, "$.routes[0].maxAttempts"),
        ):
            error = self.assertRaises(ValueError, self.read, **wrong)
            self.assertIn(place, str(error))
        missing = {k: v for k, v in ROUTE.items() if k != "pathPrefix"}
        error = self.assertRaises(
            ValueError,
            documents.read_document,
            DOCUMENT | {"routes": [missing]},
        )
        self.assertIn("routes[0]: 'pathPrefix'", str(error))

    @hypothesis.given(
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(),
            lambda inner: (
                strategies.lists(inner)
                | strategies.dictionaries(
                    strategies.sampled_from([*DOCUMENT, *ROUTE]), inner
                )
            ),
        )
    )
    def test_malformed_document_raises_value_error_only(self, value):
        try:
            documents.read_document(value)
        except ValueError:
            return
        self.fail("a malformed document was accepted")


class RegistrationsTest(base.TestCase):
    def test_registration_is_decoded(self):
        found = registrations.read_server("i-1", SERVER)
        self.assertEqual(
            types.Server("i-1", "one", "10.0.0.9", 8080, "z", 2, False, 0),
            found,
        )

    def test_start_time_is_decoded(self):
        found = registrations.read_server("i", SERVER | {"born": 17000})
        self.assertEqual(17000, found.started_ms)

    def test_registration_that_is_no_object_is_an_error(self):
        for value in (None, [], "draining", 7):
            self.assertRaises(ValueError, registrations.read_server, "i", value)

    def test_draining_server_is_leaving(self):
        found = registrations.read_server("i", SERVER | {"state": "draining"})
        self.assertTrue(found.leaving)

    def test_error_names_the_place(self):
        for wrong, place in (
            ({"address": "nowhere"}, "address"),
            ({"address": "desk.example:80"}, "address"),
            ({"address": "10.0.0.9:99999"}, "address"),
            ({"maxConcurrency": "two"}, "$.maxConcurrency"),
            ({"maxConcurrency": 0}, "maxConcurrency"),
            ({"state": "parked"}, "state"),
            ({"born": "1700000000000"}, "$.born"),
            ({"born": 1.5}, "$.born"),
        ):
            error = self.assertRaises(
                ValueError, registrations.read_server, "i", SERVER | wrong
            )
            self.assertIn(place, str(error))


class LoadTest(base.TestCase):
    def test_load_with_and_without_slowness(self):
        self.assertEqual(types.Load(3, 0, 8, 1.0), headers.read_load(b"3,0,8"))
        self.assertEqual(
            types.Load(1, 2, 2, 5.0), headers.read_load(b"1,2,2,500")
        )

    def test_malformed_load_is_none(self):
        for value in (b"", b"1,2", b"a,b,c", b"-1,0,2", b"1;0;2"):
            self.assertIsNone(headers.read_load(value))


class RetryAfterTest(base.TestCase):
    def test_time_may_be_a_fraction_of_a_second(self):
        for text, seconds in (("3", 3.0), ("0.25", 0.25), (" 1.5 ", 1.5)):
            self.assertEqual(seconds, headers.read_retry_after([text]))

    def test_what_is_no_number_of_seconds_is_an_error(self):
        for text in ("", "soon", "-1", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT"):
            self.assertRaises(ValueError, headers.read_retry_after, [text])

    def test_different_values_are_an_error(self):
        self.assertRaises(ValueError, headers.read_retry_after, ["2", "3"])
