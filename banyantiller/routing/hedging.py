"""When to hedge: a running estimate of a high quantile of the latency."""

FIRST_STEPS = 20
LEAST_STEP = 0.05


class LatencyQuantile:
    """Follows one quantile of a stream of latencies.

    Attributes:
        quantile: Share of latencies below the estimate.
        value: The estimate in seconds, 0 while nothing is known.
        seen: Number of latencies taken.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.value = 0.0
        self.seen = 0

    def learn(self, seconds: float) -> None:
        """Takes one latency and moves the estimate towards it."""
        self.seen += 1
        if self.seen == 1:
            self.value = seconds
            return
        step = max(LEAST_STEP, 1.0 / self.seen) * self.value
        if seconds > self.value:
            self.value += step * self.quantile
        else:
            self.value -= step * (1.0 - self.quantile)

    def delay(self) -> float | None:
        """Returns the age at which a call is late, or None if unknown."""
        if self.seen < FIRST_STEPS:
            return None
        return self.value
