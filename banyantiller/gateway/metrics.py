"""The metrics page of the gateway; loaded when it is first asked for."""

import collections
import itertools
from collections.abc import Iterator
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core, registry

from banyantiller.gateway import tallies
from banyantiller.telemetry import metrics

if TYPE_CHECKING:
    from banyantiller.gateway import gateway as gateways

Tally = collections.Counter


class Page:
    """All metrics of one gateway as text.

    Attributes:
        gateway: What is measured.
        instruments: Counters and gauges.
    """

    def __init__(self, gateway: "gateways.Gateway") -> None:
        self.gateway = gateway
        self.instruments = metrics.Metrics()
        self.instruments.registry.register(Latency(gateway.tallies))
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
            ("failures", "Calls ended by this daemon, by kind.", counts.errors,
             ("service", "kind")),
            ("repeats", "Repeated sends to servers.", counts.retries,
             ("service",)),
            ("tries_failed", "Tries that failed, by kind.",
             counts.failed_attempts,
             ("service", "kind")),
            ("connections_opened", "New connections to servers.",
             counts.opened, ("reason",)),
            ("documents", "Documents by outcome.", counts.documents,
             ("outcome",)),
            ("registrations", "Registrations by outcome.",
             counts.registrations, ("outcome",)),
            ("store_calls", "Calls to the store.", store.calls, ("verb",)),
            ("peer_questions", "Questions to other daemons for changes.",
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
        asker = self.gateway.prober
        self.instruments.counter(
            "banyantiller_gateway_questions",
            "",
            "Questions to servers for their load.",
            lambda: [metrics.Reading(asker.probe_count)],
        )

    def _add_server_counters(self) -> None:
        """Adds what is counted by server, for those that are registered."""
        entries = self.gateway.store_view.table.entries
        rows = (
            ("server_sends", "Requests sent to a server.",
             lambda entry: entry.sends),
            ("server_failures", "Of these, those without a usable answer.",
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
        suspects = gateway.crash_detector.watch.table
        rows = (
            ("document_version", "Version in force.",
             lambda: gateway.store_view.version),
            ("ready", "Whether callers should be sent here.",
             lambda: not gateway.not_ready()),
            ("store_lost", "Whether the store gives no answer.",
             lambda: gateway.store_view.store_health.lost_at is not None),
            ("evacuated_zones", "Zones whose servers get no requests.",
             lambda: len(gateway.store_view.evacuations.evacuated)),
            ("limited_servers", "Servers that name a limit.",
             gateway.server_limits.count_limited),
            ("connections", "Open connections of callers.",
             lambda: len(gateway.connections)),
            ("quarantined_requests", "Requests that are refused since servers"
             " ended under them.",
             lambda: len(suspects.quarantined_records(gateway.loop.time()))),
            ("suspect_requests", "Requests with which servers ended lately.",
             lambda: len(suspects.records)),
        )  # fmt: skip
        for name, doc, read in rows:
            self.instruments.gauge(
                f"banyantiller_gateway_{name}",
                "",
                doc,
                lambda read=read: [metrics.Reading(float(read()))],
            )
        self.instruments.gauge(
            "banyantiller_gateway_servers",
            "",
            "Servers that may get requests.",
            lambda: [
                metrics.Reading(
                    len(
                        gateway.store_view.table.usable(
                            name, gateway.loop.time()
                        )
                    ),
                    {"service": name},
                )
                for name in gateway.store_view.table.by_service
            ],
        )


class Latency(registry.Collector):
    """Histograms of the time from a request to its answer, by service."""

    def __init__(self, counts: tallies.Tallies) -> None:
        self.counts = counts

    def collect(self) -> Iterator[core.HistogramMetricFamily]:
        """Yields one histogram with a label for the service."""
        found = core.HistogramMetricFamily(
            "banyantiller_gateway_latency_seconds",
            "Time from a whole request to its answer.",
            labels=["service"],
        )
        for service, total_s in self.counts.seconds.items():
            each = [
                self.counts.latency[service, end] for end in tallies.BUCKETS_S
            ]
            ends = [_label(end) for end in tallies.BUCKETS_S]
            sums = list(itertools.accumulate(each))
            found.add_metric(
                [service], list(zip(ends, sums, strict=True)), total_s
            )
        yield found


def _label(end_s: float) -> str:
    return "+Inf" if end_s == float("inf") else f"{end_s:g}"
