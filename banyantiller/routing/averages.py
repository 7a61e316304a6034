"""Averages over a service that give each server's figures a scale."""

import collections

INITIAL_SERVICE_TIME_S = 0.02
MIN_SERVICE_TIME_S = 1e-4
EWMA_WEIGHT = 0.02


class ServiceAverages:
    """What is usual at the servers of one service.

    Attributes:
        service_time_s: Moving average of the time to an answer head; a guess
            before the first.
        average_queue_ahead: By free slots besides other daemons' requests, how
            many
            requests a new call waits for at a usual server.
        responses: Number of answer heads seen.
        distrust: Moving share of reports that own tries showed to be wrong.
    """

    def __init__(self) -> None:
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.responses = 0
        self.distrust = 0.0
        self.average_queue_ahead: dict[int, float] = collections.defaultdict(
            float
        )

    def add_initial_estimates(self, slots: int) -> None:
        """Guesses waits at servers of so many slots, before any report."""
        for local_requests in range(slots + 1):
            free_slots = slots - local_requests
            self.average_queue_ahead.setdefault(
                free_slots, max(0.0, 1.0 - free_slots) + local_requests / slots
            )

    def record_latency(self, seconds: float) -> None:
        """Takes the time that one answer head took."""
        self.responses += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.responses)
        moved = self.service_time_s + weight * (seconds - self.service_time_s)
        self.service_time_s = max(moved, MIN_SERVICE_TIME_S)

    def record_peer_requests(self, peer_requests: float) -> None:
        """Takes one report of other daemons' requests on a server."""
        average_queue_ahead = self.average_queue_ahead
        for free_slots, before in average_queue_ahead.items():
            waiting = peer_requests + 1.0 - free_slots
            if waiting < 0.0:
                waiting = 0.0
            average_queue_ahead[free_slots] = before + EWMA_WEIGHT * (
                waiting - before
            )
