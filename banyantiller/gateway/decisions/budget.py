"""Repeated sends within a budget that holds for the whole fleet.

The load pattern: all servers of a service turn half of the requests away for
seconds, although they have room. Which one does, no question foretells, and
more tries are wanted than the budget bears. The fleet's budget is in many small
parts: a daemon with a request a second may repeat four in ten seconds.

Each daemon rounds its part, so that a fleet that always rounds down leaves a
half of a try a daemon unused.
"""

import collections
import math
import random


def rounding(daemon: str, service: str) -> float:
    """Draws how a daemon rounds its part; see `RetryBudget.rounding`.

    The same after each start, so that starts draw nothing better.
    """
    return random.Random(f"{daemon} {service}").random()


class MinShare:
    """The least part of a shared budget that was held in the last window.

    Who counts on the greatest part at once uses again what another daemon used
    and died with, or what it used itself before it was started anew. With the
    least part of a window, two parts used in one window were both held at its
    begin, when all of them added up to the whole at most.

    Attributes:
        window_s: Length of the window, in seconds.
        held: Times and parts, each less than those after it.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        # Nothing was held before the start.
        self.held: collections.deque[tuple[float, float]] = collections.deque(
            [(now, 0.0)]
        )

    def record(self, share: float, now: float) -> None:
        """Notes the part that is held from a loop time on."""
        if share == self.held[-1][1]:
            return
        while self.held and self.held[-1][1] > share:
            self.held.pop()
        if not self.held or self.held[-1][1] != share:
            self.held.append((now, share))

    def minimum(self, now: float) -> float:
        """Returns the least part held in the window before a loop time."""
        oldest = now - self.window_s
        while len(self.held) > 1 and self.held[1][0] <= oldest:
            self.held.popleft()
        return self.held[0][1]


class RetryBudget:
    """Allows repeated sends as a share of the requests seen lately.

    The fleet's bound is a ratio of all requests plus a fixed number a window.
    A daemon that keeps the ratio on its own requests keeps it for the fleet,
    whatever it believes of the others; only the fixed part is divided.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        ratio: Repeated sends for each request in a window.
        extra: Repeated sends in a window besides.
        rounding: Added to what the window allows, from 0 to below 1. Parts of
            sends are lost where each daemon rounds down; rounded by chance, the
            parts of all daemons add up to the whole.
        requests: Times of requests in the window.
        retries: Times of repeated sends in the window.
        reported_spent_at: Loop time at which it was last said that it is spent.
    """

    def __init__(
        self,
        window_s: float,
        ratio: float,
        extra: float,
        rounding: float = 0.0,
    ) -> None:
        self.window_s = window_s
        self.ratio = ratio
        self.extra = extra
        self.rounding = rounding
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.reported_spent_at = -math.inf

    def record_request(self, now: float) -> None:
        """Counts a request that a caller sent, at a loop time."""
        self._forget(now)
        self.requests.append(now)

    def try_spend(self, now: float, budget_share: float = 1.0) -> bool:
        """Takes one repeated send; False if the budget is used up.

        Args:
            now: Loop time.
            budget_share: Part of the budget that may be used up by this; the
                rest is kept for sends that matter more.
        """
        self._forget(now)
        if (
            len(self.retries) + 1
            > self.max_retries * budget_share + self.rounding
        ):
            return False
        self.retries.append(now)
        return True

    @property
    def max_retries(self) -> float:
        """How many repeated sends the window allows."""
        return self.ratio * len(self.requests) + self.extra

    def should_report_spent(self, now: float) -> bool:
        """Tells whether it is time to say that the budget is spent."""
        if now < self.reported_spent_at + self.window_s:
            return False
        self.reported_spent_at = now
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= oldest:
                times.popleft()
