"""How long the requests of each route usually take, learned while serving.

The load pattern: work takes 5 ms at one service and 2 s at another, and an
objective may be two or a hundred times as long. How long a request can wait
depends on what it needs afterwards.
"""

import math

# Before any answer a request is taken to need this share of its latency
# objective: objectives are mostly stated at two to three times the usual
# duration.
START_SHARE = 0.4
# Least weight of one answer: some 20 are remembered.
MIN_WEIGHT = 0.05


class Durations:
    """Usual durations by route.

    Attributes:
        usual: Mean logarithm of the durations of a route, in seconds.
        counts: Answers of a route so far.
    """

    def __init__(self) -> None:
        self.usual: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def record_duration(self, route: str, took_s: float) -> None:
        """Takes the duration of an answered request, in seconds."""
        count = self.counts.get(route, 0) + 1
        self.counts[route] = count
        weight = max(MIN_WEIGHT, 1 / count)
        found = math.log(max(took_s, 1e-6))
        before = self.usual.get(route, found)
        self.usual[route] = before + weight * (found - before)

    def usual_s(self, route: str, objective_s: float) -> float:
        """Returns the usual duration of a route's requests, in seconds.

        Args:
            route: Name of the route.
            objective_s: Its latency objective, in seconds, for what it is
                taken to be before any answer.
        """
        found = self.usual.get(route)
        return START_SHARE * objective_s if found is None else math.exp(found)

    def retain_routes(self, routes: frozenset[str]) -> None:
        """Forgets routes that are not in force any more."""
        for route in set(self.usual) - routes:
            del self.usual[route]
            del self.counts[route]
