"""Estimates when a caller sent its request for the first time.

Load pattern: callers wait for one to two seconds in total, state with each try
how long they still wait, and retry once after a failure. Latency is measured
from the first try, so a retry has less time left than its own age suggests.

The longest time that callers of a route stated recently is about what they wait
in total. A much shorter time shows a retry, and the difference has passed since
the first try. If callers of a route wait for different times, most requests
seem to be retries; nothing is concluded from the stated times then.
"""

from typing import NamedTuple

# A longest time is used for one to two of these periods: a daemon gets a
# request of a rare route every few seconds.
PERIOD_S = 30.0
# A caller came back if it states less than the longest time by more than this
# share. The times stated with first tries differ by up to 0.16 in proportion to
# the total, for callers that wait 1.2 s as for those that wait 1.5 s, so that a
# smaller difference is no time that has passed.
RETURNED_SHARE = 1 / 6
# If each caller retries once, half of the requests are retries. A larger share
# shows that the callers of a route wait for different times.
MAX_RETURNED_SHARE = 0.6
# Weight of one request in that share.
WEIGHT = 1 / 16


class Elapsed(NamedTuple):
    """What the time that a caller stated tells about earlier tries.

    Attributes:
        before_s: Time from the first try to the arrival of this one, in
            seconds.
        returned: Whether the caller came back after an earlier try.
    """

    before_s: float
    returned: bool


UNKNOWN = Elapsed(0.0, False)


class RouteBudget:
    """Times that the callers of one route stated.

    Attributes:
        longest_s: Longest time in the current period, in seconds.
        previous_s: Longest time in the period before.
        period_ends_at: Loop time at which the current period ends.
        returned_share: Share of recent requests that seem to be retries.
    """

    def __init__(self, now: float) -> None:
        self.longest_s = 0.0
        self.previous_s = 0.0
        self.period_ends_at = now + PERIOD_S
        self.returned_share = 0.0

    def record(self, stated_s: float, now: float) -> Elapsed:
        """Records a stated time and returns what it tells."""
        if now >= self.period_ends_at:
            current = now < self.period_ends_at + PERIOD_S
            self.previous_s = self.longest_s if current else 0.0
            self.longest_s = 0.0
            self.period_ends_at = now + PERIOD_S
        self.longest_s = max(self.longest_s, stated_s)
        total_s = max(self.longest_s, self.previous_s)
        returned = stated_s < (1 - RETURNED_SHARE) * total_s
        self.returned_share += WEIGHT * (returned - self.returned_share)
        if not returned or self.returned_share > MAX_RETURNED_SHARE:
            return UNKNOWN
        # The first try stated a time from the middle of that range on average.
        return Elapsed((1 - RETURNED_SHARE / 2) * total_s - stated_s, True)


class CallerBudgets:
    """Times that callers stated, by route."""

    def __init__(self) -> None:
        self.by_route: dict[str, RouteBudget] = {}

    def record(
        self, route: str, stated_s: float | None, timeout_s: float, now: float
    ) -> Elapsed:
        """Records what a request states and returns what that tells.

        Args:
            route: Name of its route.
            stated_s: How long the caller still waits, in seconds, or None.
            timeout_s: Maximum time that a caller of the route waits. A longer
                stated time counts as this, so that no single caller makes all
                others seem late.
            now: Loop time.
        """
        if stated_s is None:
            return UNKNOWN
        found = self.by_route.get(route)
        if found is None:
            found = self.by_route[route] = RouteBudget(now)
        return found.record(min(stated_s, timeout_s), now)

    def retain_routes(self, routes: frozenset[str]) -> None:
        """Removes routes that are no longer in force."""
        for route in set(self.by_route) - routes:
            del self.by_route[route]
