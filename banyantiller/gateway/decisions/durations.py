"""Estimates how long the requests of each route usually take.

Load pattern: requests take 5 ms at one service and 2 s at another, and the
latency objective may be two or a hundred times the usual duration. How long a
request can wait for a server depends on the time that it needs afterwards.
"""

import math

# Usual duration before the first response, as a share of the latency objective:
# objectives are mostly set to two to three times the usual duration.
INITIAL_SHARE = 0.4
# Minimum weight of one response in the mean, which then covers some 20.
MIN_WEIGHT = 0.05
# Time after a response for which the duration is known. Calls that are rejected
# for a duration which is too long could not correct it.
KNOWN_S = 10.0


class Durations:
    """Usual durations by route.

    Attributes:
        mean_logs: Mean of the logarithms of a route's durations in seconds.
        counts: Number of responses of a route.
        recorded_at: Loop time of the last response of a route.
    """

    def __init__(self) -> None:
        self.mean_logs: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self.recorded_at: dict[str, float] = {}

    def record_duration(
        self, route: str, took_s: float, now: float = 0.0
    ) -> None:
        """Records the duration of a successful request, in seconds."""
        self.recorded_at[route] = now
        count = self.counts.get(route, 0) + 1
        self.counts[route] = count
        weight = max(MIN_WEIGHT, 1 / count)
        log_duration = math.log(max(took_s, 1e-6))
        mean = self.mean_logs.get(route, log_duration)
        self.mean_logs[route] = mean + weight * (log_duration - mean)

    def usual_s(self, route: str, objective_s: float) -> float:
        """Returns the usual duration of a route's requests, in seconds.

        Args:
            route: Name of the route.
            objective_s: Its latency objective, in seconds, from which the
                duration is estimated before the first response.
        """
        mean = self.mean_logs.get(route)
        return INITIAL_SHARE * objective_s if mean is None else math.exp(mean)

    def is_known(self, route: str, now: float) -> bool:
        """Returns whether a request of a route was successful lately."""
        return now <= self.recorded_at.get(route, -math.inf) + KNOWN_S

    def retain_routes(self, routes: frozenset[str]) -> None:
        """Removes routes that are no longer in force."""
        for route in set(self.mean_logs) - routes:
            del self.mean_logs[route]
            del self.counts[route]
            del self.recorded_at[route]
