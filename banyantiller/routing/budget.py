"""The retry budget: one token bucket for retries and hedges."""


class RetryBudget:
    """Token bucket that calls fill and that retries and hedges empty.

    The bucket starts empty, so that at any time retries and hedges are at most
    `percent` of the calls so far.

    Attributes:
        tokens_per_call: Tokens that one call adds.
        tokens: Tokens left.
        max_tokens: Capacity of the bucket.
    """

    def __init__(self, percent: float, max_tokens: float) -> None:
        self.tokens_per_call = percent / 100
        self.max_tokens = max_tokens
        self.tokens = 0.0

    def configure(self, percent: float) -> None:
        """Changes the percentage; keeps the tokens."""
        self.tokens_per_call = percent / 100

    def record_call(self) -> None:
        """Adds the tokens of one call."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_call)

    def spend_token(self, reserve: float = 0.0) -> bool:
        """Spends one token unless fewer than `reserve` would be left.

        Returns:
            Whether the token was spent.
        """
        if self.tokens < 1.0 + reserve - 1e-9:
            return False
        self.tokens -= 1.0
        return True
