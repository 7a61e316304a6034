"""Finds the route of a request, who may use it, and selects its service."""

import math
import random

from banyantiller.gateway import types
from banyantiller.gateway.decisions import precedence

# Priority of a request, and that of its route.
Priority = tuple[int, int]
# Repeated steps of this size, modulo 1, spread evenly over the unit interval.
GOLDEN_RATIO_STEP = (math.sqrt(5) - 1) / 2


class RouteTable:
    """The routes of one document, by host and path prefix.

    Attributes:
        document: The document in force.
        by_host: Routes of each host, longest prefix first.
        split_points: Position of the next request of each split route, from 0
            to 1; the weights divide this range between the services.
        organisations: Organisations by the digests of their keys.
        organisations_by_name: Organisations by their names.
        priorities: Priorities of the requests for each service.
        ranks: Rank of each `Priority` that requests can have, from 0 for the
            most urgent to 1 for the least urgent.
        names: Names of all routes.
        calls_for_load_sharing: Whether the document calls for load sharing;
            see `calls_for_load_sharing`.
    """

    def __init__(
        self, document: types.Document, rng: random.Random | None = None
    ) -> None:
        self.document = document
        self.random = rng or random.Random()
        self.by_host: dict[str, list[types.Route]] = {}
        self.split_points: dict[str, float] = {}
        for route in document.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.organisations = {
            key_digest: organisation
            for organisation in document.organisations or ()
            for key_digest in organisation.key_digests
        }
        self.organisations_by_name = {
            one.name: one for one in document.organisations or ()
        }
        self.priorities = _priorities_by_service(document)
        self.ranks = _ranks(document)
        self.names = frozenset(route.name for route in document.routes)
        self.calls_for_load_sharing = calls_for_load_sharing(document)

    def find(self, host: str, target: str) -> types.Route | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            target: Request target; a query is ignored.
        """
        path = target.partition("?")[0]
        name = host.partition(":")[0].lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def admits(
        self, route: types.Route, organisation: types.Organisation | None
    ) -> bool:
        """Returns whether a caller may use a route.

        Args:
            route: The route.
            organisation: Organisation that holds the caller's key, or None.
        """
        if self.document.organisations is None or route.public:
            return True
        return organisation is not None

    def is_urgent(
        self, route: types.Route, organisation: types.Organisation | None
    ) -> bool:
        """Returns whether requests have the most urgent priority.

        They have it if their priority comes first at each service of the route,
        and if the requests for these services differ in priority.

        Args:
            route: The route.
            organisation: Organisation that holds the caller's key, or None.
        """
        priority = _priority(route, organisation)
        return all(
            len(self.priorities[part.service]) > 1
            and priority == min(self.priorities[part.service])
            for part in route.weighted_services
        )

    def rank(
        self, route: types.Route, organisation: types.Organisation | None
    ) -> float:
        """Returns the rank of requests among all priorities of the document.

        The priority of an organisation goes first. Requests of organisations
        with the same priority are ranked by the priority of their routes.

        Args:
            route: The route.
            organisation: Organisation that holds the caller's key, or None.
        """
        priority = (_priority(route, organisation), route.priority)
        return self.ranks.get(priority, precedence.ONLY_RANK)

    def choose_service(self, route: types.Route) -> str:
        """Returns the service for the next request of a route.

        Points at steps of the golden ratio are divided between the services
        close to their weights, even if there are few requests. Each daemon
        starts at a random point, so that the first requests of many daemons are
        divided by weight as well: with one request at each of 312 daemons, a
        service of weight 0.95 gets 0.95 of them. An even division of the first
        requests sent it 0.54.
        """
        total = sum(part.weight for part in route.weighted_services)
        if len(route.weighted_services) == 1 or total <= 0:
            return route.weighted_services[0].service
        split_point = self.split_points.get(route.name, self.random.random())
        self.split_points[route.name] = (split_point + GOLDEN_RATIO_STEP) % 1.0
        weighted = [part for part in route.weighted_services if part.weight > 0]
        remaining = split_point * total
        for part in weighted:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return weighted[-1].service


def main_service(route: types.Route) -> str:
    """Returns the service that most requests of a route are sent to."""
    return max(route.weighted_services, key=lambda part: part.weight).service


def calls_for_load_sharing(document: types.Document) -> bool:
    """Returns whether daemons share what they know of the load.

    Callers of organisations with an allowance compete for the same servers,
    and large responses compete with small ones. Other deployments are spared
    the messages.
    """
    limited = any(
        organisation.per_s is not None
        for organisation in document.organisations or ()
    )
    return limited or any(route.large_responses for route in document.routes)


def _priority(
    route: types.Route, organisation: types.Organisation | None
) -> int:
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def _ranks(document: types.Document) -> dict[Priority, float]:
    """Returns the rank of each priority; a single one has no precedence."""
    organisations = document.organisations
    replacing = {one.priority for one in organisations or ()}
    found: set[Priority] = set()
    for route in document.routes:
        callers = set(replacing)
        if organisations is None or route.public:
            callers.add(None)
        for priority in callers:
            own = route.priority if priority is None else priority
            found.add((own, route.priority))
    if len(found) < 2:
        return {}
    last = len(found) - 1
    return {
        priority: position / last
        for position, priority in enumerate(sorted(found))
    }


def _priorities_by_service(document: types.Document) -> dict[str, set[int]]:
    organisations = document.organisations or ()
    replacing = {one.priority for one in organisations} - {None}
    # Whether the priorities of all routes apply to some callers.
    routes_apply = document.organisations is None or any(
        one.priority is None for one in organisations
    )
    found: dict[str, set[int]] = {}
    for route in document.routes:
        for part in route.weighted_services:
            priorities = found.setdefault(part.service, set(replacing))
            if routes_apply or route.public:
                priorities.add(route.priority)
    return found
