"""Averages over a service that give each server's figures a scale."""

import collections

FIRST_SERVICE_S = 0.02
LEAST_SERVICE_S = 1e-4
AVERAGE_WEIGHT = 0.02


class Believed:
    """What is usual at the servers of one service.

    Attributes:
        service_s: Moving average of the time to an answer head; a guess
            before the first.
        excess: By free slots besides other daemons' requests, how many
            requests a new call waits for at a usual server.
        answers: Number of answer heads seen.
        doubt: Moving share of reports that own tries showed to be wrong.
    """

    def __init__(self) -> None:
        self.service_s = FIRST_SERVICE_S
        self.answers = 0
        self.doubt = 0.0
        self.excess: dict[int, float] = collections.defaultdict(float)

    def prepare(self, slots: int) -> None:
        """Guesses waits at servers of so many slots, before any report."""
        for own in range(slots + 1):
            free = slots - own
            self.excess.setdefault(free, max(0.0, 1.0 - free) + own / slots)

    def learn_latency(self, seconds: float) -> None:
        """Takes the time that one answer head took."""
        self.answers += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / self.answers)
        moved = self.service_s + weight * (seconds - self.service_s)
        self.service_s = max(moved, LEAST_SERVICE_S)

    def learn_others(self, others: float) -> None:
        """Takes one report of other daemons' requests on a server."""
        excess = self.excess
        for free, before in excess.items():
            waiting = others + 1.0 - free
            if waiting < 0.0:
                waiting = 0.0
            excess[free] = before + AVERAGE_WEIGHT * (waiting - before)
