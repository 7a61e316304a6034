"""Judges delays and reverts of accepted bundles; all functions are pure."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from banyantiller.evidence.history import EvidenceGap, RunHistory
from banyantiller.evidence.verdicts import Finding, NamedBreach

if TYPE_CHECKING:
    from banyantiller.evidence.judging import Period

IN_FORCE_LIMIT_MS = 4000
CLOCK_TOLERANCE_MS = 500
NEVER_MS = 1 << 62


class _DueVersion(NamedTuple):
    """A version and the time by which a run must have it in force."""

    version: int
    accepted_ms: int
    due_ms: int


class _ReachedVersion(NamedTuple):
    """When a run reached a version.

    Attributes:
        at_ms: Time, or `NEVER_MS` if the run did not reach it.
        listed: Whether the change itself was listed, with its time.
        exact: Whether an earlier change would have been listed.
    """

    at_ms: int
    listed: bool
    exact: bool


def judge_bundles(
    histories: Sequence[RunHistory],
    accepted: dict[int, int],
    part: "Period",
    tolerance_ms: int,
) -> Finding:
    """Judges the delays of bundles accepted in a part, and reverts in it.

    Args:
        histories: Histories of all known runs.
        accepted: Acceptance times by version.
        part: Period in which the judged bundles were accepted.
        tolerance_ms: Largest assumed difference between two clocks. A delay
            that differs from the limit by less is not known.
    """
    findings: list[Finding] = []
    for history in histories:
        findings.append(_find_reverts(history, part))
        findings.append(_unlisted_bundles(history, part))
        findings.append(
            _superseded_bundles(history, accepted, part, tolerance_ms)
        )
    for version, accepted_ms in sorted(accepted.items()):
        if not part.from_ms <= accepted_ms < part.to_ms:
            continue
        for history in histories:
            started_ms = history.run.started_ms
            due_ms = max(accepted_ms, started_ms) + IN_FORCE_LIMIT_MS
            due = _DueVersion(version, accepted_ms, due_ms)
            findings.append(_judge_delay(history, due, tolerance_ms))
    return Finding(
        tuple(item for finding in findings for item in finding.named),
        0,
        tuple(item for finding in findings for item in finding.unknown),
    )


def accepted_by_daemons(histories: Sequence[RunHistory]) -> dict[int, int]:
    """Returns the acceptance times by version that daemons reported."""
    return {
        bundle.version: bundle.accepted_ms
        for history in histories
        for summary in history.summaries
        for bundle in summary.bundles
    }


def _judge_delay(
    history: RunHistory, due: _DueVersion, tolerance_ms: int
) -> Finding:
    """Judges the delay until a run applied a version or a later one."""
    if history.ended_ms < due.due_ms:
        if history.living:
            return _not_known(history, due, "It is not due yet.")
        return Finding()
    if _had_no_bundle(history, due):
        return Finding()
    reached = _find_reached(history, due.version)
    if reached.at_ms <= due.due_ms - tolerance_ms:
        early = reached.at_ms < due.accepted_ms - tolerance_ms
        if early and reached.listed:
            return _not_known(history, due, "The clocks differ too much.")
        return Finding()
    late_ms = due.due_ms + tolerance_ms
    if reached.at_ms <= late_ms:
        why = "The delay is too near the limit for the clocks."
        return _not_known(history, due, why)
    if not reached.exact:
        return _not_known(history, due, "Some bundles were only counted.")
    if _has_gap(history, due.accepted_ms, late_ms):
        return _not_known(history, due, "Evidence is missing when it was due.")
    return Finding((_late_breach(history, due, reached.at_ms),))


def _find_reached(history: RunHistory, version: int) -> _ReachedVersion:
    for summary in history.summaries:
        for bundle in summary.bundles:
            if bundle.version >= version:
                return _ReachedVersion(bundle.at_ms, True, True)
        if summary.version >= version:
            if summary.omitted.get("bundles"):
                return _ReachedVersion(summary.to_ms, False, False)
            return _ReachedVersion(summary.from_ms, False, True)
    return _ReachedVersion(NEVER_MS, False, True)


def _had_no_bundle(history: RunHistory, due: _DueVersion) -> bool:
    """Returns whether the run had no bundle, so rejected calls, when due."""
    if history.run.started_ms < due.accepted_ms:
        return False
    earlier = [
        bundle
        for summary in history.summaries
        for bundle in summary.bundles
        if bundle.at_ms <= due.due_ms
    ]
    covered = any(item.to_ms >= due.due_ms for item in history.summaries)
    return covered and not earlier


def _find_reverts(history: RunHistory, part: "Period") -> Finding:
    """Finds bundles older than an earlier one of the same run."""
    named: list[NamedBreach] = []
    highest = 0
    for summary in history.summaries:
        for bundle in summary.bundles:
            inside = part.from_ms <= bundle.at_ms < part.to_ms
            if bundle.version < highest and inside:
                detail = (
                    f"Version {bundle.version} came into force after"
                    f" version {highest}."
                )
                named.append(
                    NamedBreach(history.run.daemon, "", detail, bundle.at_ms)
                )
            highest = max(highest, bundle.version)
    return Finding(tuple(named))


def _unlisted_bundles(history: RunHistory, part: "Period") -> Finding:
    """Finds spans with unlisted bundles, whose order is unknown."""
    why = "Some bundles were only counted."
    return Finding(
        unknown=tuple(
            EvidenceGap(
                history.run.daemon,
                max(summary.from_ms, part.from_ms),
                min(summary.to_ms, part.to_ms),
                why,
            )
            for summary in history.summaries
            if summary.omitted.get("bundles")
            and summary.from_ms < part.to_ms
            and summary.to_ms > part.from_ms
        )
    )


def _superseded_bundles(
    history: RunHistory,
    accepted: dict[int, int],
    part: "Period",
    tolerance_ms: int,
) -> Finding:
    """Finds bundles applied after a newer one was due."""
    named: list[NamedBreach] = []
    for summary in history.summaries:
        for bundle in summary.bundles:
            if not part.from_ms <= bundle.at_ms < part.to_ms:
                continue
            limit_ms = bundle.at_ms - IN_FORCE_LIMIT_MS - tolerance_ms
            newer = [
                version
                for version, accepted_ms in accepted.items()
                if version > bundle.version and accepted_ms < limit_ms
            ]
            if newer:
                detail = (
                    f"Version {bundle.version} came into force although"
                    f" version {max(newer)} had been accepted before."
                )
                named.append(
                    NamedBreach(history.run.daemon, "", detail, bundle.at_ms)
                )
    return Finding(tuple(named))


def _has_gap(history: RunHistory, from_ms: int, to_ms: int) -> bool:
    return any(
        item.from_ms < to_ms and item.to_ms > from_ms
        for item in history.unknown
    )


def _not_known(history: RunHistory, due: _DueVersion, why: str) -> Finding:
    detail = f"Version {due.version}: {why}"
    return Finding(
        unknown=(
            EvidenceGap(
                history.run.daemon, due.accepted_ms, due.due_ms, detail
            ),
        )
    )


def _late_breach(
    history: RunHistory, due: _DueVersion, reached_ms: int
) -> NamedBreach:
    since_ms = max(due.accepted_ms, history.run.started_ms)
    when = "not at all"
    if reached_ms != NEVER_MS:
        when = f"after {(reached_ms - since_ms) / 1000:.1f} s"
    detail = f"Version {due.version} came into force {when}."
    return NamedBreach(history.run.daemon, "", detail, due.due_ms)
