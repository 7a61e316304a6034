"""OpenTelemetry metrics, whose values are read when they are requested."""

import collections
import functools
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

import prometheus_client
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk

if TYPE_CHECKING:
    # The gateway is deployed without the histogram library of the tallies.
    from banyantiller.telemetry import tallies

QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS = 1e6


class Reading(NamedTuple):
    """One value of an instrument.

    Attributes:
        value: Value at the time of reading.
        labels: Label values by label name.
    """

    value: float
    labels: dict[str, str] = {}  # noqa: RUF012


Reader = Callable[[], Iterable[Reading]]
Tally = collections.Counter[Any]


class Metrics:
    """The instruments of one daemon and their text exposition format."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        self.provider = sdk.MeterProvider(metric_readers=[reader])
        self.meter = self.provider.get_meter("banyantiller")

    def counter(self, name: str, unit: str, doc: str, read: Reader) -> None:
        """Adds a counter that gets its values from `read`."""
        self.meter.create_observable_counter(
            name, callbacks=[_callback(read)], unit=unit, description=doc
        )

    def gauge(self, name: str, unit: str, doc: str, read: Reader) -> None:
        """Adds a gauge that gets its values from `read`."""
        self.meter.create_observable_gauge(
            name, callbacks=[_callback(read)], unit=unit, description=doc
        )

    def exposition(self) -> bytes:
        """Returns all values in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def close(self) -> None:
        """Shuts the meter provider down."""
        self.provider.shutdown()


def add_in_flight(
    metrics: Metrics, read: Callable[[], dict[str, dict[str, float]]]
) -> None:
    """Adds the gauge of calls in flight by service and server.

    Args:
        metrics: Metrics to which the gauge is added.
        read: Returns calls in flight by service and server.
    """
    metrics.gauge(
        "banyantiller_in_flight",
        "",
        "Calls in flight from this daemon by backend server.",
        lambda: [
            Reading(count, {"service": service, "server": server})
            for service, servers in read().items()
            for server, count in servers.items()
        ],
    )


def add_quarantine(metrics: Metrics, count: Callable[[], int]) -> None:
    """Adds the gauge of requests in quarantine because they crash servers."""
    metrics.gauge(
        "banyantiller_quarantined_requests",
        "",
        "Requests that are refused since servers ended under them.",
        lambda: [Reading(count())],
    )


def add_calls(metrics: Metrics, counts: "tallies.CallTallies") -> None:
    """Adds the counters and latency quantiles of calls."""

    def add(name: str, doc: str, tally: Tally, *labels: str) -> None:
        read = functools.partial(readings, tally, labels)
        metrics.counter(name, "", doc, read)

    add(
        "banyantiller_calls",
        "Finished calls by service and status.",
        counts.calls,
        "service",
        "status",
    )
    add(
        "banyantiller_errors",
        "Calls that ended in an error, by kind.",
        counts.errors,
        "service",
        "kind",
    )
    add(
        "banyantiller_attempts",
        "Tries at backend servers.",
        counts.attempts,
        "service",
    )
    add(
        "banyantiller_cut",
        "Relayed answers that ended early.",
        counts.cut,
        "service",
    )
    metrics.gauge(
        "banyantiller_latency_seconds",
        "",
        "Quantiles of the time from a request's head to its answer's end.",
        functools.partial(_quantiles, counts),
    )


def readings(tally: Tally, labels: tuple[str, ...]) -> list[Reading]:
    """Returns a reading for each key of a tally.

    Args:
        tally: Counts by label value, or by tuple of label values.
        labels: Label names in the order of the values.
    """
    result = []
    for key, count in tally.items():
        values = key if isinstance(key, tuple) else (key,)
        label_values = zip(labels, map(str, values), strict=True)
        result.append(Reading(count, dict(label_values)))
    return result


def _quantiles(counts: "tallies.CallTallies") -> list[Reading]:
    return [
        Reading(
            latency.get_value_at_percentile(percent) / MICROSECONDS,
            {"service": service, "quantile": f"{percent / 100:g}"},
        )
        for service, latency in counts.latency_us.items()
        for percent in QUANTILES
    ]


def _callback(
    read: Reader,
) -> Callable[[api.CallbackOptions], list[api.Observation]]:
    def observe(_: api.CallbackOptions) -> list[api.Observation]:
        return [api.Observation(item.value, item.labels) for item in read()]

    return observe
