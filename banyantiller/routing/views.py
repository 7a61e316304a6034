"""What one daemon believes of one server, with the age of what it knows."""

import dataclasses
import math

from banyantiller.routing.types import LoadReport, ServerState

LATENCY_WEIGHT = 0.15
LONG_AGO = -1e9


@dataclasses.dataclass(slots=True, eq=False)
class ServerView:
    """State about one server.

    Attributes:
        state: What the bundle and the VM list say.
        local: Whether it is in this daemon's availability zone.
        slots: Requests that it runs at once.
        own: Start time by number of this daemon's tries on it.
        others: Requests of other daemons on it, as last reported.
        others_at: When that was true.
        doubt: Moving share of reports that own tries showed to be wrong.
        latency: Moving average of the time to an answer head, 0 if unknown.
        latency_at: When the average last changed.
        given_up: Overdue tries given up since the last good answer.
        watched: Whether it was slow, failing or cold lately.
        draining: Whether it said that it is leaving.
        held_until: Gets nothing before this time, because it said so.
        failures: Moving share of failures, 0 to 1.
        failed_at: When it last failed.
        ejected_until: Ejected until then.
        ejections: Ejections in a row, for their length.
        trial: Whether a try after an ejection is awaited.
        probing: Whether a probe is on its way.
        warm_from: When its cold-start ramp began.
        closed_until: Latest time before which it gets nothing, for any of
            these reasons.
    """

    state: ServerState
    local: bool
    slots: int
    own: dict[int, float] = dataclasses.field(default_factory=dict)
    others: float = 0.0
    others_at: float = LONG_AGO
    doubt: float = 0.0
    latency: float = 0.0
    latency_at: float = LONG_AGO
    given_up: int = 0
    watched: bool = False
    draining: bool = False
    held_until: float = LONG_AGO
    failures: float = 0.0
    failed_at: float = LONG_AGO
    ejected_until: float = LONG_AGO
    ejections: int = 0
    trial: bool = False
    probing: bool = False
    warm_from: float = LONG_AGO
    closed_until: float = LONG_AGO

    def is_usable(self) -> bool:
        """Tells whether it may get new calls at all."""
        return not (self.state.leaving or self.draining)

    def update_closed(self) -> None:
        """Works out `closed_until` after a change of its reasons."""
        if self.probing or not self.is_usable():
            self.closed_until = math.inf
        else:
            self.closed_until = max(self.ejected_until, self.held_until)

    def settled(self, latest: float) -> int:
        """Counts own tries that started at `latest` or before."""
        return sum(1 for started in self.own.values() if started <= latest)

    def learn_load(self, report: LoadReport, now: float) -> bool:
        """Takes the server's own word on its load.

        Args:
            report: Requests on the server, with the answered one.
            now: Time of arrival.

        Returns:
            Whether it is newer than what was known.
        """
        if report.draining != self.draining:
            self.draining = report.draining
            self.update_closed()
        taken_at = now - report.age_s
        if taken_at < self.others_at:
            return False
        self.others = max(0.0, report.in_flight - len(self.own))
        self.others_at = taken_at
        return True

    def learn_latency(self, seconds: float, now: float) -> None:
        """Takes the time that one answer head took."""
        if self.latency == 0.0:
            self.latency = seconds
        else:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
        self.latency_at = now
