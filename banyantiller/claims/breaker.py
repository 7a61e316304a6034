"""Stops asking an object API that does not answer."""

MAX_FAILURES = 3
TRIAL_INTERVAL_S = 0.5


class CircuitBreaker:
    """Lets one trial in `TRIAL_S` through while calls fail.

    Attributes:
        failures: Calls in a row that were not answered.
        trial_at: Loop time of the next trial.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.next_trial_at = 0.0

    def record_success(self) -> None:
        """A call was answered."""
        self.failures = 0

    def record_failure(self, now: float) -> None:
        """A call was not answered."""
        self.failures += 1
        if self.failures == MAX_FAILURES:
            self.next_trial_at = now + TRIAL_INTERVAL_S

    def allows_call(self, now: float) -> bool:
        """Tells whether to call, and counts that as the trial."""
        if self.failures < MAX_FAILURES:
            return True
        if now < self.next_trial_at:
            return False
        self.next_trial_at = now + TRIAL_INTERVAL_S
        return True
