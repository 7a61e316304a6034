"""The metrics page of the gateway; loaded at the first request for it."""

import collections
import itertools
from collections.abc import Iterator
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core, registry

from banyantiller.gateway import servers, tallies
from banyantiller.telemetry import metrics

if TYPE_CHECKING:
    from banyantiller.gateway import gateway as gateways

Tally = collections.Counter


class MetricsPage:
    """All metrics of one gateway as text.

    Attributes:
        gateway: The gateway that is measured.
        instruments: Counters and gauges.
    """

    def __init__(self, gateway: "gateways.Gateway") -> None:
        self.gateway = gateway
        self.instruments = metrics.Metrics()
        self.instruments.registry.register(LatencyCollector(gateway.tallies))
        self._add_counters()
        self._add_gauges()

    def text(self) -> bytes:
        """Returns the text exposition."""
        return prometheus_client.generate_latest(self.instruments.registry)

    def _add_counters(self) -> None:
        counts = self.gateway.tallies
        store = self.gateway.adapter.store
        rows = (
            ("calls", "Finished calls.", counts.calls,
             ("service", "route", "status")),
            ("failures", "Calls that this daemon failed.", counts.errors,
             ("service", "kind")),
            ("repeats", "Retries and hedges sent to servers.", counts.retries,
             ("service",)),
            ("tries_failed", "Failed attempts by kind.",
             counts.failed_attempts,
             ("service", "kind")),
            ("forwarded_calls", "Calls forwarded to other daemons.",
             counts.forwarded, ("service", "outcome")),
            ("received_calls", "Calls that other daemons forwarded here.",
             counts.received, ("service", "status")),
            ("connections_opened", "New connections to servers.",
             counts.opened, ("reason",)),
            ("documents", "Documents by outcome.", counts.documents,
             ("outcome",)),
            ("registrations", "Registrations by outcome.",
             counts.registrations, ("outcome",)),
            ("precedence_decisions", "Requests that were treated"
             " differently for what their callers lose.", counts.precedence,
             ("service", "decision", "reason")),
            ("store_calls", "Requests to the store.", store.calls, ("verb",)),
            ("allowance_decisions", "Requests of organisations with an"
             " allowance.", self.gateway.allowances.outcomes, ("outcome",)),
            ("large_responses", "Calls with large responses by what the link"
             " allowed.", self.gateway.transfers.outcomes, ("outcome",)),
            ("zone_sends", "Requests by the zone of their server, while"
             " loads are shared.", self.gateway.chooser.placement.zone_sends,
             ("service", "reason")),
            ("rejections", "Rejected requests by what a relay knows of them:"
             " first, returned, repeated or unknown.",
             self.gateway.returning_callers.outcomes, ("outcome",)),
            ("rejection_messages", "Messages about rejected requests that were"
             " sent to relays.",
             self.gateway.returning_callers.message_results, ("result",)),
            ("peer_questions", "Queries to peers for changes.",
             self.gateway.store_view.reader.query_outcomes, ("outcome",)),
        )  # fmt: skip
        for name, doc, tally, labels in rows:
            self.instruments.counter(
                f"banyantiller_gateway_{name}",
                "",
                doc,
                lambda tally=tally, labels=labels: metrics.readings(
                    tally, labels
                ),
            )
        self._add_server_counters()
        prober = self.gateway.prober
        self.instruments.counter(
            "banyantiller_gateway_questions",
            "",
            "Load probes sent to servers.",
            lambda: [metrics.Reading(prober.probe_count)],
        )

    def _add_server_counters(self) -> None:
        """Adds the counters of each registered server."""
        entries = self.gateway.store_view.table.entries
        rows = (
            ("server_sends", "Requests sent to a server.",
             lambda entry: entry.sends),
            ("server_failures", "Requests sent to a server that failed.",
             lambda entry: entry.failed_sends),
        )  # fmt: skip
        for name, doc, read in rows:
            self.instruments.counter(
                f"banyantiller_gateway_{name}",
                "",
                doc,
                lambda read=read: [
                    metrics.Reading(
                        read(entry),
                        {"service": entry.server.service, "server": instance},
                    )
                    for instance, entry in entries.items()
                ],
            )

    def _add_gauges(self) -> None:
        gateway = self.gateway
        crash_table = gateway.crash_detector.tracker.table
        rows = (
            ("document_version", "Version of the document in force.",
             lambda: gateway.store_view.version),
            ("ready", "Whether the daemon is ready for callers.",
             lambda: not gateway.not_ready_reason()),
            ("store_lost", "Whether the store does not respond.",
             lambda: gateway.store_view.store_health.lost_at is not None),
            ("store_generation", "How often the store came back from a copy.",
             lambda: gateway.store_view.store_health.generation or 0),
            ("relays", "Relays that the settings name.",
             lambda: gateway.relays.count),
            ("skipped_relays", "Relays that this daemon does not query for a"
             " moment, as they did not respond.",
             lambda: gateway.relays.count_skipped(gateway.loop.time())),
            ("is_relay", "Whether this daemon is a relay.",
             lambda: gateway.relays.is_relay),
            ("evacuated_zones", "Zones whose servers get no requests.",
             lambda: len(gateway.store_view.evacuations.evacuated)),
            ("unreachable_services", "Services of which no server responds.",
             lambda: len(gateway.reachability.lost_at)),
            ("limited_servers", "Servers that name a rate limit.",
             gateway.server_limits.count_limited),
            ("limited_organisations", "Organisations that this relay refused"
             " requests lately.",
             lambda: len(gateway.allowances.relay_grants.limited)),
            ("organisations_over_share", "Organisations that this relay refused"
             " requests lately, as they used more than their fair share of a"
             " service.",
             gateway.allowances.relay_grants.shares.count_over_share),
            ("remembered_rejections", "Requests of which this relay remembers a"
             " rejection.",
             lambda: len(gateway.returning_callers.relay.table.entries)),
            ("backed_off_servers", "Servers that asked this daemon for a"
             " backoff by Retry-After.",
             gateway.server_backoffs.count_active),
            ("large_response_bytes", "Bytes of large responses that were"
             " admitted and not yet transferred.",
             gateway.transfers.admitted_bytes),
            ("connections", "Open connections of callers.",
             lambda: len(gateway.connections)),
            ("quarantined_requests", "Requests that are rejected since they"
             " crashed servers.",
             lambda: len(crash_table.quarantined_records(gateway.loop.time()))),
            ("suspect_requests", "Requests on servers that crashed lately.",
             lambda: len(crash_table.records)),
        )  # fmt: skip
        for name, doc, read in rows:
            self.instruments.gauge(
                f"banyantiller_gateway_{name}",
                "",
                doc,
                lambda read=read: [metrics.Reading(float(read()))],
            )
        self._add_server_gauges()
        self._add_load_gauges()

    def _add_load_gauges(self) -> None:
        """Adds the gauges of the known load of each service and zone."""
        loads = self.gateway.service_loads
        loop = self.gateway.loop

        def read(field: str) -> list[metrics.Reading]:
            known = loads.known_loads(loop.time())
            return [
                metrics.Reading(
                    getattr(load, field), {"service": service, "zone": zone}
                )
                for (service, zone), load in known.items()
            ]

        rows = (
            ("zone_free_share", "Free slots of a service in a zone as a share"
             " of all slots, as far as known.", "free_share"),
            ("zone_slow_share", "Share of the servers of a service in a zone"
             " that are too slow for a request.", "slow_share"),
            ("zone_load_age_seconds", "Mean age of the observations of a"
             " service in a zone.", "age_s"),
        )  # fmt: skip
        for name, doc, field in rows:
            self.instruments.gauge(
                f"banyantiller_gateway_{name}",
                "",
                doc,
                lambda field=field: read(field),
            )

    def _add_server_gauges(self) -> None:
        """Adds the gauges that count the servers of each service."""
        gateway = self.gateway
        table = gateway.store_view.table

        def usable(service: str) -> list[servers.ServerEntry]:
            return table.usable(service, gateway.loop.time())

        def unresponsive(service: str) -> list[servers.ServerEntry]:
            return [e for e in usable(service) if e.health.missed_responses]

        rows = (
            ("servers", "Servers that can get requests.", usable),
            ("unresponsive_servers", "Servers that can get requests and did"
             " not respond to their last probe.", unresponsive),
        )  # fmt: skip
        for name, doc, find in rows:
            self.instruments.gauge(
                f"banyantiller_gateway_{name}",
                "",
                doc,
                lambda find=find: [
                    metrics.Reading(len(find(service)), {"service": service})
                    for service in table.by_service
                ],
            )
        spills = gateway.chooser.selector.spills
        self.instruments.gauge(
            "banyantiller_gateway_remote_share",
            "",
            "Share of the requests that leave the local zone by known loads.",
            lambda: [
                metrics.Reading(spill.share, {"service": service})
                for service, spill in spills.items()
            ],
        )


class LatencyCollector(registry.Collector):
    """Histograms of the time from a request to its reply, by service."""

    def __init__(self, counts: tallies.Tallies) -> None:
        self.counts = counts

    def collect(self) -> Iterator[core.HistogramMetricFamily]:
        """Yields one histogram with a label for the service."""
        family = core.HistogramMetricFamily(
            "banyantiller_gateway_latency_seconds",
            "Time from the end of a request to its reply.",
            labels=["service"],
        )
        for service, total_s in self.counts.total_duration_s.items():
            bucket_counts = [
                self.counts.latency[service, end] for end in tallies.BUCKETS_S
            ]
            bucket_labels = [_bucket_label(end) for end in tallies.BUCKETS_S]
            cumulative = list(itertools.accumulate(bucket_counts))
            family.add_metric(
                [service],
                list(zip(bucket_labels, cumulative, strict=True)),
                total_s,
            )
        yield family


def _bucket_label(end_s: float) -> str:
    return "+Inf" if end_s == float("inf") else f"{end_s:g}"
