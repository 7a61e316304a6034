"""Judges from histories which promises held; all functions are pure.

`Held` requires sound records of every known daemon for the whole period. A
reported breach gives `Broken`, whatever else is unknown. All other cases give
`NotKnown`, with the start of the first gap and the reasons.
"""

from collections.abc import Sequence
from typing import NamedTuple

from banyantiller.evidence import judging_bundles, judging_probes
from banyantiller.evidence.history import EvidenceGap, RunHistory
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.summary import Summary
from banyantiller.evidence.verdicts import (
    Broken,
    Finding,
    Held,
    Judgement,
    NamedBreach,
    NotKnown,
    Verdict,
)


class Evidence(NamedTuple):
    """Input of a judgement.

    Attributes:
        histories: Histories of all known runs.
        accepted: Acceptance times by version, from all sources.
        audit_gaps: Spans for which the audit trail is damaged.
    """

    histories: Sequence[RunHistory]
    accepted: dict[int, int]
    audit_gaps: Sequence[EvidenceGap]


class Period(NamedTuple):
    """A period to judge, in wall-clock milliseconds."""

    from_ms: int
    to_ms: int


def judge(
    evidence: Evidence,
    period: Period,
    every_ms: int,
    tolerance_ms: int = judging_bundles.CLOCK_TOLERANCE_MS,
) -> list[Judgement]:
    """Judges every promise for each part of a period.

    Args:
        evidence: Histories, acceptance times and audit gaps.
        period: The whole period.
        every_ms: Length of the parts.
        tolerance_ms: Largest assumed difference between two clocks.
    """
    judgements: list[Judgement] = []
    for promise in Promise:
        for part in split_period(period, every_ms):
            verdict = _verdict(evidence, promise, part, tolerance_ms)
            judgements.append(Judgement(promise, *part, verdict))
    return judgements


