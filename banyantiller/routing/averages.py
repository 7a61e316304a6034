"""Averages over a service, with which single servers are compared."""

import collections

INITIAL_SERVICE_TIME_S = 0.02
MIN_SERVICE_TIME_S = 1e-4
EWMA_WEIGHT = 0.02


class ServiceAverages:
    """Averages over all servers of one service.

    Attributes:
        service_time_s: Moving average of the time to a response head; an
            assumed value before the first response.
        average_queue_ahead: Average number of requests that a new call waits
            for at a server, by the number of slots that this daemon's own
            requests leave free there.
        responses: Number of response heads seen.
        distrust: Moving average of the share of load reports that this
            daemon's own attempts proved wrong.
    """

    def __init__(self) -> None:
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.responses = 0
        self.distrust = 0.0
        self.average_queue_ahead: dict[int, float] = collections.defaultdict(
            float
        )

    def add_initial_estimates(self, slots: int) -> None:
        """Adds estimates for servers with `slots` slots, before any report."""
        for local_requests in range(slots + 1):
            free_slots = slots - local_requests
            self.average_queue_ahead.setdefault(
                free_slots, max(0.0, 1.0 - free_slots) + local_requests / slots
            )

    def record_latency(self, seconds: float) -> None:
        """Updates the average service time with one response."""
        self.responses += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.responses)
        moved = self.service_time_s + weight * (seconds - self.service_time_s)
        self.service_time_s = max(moved, MIN_SERVICE_TIME_S)

    def record_peer_requests(self, peer_requests: float) -> None:
        """Updates the averages with a report of peers' requests on a server."""
        average_queue_ahead = self.average_queue_ahead
        for free_slots, before in average_queue_ahead.items():
            waiting = peer_requests + 1.0 - free_slots
            if waiting < 0.0:
                waiting = 0.0
            average_queue_ahead[free_slots] = before + EWMA_WEIGHT * (
                waiting - before
            )
