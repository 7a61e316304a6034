"""Hedge delay: a running estimate of a high quantile of the latency."""

MIN_SAMPLES = 20
MIN_STEP = 0.05


class LatencyQuantile:
    """Estimates one quantile of a stream of latencies.

    Attributes:
        quantile: Share of latencies below the estimate.
        estimate_s: The estimate, 0 before the first latency.
        sample_count: Number of latencies recorded.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.estimate_s = 0.0
        self.sample_count = 0

    def record_latency(self, seconds: float) -> None:
        """Moves the estimate towards one latency."""
        self.sample_count += 1
        if self.sample_count == 1:
            self.estimate_s = seconds
            return
        step = max(MIN_STEP, 1.0 / self.sample_count) * self.estimate_s
        if seconds > self.estimate_s:
            self.estimate_s += step * self.quantile
        else:
            self.estimate_s -= step * (1.0 - self.quantile)

    def delay_s(self) -> float | None:
        """Returns the age at which a call is hedged, None with few samples."""
        if self.sample_count < MIN_SAMPLES:
            return None
        return self.estimate_s
