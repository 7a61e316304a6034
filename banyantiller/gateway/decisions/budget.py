"""Limits retries to a budget that holds for the whole fleet.

Load pattern: for some seconds all servers of a service reject half of the
requests although they have free slots. A probe does not show which server
will, and more retries are needed than the budget allows. The fleet's budget is
divided into many small shares: a daemon with one request a second may retry
four times in ten seconds.

Each daemon rounds its share at random. If all of them rounded down, half a
retry per daemon would stay unused.
"""

import collections
import math
import random


def rounding(daemon: str, service: str) -> float:
    """Draws a daemon's rounding offset; see `RetryBudget.rounding`.

    The offset is the same after each restart, so that a daemon cannot draw a
    larger one by restarting.
    """
    return random.Random(f"{daemon} {service}").random()


class MinShare:
    """The smallest share of a shared budget within the last window.

    A daemon that used its largest share at once would spend again what a peer
    spent before it crashed, or what it spent itself before a restart. With the
    smallest share of a window, any two shares that are used in one window were
    both assigned at its start, when all shares added up to the whole at most.

    Attributes:
        window_s: Length of the window, in seconds.
        shares: Loop times and shares; each share is smaller than those after
            it.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self.window_s = window_s
        # No share was assigned before the start.
        self.shares: collections.deque[tuple[float, float]] = collections.deque(
            [(now, 0.0)]
        )

    def record(self, share: float, now: float) -> None:
        """Records the share that is assigned from a loop time on."""
        if share == self.shares[-1][1]:
            return
        while self.shares and self.shares[-1][1] > share:
            self.shares.pop()
        if not self.shares or self.shares[-1][1] != share:
            self.shares.append((now, share))

    def minimum(self, now: float) -> float:
        """Returns the smallest share in the window before a loop time."""
        oldest = now - self.window_s
        while len(self.shares) > 1 and self.shares[1][0] <= oldest:
            self.shares.popleft()
        return self.shares[0][1]


class RetryBudget:
    """Allows retries as a ratio of the recent requests.

    The fleet's limit is a ratio of all requests plus a fixed number per window.
    If each daemon keeps the ratio for its own requests, the fleet keeps it too,
    however wrong a daemon's view of its peers is. Only the fixed number is
    divided among the daemons.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        ratio: Retries allowed for each request in a window.
        extra: Additional retries allowed in a window.
        rounding: Added to the number of retries that the window allows, from 0
            to below 1. Fractions of retries are lost if each daemon rounds
            down; with random offsets the shares of all daemons add up to the
            whole.
        requests: Loop times of the requests in the window.
        retries: Loop times of the retries in the window.
        reported_spent_at: Loop time of the last report that the budget is
            spent.
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
        """Counts a request of a caller, at a loop time."""
        self._expire(now)
        self.requests.append(now)

    def try_spend(self, now: float, budget_share: float = 1.0) -> bool:
        """Spends one retry; returns False if the budget is spent.

        Args:
            now: Loop time.
            budget_share: Share of the budget that this kind of retry may use
                up. The rest is reserved for more important retries.
        """
        if not self.may_spend(now, budget_share):
            return False
        self.retries.append(now)
        return True

    def may_spend(self, now: float, budget_share: float = 1.0) -> bool:
        """Returns whether a retry may be spent; see `try_spend`."""
        self._expire(now)
        allowed = self.max_retries * budget_share + self.rounding
        return len(self.retries) + 1 <= allowed

    @property
    def retries_per_request(self) -> float:
        """Number of retries that the window allows for each request."""
        return self.max_retries / max(1, len(self.requests))

    @property
    def max_retries(self) -> float:
        """Number of retries that the window allows."""
        return self.ratio * len(self.requests) + self.extra

    def should_report_spent(self, now: float) -> bool:
        """Returns whether to report now that the budget is spent.

        At most one report is made per window.
        """
        if now < self.reported_spent_at + self.window_s:
            return False
        self.reported_spent_at = now
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= oldest:
                times.popleft()
