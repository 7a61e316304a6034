"""A circuit breaker for calls to an object API that does not respond."""

MAX_FAILURES = 3
TRIAL_INTERVAL_S = 0.5


class CircuitBreaker:
    """Allows one trial call per `TRIAL_INTERVAL_S` while it is open.

    It opens after `MAX_FAILURES` consecutive failures.

    Attributes:
        failures: Number of consecutive calls without a response.
        next_trial_at: Loop time of the next trial, in seconds.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.next_trial_at = 0.0

    def record_success(self) -> None:
        """Records a call that got a response; closes the breaker."""
        self.failures = 0

    def record_failure(self, now: float) -> None:
        """Records a call that got no response."""
        self.failures += 1
        if self.failures == MAX_FAILURES:
            self.next_trial_at = now + TRIAL_INTERVAL_S

    def allows_call(self, now: float) -> bool:
        """Returns whether a call is allowed; counts it as the trial."""
        if self.failures < MAX_FAILURES:
            return True
        if now < self.next_trial_at:
            return False
        self.next_trial_at = now + TRIAL_INTERVAL_S
        return True
