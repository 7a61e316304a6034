"""Tests of route lookup and of the weights of split routes."""

import collections
import random

from banyantiller.gateway import routes, types
from banyantiller.tests import base


def route(name="r", prefix="/a/", parts=(("one", 1.0),), host="x.example"):
    split = tuple(
        types.WeightedService(service, weight) for service, weight in parts
    )
    return types.Route(name, host, prefix, True, 1.0, 0.5, 1, 2, split)


def table(*items, seed=1, organisations=None):
    document = types.Document(1, items, {}, organisations=organisations)
    return routes.RouteTable(document, random.Random(seed))


def urgent_routes(found, organisation=None):
    return {
        one.name
        for one in found.document.routes
        if found.is_urgent(one, organisation)
    }


class RoutesTest(base.TestCase):
    def test_longest_matching_prefix_wins(self):
        found = table(route("short"), route("long", "/a/b/"))
        self.assertEqual("long", found.find("X.example:80", "/a/b/c?d").name)
        self.assertEqual("short", found.find("x.example", "/a/bc").name)

    def test_other_host_or_path_has_no_route(self):
        found = table(route())
        self.assertIsNone(found.find("y.example", "/a/b"))
        self.assertIsNone(found.find("x.example", "/ab"))
        self.assertIsNone(found.find("x.example", "/b?/a/"))

    def test_few_requests_per_daemon_follow_the_weights(self):
        # Guards against counters that start in proportion to the weights, which
        # may be large: one service got 0.71 of 291 requests in place of 0.50.
        for shares in ((50.0, 50.0), (90.0, 10.0), (1.0, 3.0)):
            counts = collections.Counter()
            parts = (("one", shares[0]), ("two", shares[1]))
            for seed in range(14):
                split = route(parts=parts)
                daemon = table(split, seed=seed)
                counts.update(daemon.choose_service(split) for _ in range(20))
            expected = shares[0] / sum(shares)
            self.assertLess(abs(counts["one"] / 280 - expected), 0.05, shares)

    def test_first_requests_of_many_daemons_follow_the_weights(self):
        # Guards against an even division of the first request of each daemon:
        # of 475 requests at 312 daemons, 0.59 went to a service of weight 0.95.
        split = route(parts=(("one", 95.0), ("two", 5.0)))
        for requests_per_daemon in (1, 2, 3):
            counts = collections.Counter()
            for seed in range(312):
                daemon = table(split, seed=seed)
                counts.update(
                    daemon.choose_service(split)
                    for _ in range(requests_per_daemon)
                )
            share = counts["one"] / counts.total()
            self.assertLess(abs(share - 0.95), 0.04, requests_per_daemon)

    def test_service_of_weight_zero_gets_no_requests(self):
        split = route(parts=(("one", 0.0), ("two", 5.0)))
        daemon = table(split)
        chosen = {daemon.choose_service(split) for _ in range(9)}
        self.assertEqual({"two"}, chosen)

    def test_urgent_routes_require_different_priorities(self):
        found = table(
            route("read")._replace(priority=2),
            route("file")._replace(priority=1),
            route("alone", parts=(("two", 1.0),)),
            route("both", parts=(("one", 1.0), ("two", 1.0))),
        )
        self.assertEqual({"file"}, urgent_routes(found))

    def test_priority_of_the_organisation_replaces_that_of_the_route(self):
        first = types.Organisation("first", (), 0)
        last = types.Organisation("last", (), 5)
        plain = types.Organisation("plain", ())
        found = table(
            route("read")._replace(priority=2),
            route("file")._replace(priority=1),
            organisations=(first, last, plain),
        )
        self.assertEqual({"read", "file"}, urgent_routes(found, first))
        self.assertEqual(set(), urgent_routes(found, last))
        self.assertEqual(set(), urgent_routes(found, plain))

    def test_rank_follows_the_organisation_and_then_the_route(self):
        """Requests of equal organisations must not all be ranked alike."""
        first = types.Organisation("first", (), 0)
        plain = types.Organisation("plain", ())
        read = route("read")._replace(priority=4)
        alone = route("alone", parts=(("two", 1.0),))._replace(priority=1)
        found = table(read, alone, organisations=(first, plain))
        ranks = [
            found.rank(one, organisation)
            for one in (read, alone)
            for organisation in (first, plain)
        ]
        self.assertEqual([1 / 3, 1.0, 0.0, 2 / 3], ranks)

    def test_single_priority_has_no_precedence(self):
        self.assertEqual(0.5, table(route("read")).rank(route("read"), None))

    def test_urgent_requests_without_differing_organisations(self):
        same = types.Organisation("same", (), 0)
        found = table(
            route("read")._replace(priority=2),
            route("file")._replace(priority=1),
            organisations=(same,),
        )
        self.assertEqual(set(), urgent_routes(found, same))


class LoadSharingTest(base.TestCase):
    """A document that doesn't call for load sharing must not switch it on."""

    def calls(self, **changed):
        ordinary = route()
        document = types.Document(1, (ordinary,), {})._replace(**changed)
        return routes.calls_for_load_sharing(document)

    def test_ordinary_document_does_not_call_for_it(self):
        self.assertFalse(self.calls())

    def test_organisations_without_an_allowance_do_not_call_for_it(self):
        one = types.Organisation("a", ())
        self.assertFalse(self.calls(organisations=(one,)))

    def test_allowances_call_for_it(self):
        one = types.Organisation("a", (), per_s=2.0)
        self.assertTrue(self.calls(organisations=(one,)))

    def test_large_responses_call_for_it(self):
        large = route()._replace(large_responses=True)
        self.assertTrue(self.calls(routes=(large,)))
