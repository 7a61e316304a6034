"""What one daemon believes of one server, with the age of what it knows."""

import dataclasses
import math

from banyantiller.routing.types import LoadReport, ServerState

LATENCY_EWMA_WEIGHT = 0.15
DISTANT_PAST = -1e9


@dataclasses.dataclass(slots=True, eq=False)
class ServerView:
    """State about one server.

    Attributes:
        server: What the bundle and the VM list say.
        in_local_zone: Whether it is in this daemon's availability zone.
        slots: Requests that it runs at once.
        local_attempts: Start time by number of this daemon's tries on it.
        peer_requests: Requests of other daemons on it, as last reported.
        peer_requests_at: When that was true.
        distrust: Moving share of reports that own tries showed to be wrong.
        latency_s: Moving average of the time to an answer head, 0 if unknown.
        latency_updated_at: When the average last changed.
        overdue_cancellations: Overdue tries given up since the last good
            answer.
        possibly_slow: Whether it was slow, failing or cold lately.
        draining: Whether it said that it is leaving.
        backoff_until: Gets nothing before this time, because it said so.
        failure_rate: Moving share of failures, 0 to 1.
        last_failed_at: When it last failed.
        ejected_until: Ejected until then.
        ejection_count: Ejections in a row, for their length.
        awaiting_trial: Whether a try after an ejection is awaited.
        probing: Whether a probe is on its way.
        ramp_started_at: When its cold-start ramp began.
        unavailable_until: Latest time before which it gets nothing, for any of
            these reasons.
    """

    server: ServerState
    in_local_zone: bool
    slots: int
    local_attempts: dict[int, float] = dataclasses.field(default_factory=dict)
    peer_requests: float = 0.0
    peer_requests_at: float = DISTANT_PAST
    distrust: float = 0.0
    latency_s: float = 0.0
    latency_updated_at: float = DISTANT_PAST
    overdue_cancellations: int = 0
    possibly_slow: bool = False
    draining: bool = False
    backoff_until: float = DISTANT_PAST
    failure_rate: float = 0.0
    last_failed_at: float = DISTANT_PAST
    ejected_until: float = DISTANT_PAST
    ejection_count: int = 0
    awaiting_trial: bool = False
    probing: bool = False
    ramp_started_at: float = DISTANT_PAST
    unavailable_until: float = DISTANT_PAST

    def is_usable(self) -> bool:
        """Tells whether it may get new calls at all."""
        return not (self.server.leaving or self.draining)

    def update_availability(self) -> None:
        """Works out `closed_until` after a change of its reasons."""
        if self.probing or not self.is_usable():
            self.unavailable_until = math.inf
        else:
            self.unavailable_until = max(self.ejected_until, self.backoff_until)

    def count_started_by(self, started_by: float) -> int:
        """Counts own tries that started at `latest` or before."""
        return sum(
            1
            for started in self.local_attempts.values()
            if started <= started_by
        )

    def update_load(self, report: LoadReport, now: float) -> bool:
        """Takes the server's own word on its load.

        Args:
            report: Requests on the server, with the answered one.
            now: Time of arrival.

        Returns:
            Whether it is newer than what was known.
        """
        if report.draining != self.draining:
            self.draining = report.draining
            self.update_availability()
        measured_at = now - report.age_s
        if measured_at < self.peer_requests_at:
            return False
        self.peer_requests = max(
            0.0, report.in_flight - len(self.local_attempts)
        )
        self.peer_requests_at = measured_at
        return True

    def record_latency(self, seconds: float, now: float) -> None:
        """Takes the time that one answer head took."""
        if self.latency_s == 0.0:
            self.latency_s = seconds
        else:
            self.latency_s += LATENCY_EWMA_WEIGHT * (seconds - self.latency_s)
        self.latency_updated_at = now
