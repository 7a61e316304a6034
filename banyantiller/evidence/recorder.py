"""Aggregates kernel events into one bounded summary for each period."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from banyantiller.bundle import options
from banyantiller.config import defaults
from banyantiller.evidence import counts as counting
from banyantiller.evidence import rules
from banyantiller.evidence import summary as summaries
from banyantiller.evidence.promises import Promise
from banyantiller.kernel import core, events

log = structlog.get_logger("banyantiller.evidence")

MS_PER_SECOND = 1000
MAX_ID_CHARS = 64
MAX_WATCHED_SERVERS = 4096
BY_BUNDLE = "bundle"

ServerKey = tuple[str, str]


class LeavingServer(NamedTuple):
    """When and why a server was found leaving.

    Attributes:
        at: Time, wall-clock seconds.
        reason: Source of the information, such as `vm_list`.
    """

    at: float
    reason: str


class Recorder:
    """Records the events of the current period.

    Attributes:
        wall: Returns wall-clock seconds.
        most_requests: Maximum number of breaches that a summary lists.
        from_ms: Start of the current period.
        draining: Whether this daemon began its graceful shutdown.
        leaving: Leaving servers, by service and server.
        servers: Servers of the bundle in force, by service and server.
        allowed_s: Seconds for which a leaving server may still get new
            requests, by service.
        rates: Budget of the whole fleet in probes per second, by service.
        counts: Counters of the current period.
    """

    def __init__(self, wall: Callable[[], float], most_requests: int) -> None:
        self.wall = wall
        self.most_requests = most_requests
        self.from_ms = _milliseconds(wall())
        self.draining = False
        self.version = 0
        self.leaving: dict[ServerKey, LeavingServer] = {}
        self.servers: set[ServerKey] = set()
        self.allowed_s: dict[str, float] = {}
        self.rates: dict[str, float] = {}
        self.store_down_since: float | None = None
        self.audit_sequence = 0
        self.audit_digest = ""
        self.counts = counting.PeriodCounts(most_requests)

    @classmethod
    def from_settings(
        cls,
        settings: defaults.Settings,
        kernel: core.Kernel,
        wall: Callable[[], float],
    ) -> "Recorder":
        """Builds a recorder and subscribes it to the kernel's events."""
        recorder = cls(wall, settings.evidence.most_requests)
        handlers: dict[type, core.Handler] = {
            events.CallFinished: recorder.call_finished,
            events.BundleInForce: recorder.bundle_in_force,
            events.BundleRefused: recorder.bundle_refused,
            events.MemberChanged: recorder.member_changed,
            events.ServerLeaving: recorder.server_leaving,
            events.ServerReturned: recorder.server_returned,
            events.StoreState: recorder.store_state,
            events.ProbeCharged: recorder.probe_charged,
            events.PromiseBroken: recorder.promise_broken,
            events.DaemonDraining: recorder.daemon_draining,
        }
        for event_type, handler in handlers.items():
            kernel.subscribe(event_type, handler)
        return recorder

    def configure(self, services: Iterable[options.Service]) -> None:
        """Applies the limits and budgets of a new bundle's services.

        Servers that the bundle no longer names are leaving from now on;
        servers that it names again are not.
        """
        self.allowed_s = {}
        self.rates = {}
        present: set[ServerKey] = set()
        for service in services:
            self.allowed_s[service.name] = service.drain.stop_within_s
            self.rates[service.name] = service.measuring.probes_per_second
            present |= {(service.name, item.name) for item in service.servers}
        for key in self.servers - present:
            self.leaving.pop(key, None)
            self.server_leaving(
                events.ServerLeaving(*key, BY_BUNDLE, self.wall())
            )
        for key in present - self.servers:
            self.leaving.pop(key, None)
        self.servers = present

    def call_finished(self, event: events.CallFinished) -> None:
        """Counts a call and checks it for breaches."""
        self.counts.add_call(event)
        leaving_server = self.leaving.get((event.service, event.server))
        needs_check = event.error is not None or event.cut or event.attempts > 1
        if needs_check or leaving_server is not None:
            self._judge_call(event, leaving_server)

    def bundle_in_force(self, event: events.BundleInForce) -> None:
        """Records a bundle that came into force."""
        self.version = event.version
        self.counts.add_item(
            "bundles",
            summaries.AppliedBundle(
                event.version,
                event.digest[:16],
                _milliseconds(event.accepted_at),
                _milliseconds(event.at),
                event.source,
            ),
        )

    def bundle_refused(self, event: events.BundleRefused) -> None:
        """Records a bundle that was refused."""
        reason = event.reason[: summaries.MAX_TEXT_CHARS]
        at_ms = _milliseconds(event.at)
        self.counts.add_item(
            "refused",
            summaries.BundleRefusal(event.version, reason, event.source, at_ms),
        )

    def member_changed(self, event: events.MemberChanged) -> None:
        """Records a change in the view of a peer."""
        at_ms = _milliseconds(self.wall())
        self.counts.add_item(
            "members",
            summaries.MemberChange(
                event.daemon, event.state, event.incarnation, at_ms
            ),
        )

    def server_leaving(self, event: events.ServerLeaving) -> None:
        """Records that a server is leaving; only the first report counts."""
        key = (event.service, event.server)
        if key in self.leaving:
            return
        if len(self.leaving) < MAX_WATCHED_SERVERS:
            self.leaving[key] = LeavingServer(event.at, event.reason)
        self.counts.add_item(
            "leaving",
            summaries.ServerDeparture(
                event.service,
                event.server,
                event.reason,
                _milliseconds(event.at),
            ),
        )

    def server_returned(self, event: events.ServerReturned) -> None:
        """Records that a server may get requests again."""
        self.leaving.pop((event.service, event.server), None)

    def store_state(self, event: events.StoreState) -> None:
        """Records outages of the object API."""
        if event.reachable:
            self.counts.store_down_ms += self._down_ms(event.at)
            self.store_down_since = None
        elif self.store_down_since is None:
            self.store_down_since = event.at

    def probe_charged(self, event: events.ProbeCharged) -> None:
        """Counts a probe."""
        self.counts.probes[event.service] += 1

    def daemon_draining(self, _: events.DaemonDraining) -> None:
        """Records that this daemon's graceful shutdown began."""
        self.draining = True

    def promise_broken(self, event: events.PromiseBroken) -> None:
        """Records a breach that another module found."""
        if event.promise not in list(Promise):
            log.error(
                "evidence: breach names an unknown promise.",
                promise=event.promise,
            )
            return
        self._record_breach(
            event.promise, event.request_id, event.detail, event.at
        )

    def record_audit_tip(self, sequence: int, digest: str) -> None:
        """Records the tip of the audit trail unless a later one is recorded."""
        if sequence >= self.audit_sequence:
            self.audit_sequence = sequence
            self.audit_digest = digest

    def close_period(
        self, started: bool = False, final: bool = False
    ) -> summaries.Summary:
        """Closes the current period and starts the next one.

        Args:
            started: Whether the daemon has just started.
            final: Whether the daemon is shutting down gracefully.
        """
        now = self.wall()
        to_ms = max(self.from_ms, _milliseconds(now))
        counts = self.counts
        summary = summaries.Summary(
            from_ms=self.from_ms,
            to_ms=to_ms,
            started=started,
            final=final,
            calls=counts.bounded_calls(),
            errors=dict(counts.errors),
            cut=counts.cut,
            runs=counts.runs,
            attempts=counts.attempts,
            retries=counts.retries,
            latency={str(key): n for key, n in counts.durations.items()},
            version=self.version,
            probes=counts.probe_usage(self.rates),
            store_down_ms=counts.store_down_ms + self._down_ms(now),
            breach_counts=dict(counts.breaches),
            omitted=dict(counts.omitted),
            audit_sequence=self.audit_sequence,
            audit_digest=self.audit_digest,
            **{name: tuple(items) for name, items in counts.lists.items()},
        )
        self.from_ms = to_ms
        if self.store_down_since is not None:
            self.store_down_since = now
        self.counts = counting.PeriodCounts(self.most_requests)
        return summary

    def _judge_call(
        self, event: events.CallFinished, leaving_server: LeavingServer | None
    ) -> None:
        now = self.wall()
        since_s = None
        if leaving_server is not None:
            sent_at = now - event.duration_s + event.sent_after_s
            since_s = sent_at - leaving_server.at
        allowed_s = self.allowed_s.get(
            event.service, options.DrainPolicy().stop_within_s
        )
        leaving = rules.LeavingState(self.draining, since_s, allowed_s)
        for breach in rules.find_breaches(event, leaving):
            self._record_breach(
                breach.promise, event.request_id, breach.detail, now
            )

    def _record_breach(
        self, promise: str, request_id: str, detail: str, at: float
    ) -> None:
        log.error(
            "evidence: a promise was broken.",
            promise=str(promise),
            request_id=request_id,
            detail=detail,
        )
        self.counts.breaches[str(promise)] += 1
        self.counts.add_item(
            "breaches",
            summaries.ObservedBreach(
                str(promise),
                request_id[:MAX_ID_CHARS],
                detail[: summaries.MAX_TEXT_CHARS],
                _milliseconds(at),
            ),
        )

    def _down_ms(self, now: float) -> int:
        if self.store_down_since is None:
            return 0
        return max(0, _milliseconds(now - self.store_down_since))


def _milliseconds(seconds: float) -> int:
    return round(seconds * MS_PER_SECOND)
