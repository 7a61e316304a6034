"""One daemon's view of one server, with the age of each estimate."""

import dataclasses
import math

from banyantiller.routing.types import LoadReport, ServerState

LATENCY_EWMA_WEIGHT = 0.15
DISTANT_PAST = -1e9


@dataclasses.dataclass(slots=True, eq=False)
class ServerView:
    """State and estimates of one server; times are the loop's.

    Attributes:
        server: Its state according to the bundle and the VM list.
        in_local_zone: Whether it is in this daemon's availability zone.
        slots: Requests that it runs at once.
        local_attempts: Start times of this daemon's attempts on it, by number.
        peer_requests: Requests of peers on it, as last reported.
        peer_requests_at: Time at which that was measured.
        distrust: Moving average of the share of load reports that this
            daemon's own attempts proved wrong.
        latency_s: Moving average of the time to a response head, 0 if unknown.
        latency_updated_at: Last change of that average.
        overdue_cancellations: Overdue attempts cancelled since the last
            successful response.
        possibly_slow: Whether it was slow, failing or new recently, so that its
            slowdown has to be computed.
        draining: Whether it reported that it drains.
        backoff_until: End of the time in which it asked for no requests.
        failure_rate: Moving average of failures, 0 to 1.
        last_failed_at: Time of its last failure.
        ejected_until: End of its ejection.
        ejection_count: Ejections in a row, which set the length of the next.
        awaiting_trial: Whether a trial has to succeed after an ejection.
        probing: Whether a probe is running.
        ramp_started_at: Start of its ramp as a new server.
        unavailable_until: Latest end of the reasons for which it gets no
            requests.
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
        """Returns whether new calls may go to it; ignores temporary pauses."""
        return not (self.server.leaving or self.draining)

    def update_availability(self) -> None:
        """Recomputes `unavailable_until` after a change of its reasons."""
        if self.probing or not self.is_usable():
            self.unavailable_until = math.inf
        else:
            self.unavailable_until = max(self.ejected_until, self.backoff_until)

    def count_started_by(self, started_by: float) -> int:
        """Counts this daemon's attempts that started by `started_by`."""
        return sum(
            1
            for started in self.local_attempts.values()
            if started <= started_by
        )

    def update_load(self, report: LoadReport, now: float) -> bool:
        """Applies a load report of the server itself.

        Args:
            report: Requests on the server, including the one whose response
                carries the report.
            now: Time of arrival.

        Returns:
            Whether the report is at least as recent as the last one.
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
        """Updates the average latency with one response head."""
        if self.latency_s == 0.0:
            self.latency_s = seconds
        else:
            self.latency_s += LATENCY_EWMA_WEIGHT * (seconds - self.latency_s)
        self.latency_updated_at = now
