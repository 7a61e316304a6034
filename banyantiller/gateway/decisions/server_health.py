"""What a daemon believes of one server, from what it saw itself."""

import math

# A server that did not answer is left out for this long at first, doubled at
# each further silence: an outage of milliseconds costs little, a dead server
# is asked about twice in the time that its registration takes to lapse (4.5 s
# at a heartbeat of 1.5 s).
FIRST_UNRESPONSIVE_S = 0.5
MAX_UNRESPONSIVE_S = 4.0
# Half-life of the failure rate: half of what a server did wrong is forgotten
# within the shortest fault worth avoiding, some seconds.
FAILURE_HALF_LIFE_S = 3.0
# Failure rate of a server that failed several other daemons: it costs as much
# as one that takes five times as long.
REPORTED_FAILING_RATE = 0.5
# Weight of one result in the failure rate.
RESULT_WEIGHT = 0.25


class ServerHealth:
    """Silence and failures of one server.

    Attributes:
        unresponsive_until: Loop time until which it is left out.
        missed_responses: Times in a row that it did not answer.
        failure_rate: Share of its lately tried requests that failed, 0 to 1.
        rate_changed_at: Loop time of the last change of the rate.
        reported_failing_until: Loop time until which others' failures count.
    """

    def __init__(self) -> None:
        self.unresponsive_until = -math.inf
        self.missed_responses = 0
        self.failure_rate = 0.0
        self.rate_changed_at = 0.0
        self.reported_failing_until = -math.inf

    def is_unresponsive(self, now: float) -> bool:
        """Tells whether the server is believed dead at a loop time."""
        return now < self.unresponsive_until

    def failure_rate_at(self, now: float) -> float:
        """Returns the failure rate at a loop time, old failures faded."""
        rate = self._own_failures(now)
        return (
            max(rate, REPORTED_FAILING_RATE)
            if now < self.reported_failing_until
            else rate
        )

    def mark_failing(self, until: float, now: float) -> bool:
        """Notes that it failed others; True if it was not doubted before."""
        is_new = self.reported_failing_until <= now
        self.reported_failing_until = until
        return is_new

    def _own_failures(self, now: float) -> float:
        age = max(0.0, now - self.rate_changed_at)
        return self.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def record_response(self) -> bool:
        """Notes that the server is alive; True if it was believed dead."""
        was_silent = self.missed_responses > 0
        self.missed_responses = 0
        self.unresponsive_until = -math.inf
        return was_silent

    def record_no_response(self, now: float) -> bool:
        """Notes that it did not answer; True if it was believed alive."""
        was_alive = self.missed_responses == 0
        pause = FIRST_UNRESPONSIVE_S * 2**self.missed_responses
        self.unresponsive_until = now + min(pause, MAX_UNRESPONSIVE_S)
        self.missed_responses = min(self.missed_responses + 1, 8)
        return was_alive

    def record_result(self, successful: bool, now: float) -> None:
        """Notes how a request at the server ended."""
        faded = self._own_failures(now)
        self.failure_rate = faded + RESULT_WEIGHT * ((not successful) - faded)
        self.rate_changed_at = now
