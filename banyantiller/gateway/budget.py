"""Repeated sends within a budget that holds for the whole fleet."""

import collections


class RetryBudget:
    """Allows repeated sends as a share of the requests seen lately.

    The fleet's bound is a ratio of all requests plus a fixed number a window.
    A daemon that keeps the ratio on its own requests keeps it for the fleet,
    whatever it believes of the others; only the fixed part is divided.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        ratio: Repeated sends for each request in a window.
        extra: Repeated sends in a window besides.
        requests: Times of requests in the window.
        repeats: Times of repeated sends in the window.
        told_at: Loop time at which it was last said that it is spent.
    """

    def __init__(self, window_s: float, ratio: float, extra: float) -> None:
        self.window_s = window_s
        self.ratio = ratio
        self.extra = extra
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()
        self.told_at = -window_s

    def request(self, now: float) -> None:
        """Counts a request that a caller sent, at a loop time."""
        self._forget(now)
        self.requests.append(now)

    def take(self, now: float, share: float = 1.0) -> bool:
        """Takes one repeated send; False if the budget is used up.

        Args:
            now: Loop time.
            share: Part of the budget that may be used up by this; the rest is
                kept for sends that matter more.
        """
        self._forget(now)
        if len(self.repeats) + 1 > self.most * share:
            return False
        self.repeats.append(now)
        return True

    @property
    def most(self) -> float:
        """How many repeated sends the window allows."""
        return self.ratio * len(self.requests) + self.extra

    def tell(self, now: float) -> bool:
        """Tells whether it is time to say that the budget is spent."""
        if now < self.told_at + self.window_s:
            return False
        self.told_at = now
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] <= oldest:
                times.popleft()
