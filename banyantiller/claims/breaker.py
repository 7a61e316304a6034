"""Stops asking an object API that does not answer."""

FAILURES_TO_STOP = 3
TRIAL_S = 0.5


class Breaker:
    """Lets one trial in `TRIAL_S` through while calls fail.

    Attributes:
        failures: Calls in a row that were not answered.
        trial_at: Loop time of the next trial.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.trial_at = 0.0

    def answered(self) -> None:
        """A call was answered."""
        self.failures = 0

    def failed(self, now: float) -> None:
        """A call was not answered."""
        self.failures += 1
        if self.failures == FAILURES_TO_STOP:
            self.trial_at = now + TRIAL_S

    def may_try(self, now: float) -> bool:
        """Tells whether to call, and counts that as the trial."""
        if self.failures < FAILURES_TO_STOP:
            return True
        if now < self.trial_at:
            return False
        self.trial_at = now + TRIAL_S
        return True
