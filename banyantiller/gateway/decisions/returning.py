"""Which callers come back after a refusal, as far as their requests show it.

The load pattern: servers turn requests away for seconds, and callers that were
refused try once more, mostly for the last time. A caller states with each
request how long it still waits, which is less than the first time.
"""

# A caller that waits for less than this part of the longest time stated came
# back; a first request loses less than that on its way.
FIRST_PART = 0.97
# With each request the longest time is forgotten by this part, as callers may
# begin to state shorter ones.
FORGOTTEN_PART = 0.002


class Returning:
    """Longest times that callers state, by route.

    Attributes:
        longest_s: Longest time stated lately for each route, in seconds.
    """

    def __init__(self) -> None:
        self.longest_s: dict[str, float] = {}

    def came_back(self, route: str, remaining_s: float | None) -> bool:
        """Tells whether a caller was refused before.

        Args:
            route: Name of the request's route.
            remaining_s: Time that its caller waits, in seconds, or None.
        """
        if remaining_s is None:
            return False
        kept = self.longest_s.get(route, 0.0) * (1 - FORGOTTEN_PART)
        longest = max(kept, remaining_s)
        self.longest_s[route] = longest
        return remaining_s < FIRST_PART * longest

    def keep(self, routes: frozenset[str]) -> None:
        """Forgets routes that are not in force any more."""
        for route in set(self.longest_s) - routes:
            del self.longest_s[route]
