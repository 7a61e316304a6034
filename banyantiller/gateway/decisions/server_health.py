"""Health of one server, as this daemon observed it or peers reported it."""

import math

# A server that does not respond is skipped for this long at first, and twice as
# long after each further missed response. An outage of milliseconds costs
# little, and a dead server is probed about twice before its registration lapses
# (4.5 s at a heartbeat of 1.5 s).
FIRST_UNRESPONSIVE_S = 0.5
MAX_UNRESPONSIVE_S = 4.0
# Half-life of the failure rate: within the shortest fault worth avoiding, which
# lasts some seconds, half of a server's failures are forgotten.
FAILURE_HALF_LIFE_S = 3.0
# Failure rate of a server that failed several peers: it costs as much as one
# whose requests take five times as long.
REPORTED_FAILING_RATE = 0.5
# Weight of one result in the failure rate.
RESULT_WEIGHT = 0.25


class ServerHealth:
    """Missed responses and failures of one server.

    Attributes:
        unresponsive_until: Loop time until which it is skipped.
        missed_responses: Number of consecutive missed responses.
        failure_rate: Share of its recent requests that failed, 0 to 1, as of
            `rate_changed_at`.
        rate_changed_at: Loop time of the last change of the rate.
        reported_failing_until: Loop time until which the failures that peers
            reported count.
    """

    def __init__(self) -> None:
        self.unresponsive_until = -math.inf
        self.missed_responses = 0
        self.failure_rate = 0.0
        self.rate_changed_at = 0.0
        self.reported_failing_until = -math.inf

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether the server is skipped at a loop time."""
        return now < self.unresponsive_until

    def failure_rate_at(self, now: float) -> float:
        """Returns the failure rate at a loop time, with its decay applied."""
        rate = self._local_failure_rate(now)
        return (
            max(rate, REPORTED_FAILING_RATE)
            if now < self.reported_failing_until
            else rate
        )

    def mark_failing(self, until: float, now: float) -> bool:
        """Records that it failed peers; returns whether that is new."""
        is_new = self.reported_failing_until <= now
        self.reported_failing_until = until
        return is_new

    def _local_failure_rate(self, now: float) -> float:
        age_s = max(0.0, now - self.rate_changed_at)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def record_response(self) -> bool:
        """Records a response; returns whether it was unresponsive before."""
        was_unresponsive = self.missed_responses > 0
        self.missed_responses = 0
        self.unresponsive_until = -math.inf
        return was_unresponsive

    def record_no_response(self, now: float) -> bool:
        """Records a missed response; returns whether it is the first."""
        was_responsive = self.missed_responses == 0
        pause_s = FIRST_UNRESPONSIVE_S * 2**self.missed_responses
        self.unresponsive_until = now + min(pause_s, MAX_UNRESPONSIVE_S)
        self.missed_responses = min(self.missed_responses + 1, 8)
        return was_responsive

    def end_pause(self) -> None:
        """Ends the time for which the server is skipped."""
        self.unresponsive_until = -math.inf

    def record_result(self, successful: bool, now: float) -> None:
        """Records whether a request at the server succeeded."""
        rate = self._local_failure_rate(now)
        self.failure_rate = rate + RESULT_WEIGHT * ((not successful) - rate)
        self.rate_changed_at = now
