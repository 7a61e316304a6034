"""The budget for extra calls: one token bucket for retries and hedges."""


class RetryBudget:
    """Counts what each call earns and each extra call costs.

    The bucket starts empty, so over any history extra calls are at most
    `percent` of the calls.

    Attributes:
        tokens_per_call: Tokens that one call adds.
        tokens: Tokens left.
        max_tokens: Most tokens that are kept.
    """

    def __init__(self, percent: float, max_tokens: float) -> None:
        self.tokens_per_call = percent / 100
        self.max_tokens = max_tokens
        self.tokens = 0.0

    def configure(self, percent: float) -> None:
        """Takes a new percentage; keeps the tokens."""
        self.tokens_per_call = percent / 100

    def record_call(self) -> None:
        """Adds what one call earns."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_call)

    def spend_token(self, reserve: float = 0.0) -> bool:
        """Takes one token if more than `reserve` would be left over."""
        if self.tokens < 1.0 + reserve - 1e-9:
            return False
        self.tokens -= 1.0
        return True
