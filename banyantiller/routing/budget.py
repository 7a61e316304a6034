"""The budget for extra calls: one token bucket for retries and hedges."""


class ExtraCalls:
    """Counts what each call earns and each extra call costs.

    The bucket starts empty, so over any history extra calls are at most
    `percent` of the calls.

    Attributes:
        earned: Tokens that one call adds.
        tokens: Tokens left.
        most: Most tokens that are kept.
    """

    def __init__(self, percent: float, most: float) -> None:
        self.earned = percent / 100
        self.most = most
        self.tokens = 0.0

    def configure(self, percent: float) -> None:
        """Takes a new percentage; keeps the tokens."""
        self.earned = percent / 100

    def earn(self) -> None:
        """Adds what one call earns."""
        self.tokens = min(self.most, self.tokens + self.earned)

    def take(self, reserve: float = 0.0) -> bool:
        """Takes one token if more than `reserve` would be left over."""
        if self.tokens < 1.0 + reserve - 1e-9:
            return False
        self.tokens -= 1.0
        return True
