"""What one daemon believes of one server, with the age of what it knows."""

import dataclasses

from banyantiller.routing.types import LoadReport, ServerState

LATENCY_WEIGHT = 0.15
LONG_AGO = -1e9


@dataclasses.dataclass(slots=True, eq=False)
class ServerView:
    """State about one server.

    Attributes:
        state: What the bundle and the VM list say.
        local: Whether it is in this daemon's availability zone.
        own: Start time by number of this daemon's tries on it.
        others: Requests of other daemons on it, as last reported.
        others_at: When that was true.
        peers: Sum of what other daemons say they have on it.
        peers_at: When that was true.
        latency: Moving average of the time to an answer head, 0 if unknown.
        latency_at: When the average last changed.
        draining: Whether it said that it is leaving.
        limit: Most own tries at once.
        hold_until: Gets nothing before this time, because it said so.
        failures: Moving share of failures, 0 to 1.
        failed_at: When it last failed.
        ejected_until: Ejected until then.
        ejections: Ejections in a row, for their length.
        trial: Whether a try after an ejection is awaited.
        probing: Whether a probe is on its way.
        recovering: Whether the end of its ejection is planned for.
        warm_from: When its cold-start ramp began.
    """

    state: ServerState
    local: bool
    own: dict[int, float] = dataclasses.field(default_factory=dict)
    others: float = 0.0
    others_at: float = LONG_AGO
    peers: float = 0.0
    peers_at: float = LONG_AGO
    latency: float = 0.0
    latency_at: float = LONG_AGO
    draining: bool = False
    limit: float = 1.0
    hold_until: float = LONG_AGO
    failures: float = 0.0
    failed_at: float = LONG_AGO
    ejected_until: float = LONG_AGO
    ejections: int = 0
    trial: bool = False
    probing: bool = False
    recovering: bool = False
    warm_from: float = LONG_AGO

    def oldest_start(self) -> float | None:
        """Returns the start of the oldest own try, or None."""
        for started in self.own.values():
            return started
        return None

    def learn_load(self, report: LoadReport, own_then: int, now: float) -> None:
        """Takes the server's own word on its load.

        Args:
            report: Requests on the server, without the answered one.
            own_then: How many of them are this daemon's.
            now: Time of arrival.
        """
        self.draining = report.draining
        taken_at = now - report.age_s
        if taken_at < self.others_at:
            return
        self.others = max(0.0, report.in_flight - own_then)
        self.others_at = taken_at

    def learn_latency(self, seconds: float, now: float) -> None:
        """Takes the time that one answer head took."""
        if self.latency == 0.0:
            self.latency = seconds
        else:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
        self.latency_at = now
