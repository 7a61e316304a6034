"""Judges the probe budget of the fleet; all functions are pure."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from banyantiller.evidence.history import EvidenceGap, RunHistory
from banyantiller.evidence.summary import UNKNOWN_RATE, Summary
from banyantiller.evidence.verdicts import Finding, NamedBreach

if TYPE_CHECKING:
    from banyantiller.evidence.judging import Period

MS_PER_SECOND = 1000
EDGE_TOLERANCE_S = 2.0


def judge_probes(histories: Sequence[RunHistory], part: "Period") -> Finding:
    """Compares the probes of all daemons with each service's budget.

    Summaries don't end where the part does, so the budget is computed for the
    whole span of the counted summaries. If the budget changed in it, more
    probes than the largest budget allows are a breach, and the promise held
    only if the smallest budget covers them.
    """
    summaries = [
        summary
        for history in histories
        for summary in history.summaries
        if _overlaps(summary, part)
    ]
    if not summaries:
        return Finding()
    services = sorted({name for item in summaries for name in item.probes})
    named: list[NamedBreach] = []
    unknown: list[EvidenceGap] = []
    for service in services:
        _judge_service(service, summaries, part, named, unknown)
    return Finding(tuple(named), 0, tuple(unknown))


def _judge_service(
    service: str,
    summaries: Sequence[Summary],
    part: "Period",
    named: list[NamedBreach],
    unknown: list[EvidenceGap],
) -> None:
    spent = [
        item.probes[service] for item in summaries if service in item.probes
    ]
    if any(item.rate == UNKNOWN_RATE for item in spent):
        why = f"A daemon did not know the budget of service '{service}'."
        unknown.append(EvidenceGap("", part.from_ms, part.to_ms, why))
        return
    sent = sum(item.sent for item in spent)
    span_s = _span_s(summaries)
    max_allowed = _allowed_probes(max(item.rate for item in spent), span_s)
    min_allowed = _allowed_probes(min(item.rate for item in spent), span_s)
    if sent > max_allowed:
        detail = (
            f"Service '{service}': {sent} probes in {span_s:.0f} s; the budget"
            f" allows {max_allowed:.0f}."
        )
        named.append(NamedBreach("", "", detail, part.from_ms))
    elif sent > min_allowed:
        why = f"The budget of service '{service}' changed within the period."
        unknown.append(EvidenceGap("", part.from_ms, part.to_ms, why))


def _allowed_probes(rate: float, span_s: float) -> float:
    """Returns the probes that a budget allows in a span.

    Tolerates additional probes, as probes at the edges of a span may exceed
    the rate by one and clocks differ: `EDGE_TOLERANCE_S` seconds of the rate,
    and at least one probe.
    """
    if rate <= 0:
        return 0.0
    return rate * span_s + max(1.0, rate * EDGE_TOLERANCE_S)


def _overlaps(summary: Summary, part: "Period") -> bool:
    """Returns whether they overlap; an empty summary counts as an instant."""
    end_ms = max(summary.to_ms, summary.from_ms + 1)
    return summary.from_ms < part.to_ms and end_ms > part.from_ms


def _span_s(summaries: Sequence[Summary]) -> float:
    start = min(item.from_ms for item in summaries)
    end = max(item.to_ms for item in summaries)
    return (end - start) / MS_PER_SECOND
