"""Reads load reports from the responses of backend servers.

The header `endpoint-load-metrics` carries an ORCA load report, as text
(`TEXT named_metrics.in_flight=3, named_metrics.draining=1`) or as JSON
(`JSON {"named_metrics": {"in_flight": 3}}`).
"""

import functools
import math
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from banyantiller.routing.types import LoadReport

HEADER = b"endpoint-load-metrics"
IN_FLIGHT = "in_flight"
DRAINING = "draining"
NAMED_PREFIX = "named_metrics."
CACHE_SIZE = 1024


class OrcaReport(msgspec.Struct):
    """The fields of an ORCA load report that are used."""

    named_metrics: dict[str, float] = msgspec.field(default_factory=dict)


decode_json = msgspec.json.Decoder(OrcaReport).decode


@functools.lru_cache(CACHE_SIZE)
def read_header(value: bytes, source: str = "answer") -> LoadReport | None:
    """Reads a header value.

    Args:
        value: Value of `endpoint-load-metrics`.
        source: Source of the report.

    Returns:
        The report, or None if the value has no usable load.
    """
    form, _, text = value.partition(b" ")
    try:
        if form == b"TEXT":
            metrics = _read_text(text.decode("ascii"))
        elif form == b"JSON":
            metrics = decode_json(text).named_metrics
        else:
            return None
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return _to_report(metrics, source)


def _read_text(text: str) -> dict[str, float]:
    metrics = {}
    for item in text.split(","):
        name, _, number = item.strip().partition("=")
        metrics[name.removeprefix(NAMED_PREFIX)] = float(number)
    return metrics


def _to_report(metrics: dict[str, float], source: str) -> LoadReport | None:
    in_flight = metrics.get(IN_FLIGHT)
    draining = metrics.get(DRAINING, 0.0) >= 1.0
    if in_flight is None:
        if not draining:
            return None
        in_flight = 0.0
    if not math.isfinite(in_flight) or in_flight < 0:
        return None
    return LoadReport(in_flight=in_flight, draining=draining, source=source)


class LoadReader(NamedTuple):
    """Reads load reports; provided by a plug-in.

    Attributes:
        header: Name of the header in lower case.
        read: Returns the report for a value and a source, or None if there
            is none.
    """

    header: bytes
    read: Callable[[bytes, str], LoadReport | None]


ORCA = LoadReader(HEADER, read_header)


def orca() -> LoadReader:
    """Returns the reader of ORCA load reports."""
    return ORCA