def split_period(period: Period, every_ms: int) -> list[Period]:
    """Splits a period at multiples of `every_ms`."""
    cut: list[Period] = []
    start = period.from_ms
    while start < period.to_ms:
        end = min((start // every_ms + 1) * every_ms, period.to_ms)
        cut.append(Period(start, end))
        start = end
    return cut


def join_judgements(judgements: Sequence[Judgement]) -> list[Judgement]:
    """Joins neighbouring parts of one promise that have the same verdict."""
    result: list[Judgement] = []
    for item in judgements:
        last = result[-1] if result else None
        verdict = None
        if last is not None and last.promise is item.promise:
            verdict = _join_verdicts(last.verdict, item.verdict)
        if last is None or verdict is None:
            result.append(item)
        else:
            result[-1] = last._replace(to_ms=item.to_ms, verdict=verdict)
    return result


def _join_verdicts(first: Verdict, second: Verdict) -> Verdict | None:
    """Returns one verdict for two neighbouring parts, None if they differ."""
    match first, second:
        case Held(), Held():
            return Held(first.calls + second.calls)
        case NotKnown(), NotKnown():
            unknown = join_gaps(first.unknown + second.unknown)
            return NotKnown(first.since_ms, unknown)
    return None


def join_gaps(unknown: Sequence[EvidenceGap]) -> tuple[EvidenceGap, ...]:
    """Joins adjacent gaps of one daemon that have the same reason."""
    result: list[EvidenceGap] = []
    for item in sorted(unknown, key=lambda part: (part[0], part.why, part[1])):
        last = result[-1] if result else None
        if (
            last is not None
            and (last.daemon, last.why) == (item.daemon, item.why)
            and item.from_ms <= last.to_ms
        ):
            result[-1] = last._replace(to_ms=max(last.to_ms, item.to_ms))
        else:
            result.append(item)
    return tuple(sorted(result, key=lambda part: part.from_ms))


def _verdict(
    evidence: Evidence, promise: Promise, part: Period, tolerance_ms: int
) -> Verdict:
    histories = evidence.histories
    finding = _reported_breaches(histories, promise, part)
    unknown = _coverage(histories, part) + finding.unknown
    if promise is Promise.MEASURING_IN_BUDGET:
        rule_finding = judging_probes.judge_probes(histories, part)
        finding = _merge_findings(finding, rule_finding)
        unknown += rule_finding.unknown
    if promise is Promise.BUNDLE_IN_FORCE:
        rule_finding = judging_bundles.judge_bundles(
            histories, evidence.accepted, part, tolerance_ms
        )
        finding = _merge_findings(finding, rule_finding)
        unknown += rule_finding.unknown
        unknown += _overlapping(evidence.audit_gaps, part)
    unknown = tuple(sorted(set(unknown), key=lambda item: item.from_ms))
    if finding.named or finding.unnamed:
        return Broken(finding.named, finding.unnamed, unknown)
    if unknown:
        return NotKnown(unknown[0].from_ms, unknown)
    return Held(_count_calls(histories, part))


def _merge_findings(first: Finding, second: Finding) -> Finding:
    return Finding(
        first.named + second.named,
        first.unnamed + second.unnamed,
        first.unknown + second.unknown,
    )


def _reported_breaches(
    histories: Sequence[RunHistory], promise: Promise, part: Period
) -> Finding:
    named: list[NamedBreach] = []
    unnamed = 0
    for history in histories:
        for summary in history.summaries:
            listed = [b for b in summary.breaches if b.promise == promise]
            for breach in listed:
                at_ms = _clamp_to_period(breach.at_ms, summary)
                if part.from_ms <= at_ms < part.to_ms:
                    named.append(
                        NamedBreach(
                            history.run.daemon,
                            breach.request_id,
                            breach.detail,
                            breach.at_ms,
                        )
                    )
            if (
                part.from_ms
                <= _clamp_to_period(summary.to_ms, summary)
                < part.to_ms
            ):
                counted = summary.breach_counts.get(promise, 0)
                unnamed += max(0, counted - len(listed))
    named.sort(key=lambda item: item.at_ms)
    return Finding(tuple(named), unnamed)


def _clamp_to_period(at_ms: int, summary: Summary) -> int:
    """Clamps a time to the summary's period, whose end is exclusive."""
    last_ms = max(summary.from_ms, summary.to_ms - 1)
    return min(max(at_ms, summary.from_ms), last_ms)


def _coverage(
    histories: Sequence[RunHistory], part: Period
) -> tuple[EvidenceGap, ...]:
    unknown: list[EvidenceGap] = []
    for history in histories:
        unknown += _overlapping(history.unknown, part)
        unknown += _overlapping(_unlisted_members(history), part)
    return tuple(unknown) + _times_without_daemon(histories, part)


def _unlisted_members(history: RunHistory) -> tuple[EvidenceGap, ...]:
    """Lists the spans in which an unannounced run may have been omitted."""
    why = "Some changes of members were only counted."
    return tuple(
        EvidenceGap(history.run.daemon, summary.from_ms, summary.to_ms, why)
        for summary in history.summaries
        if summary.omitted.get("members")
    )


def _overlapping(
    unknown: Sequence[EvidenceGap], part: Period
) -> tuple[EvidenceGap, ...]:
    return tuple(
        item._replace(
            from_ms=max(item.from_ms, part.from_ms),
            to_ms=min(item.to_ms, part.to_ms),
        )
        for item in unknown
        if item.from_ms < part.to_ms and item.to_ms > part.from_ms
    )


def _times_without_daemon(
    histories: Sequence[RunHistory], part: Period
) -> tuple[EvidenceGap, ...]:
    """Lists the spans in which no daemon is known to have run."""
    unknown: list[EvidenceGap] = []
    covered_until_ms = part.from_ms
    why = "No daemon reported."
    for history in sorted(histories, key=lambda item: item.run.started_ms):
        started_ms = min(history.run.started_ms, part.to_ms)
        if started_ms > covered_until_ms:
            unknown.append(EvidenceGap("", covered_until_ms, started_ms, why))
        covered_until_ms = max(covered_until_ms, history.ended_ms)
        if covered_until_ms >= part.to_ms:
            return tuple(unknown)
    if covered_until_ms < part.to_ms:
        unknown.append(EvidenceGap("", covered_until_ms, part.to_ms, why))
    return tuple(unknown)


def _count_calls(histories: Sequence[RunHistory], part: Period) -> int:
    """Counts the calls of summaries that end within the part."""
    return sum(
        sum(summary.calls.values())
        for history in histories
        for summary in history.summaries
        if part.from_ms <= _clamp_to_period(summary.to_ms, summary) < part.to_ms
    )
