"""Reads the evidence of a period and judges the promises from it."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from banyantiller import exceptions
from banyantiller.bundle import outcomes, reading
from banyantiller.evidence import (
    chain,
    history,
    judging,
    judging_bundles,
    layout,
    trail,
)
from banyantiller.store import interface

DAY_MS = 86_400_000
MS_PER_SECOND = 1000
WRITE_ALLOWANCE_MS = 5000
LOOK_AHEAD_MS = 30_000


class AssessmentRequest(NamedTuple):
    """Fleet and period to judge.

    Attributes:
        deployment: Name of the fleet.
        period: Period to judge.
        every_ms: Length of the parts that are judged separately.
        tolerance_ms: Largest assumed difference between two clocks.
        known_ms: Time up to which every daemon had time to report. Evidence
            between the end of the period and this time is used as well.
    """

    deployment: str
    period: judging.Period
    every_ms: int
    tolerance_ms: int
    known_ms: int = 0


class Assessment(NamedTuple):
    """Result of judging a period.

    Attributes:
        request: Fleet and period that were judged.
        judgements: Judgements in order of promise and part.
        histories: Histories of the known runs.
        audit: Result of checking the audit trail.
    """

    request: AssessmentRequest
    judgements: tuple[judging.Judgement, ...]
    histories: tuple[history.RunHistory, ...]
    audit: trail.AuditReport


class JudgeablePeriod(NamedTuple):
    """Period for which all evidence is due.

    Attributes:
        first_ms: Start of the earliest known run.
        until_ms: Latest time for which all evidence is due.
        known_ms: Time up to which every daemon had time to report.
    """

    first_ms: int
    until_ms: int
    known_ms: int


async def find_judgeable_period(
    store: interface.ObjectStore, deployment: str, now_ms: int
) -> JudgeablePeriod:
    """Finds the period for which every daemon had time to report.

    Args:
        store: The object API.
        deployment: Fleet.
        now_ms: Wall-clock milliseconds.

    Raises:
        StoreError: The object API did not answer.
    """
    values = await _list_values(
        store, layout.RUN_KIND, {"deployment": deployment}
    )
    runs = history.read_runs(values)
    if not runs:
        return JudgeablePeriod(0, now_ms, now_ms)
    first_ms = min(run.started_ms for run in runs)
    living = [run.period_ms for run in runs if not run.ended_ms]
    if not living:
        ended_ms = min(max(run.ended_ms for run in runs), now_ms)
        return JudgeablePeriod(first_ms, ended_ms, ended_ms)
    known_ms = now_ms - max(living) * 3 // 2 - WRITE_ALLOWANCE_MS
    due_ms = (
        judging_bundles.IN_FORCE_LIMIT_MS + judging_bundles.CLOCK_TOLERANCE_MS
    )
    return JudgeablePeriod(first_ms, known_ms - due_ms, known_ms)


async def assess(
    store: interface.ObjectStore, request: AssessmentRequest
) -> Assessment:
    """Reads the evidence of a period and judges every promise.

    Raises:
        StoreError: The object API did not answer, so nothing can be judged.
    """
    period = request.period
    blocks = await _list_blocks(store, request.deployment, period)
    runs = await _list_values(
        store, layout.RUN_KIND, {"deployment": request.deployment}
    )
    audit = await trail.verify(store, request.deployment, _collect_tips(blocks))
    if not audit.readable:
        raise exceptions.StoreError(f"The object API failed: {audit.reason}.")
    sound = sound_entries(audit)
    stored = history.StoredEvidence(runs, blocks, history.gone_daemons(sound))
    known_ms = min(period.to_ms + LOOK_AHEAD_MS, request.known_ms)
    end_ms = max(period.to_ms, known_ms)
    histories = history.build_histories(stored, request.deployment, end_ms)
    # The audit trail records when a roll ended, which is the least exact of
    # the three sources, so the others override it.
    accepted = {
        **_acceptances_in_trail(sound),
        **judging_bundles.accepted_by_daemons(histories),
        **await _read_head_acceptance(store, request.deployment),
    }
    evidence = judging.Evidence(
        histories, accepted, audit_gaps(audit, period.to_ms)
    )
    judgements = judging.judge(
        evidence, period, request.every_ms, request.tolerance_ms
    )
    return Assessment(request, tuple(judgements), tuple(histories), audit)


def sound_entries(audit: trail.AuditReport) -> list[dict[str, Any]]:
    """Returns the audit entries for which the check found no problem."""
    damaged = {problem.sequence for problem in audit.problems}
    return [
        item for item in audit.entries if item.get("sequence") not in damaged
    ]


def audit_gaps(
    audit: trail.AuditReport, until_ms: int
) -> list[history.EvidenceGap]:
    """Returns the spans between the sound neighbours of damaged entries."""
    times = {
        item["sequence"]: item["at_ms"]
        for item in sound_entries(audit)
        if isinstance(item.get("at_ms"), int)
    }
    gaps: list[history.EvidenceGap] = []
    for problem in audit.problems:
        before = [at for n, at in times.items() if n < problem.sequence]
        after = [at for n, at in times.items() if n > problem.sequence]
        why = f"Audit trail: {problem.detail}"
        gaps.append(
            history.EvidenceGap(
                "", max(before, default=0), min(after, default=until_ms), why
            )
        )
    return gaps


async def read_carried_tips(
    store: interface.ObjectStore, deployment: str, period: judging.Period
) -> set[chain.Tip]:
    """Returns the audit tips in the summaries of a period.

    Raises:
        StoreError: The object API did not answer.
    """
    return _collect_tips(await _list_blocks(store, deployment, period))


def _collect_tips(blocks: Sequence[Mapping[str, Any]]) -> set[chain.Tip]:
    """Collects the audit tips that the summaries contain."""
    tips: set[chain.Tip] = set()
    for block in blocks:
        records = block.get("records")
        for record in records if isinstance(records, list) else ():
            if not isinstance(record, dict):
                continue
            tips.add(
                trail.parse_tip(
                    {
                        "sequence": record.get("audit_sequence"),
                        "digest": record.get("audit_digest"),
                    }
                )
            )
    return tips


async def _list_blocks(
    store: interface.ObjectStore, deployment: str, period: judging.Period
) -> list[dict[str, Any]]:
    """Lists blocks by day; starts a day early, as blocks can span midnight."""
    blocks: list[dict[str, Any]] = []
    day_ms = period.from_ms // DAY_MS * DAY_MS - DAY_MS
    while day_ms <= period.to_ms:
        labels = {"deployment": deployment, "day": layout.day_of(day_ms)}
        blocks += await _list_values(store, layout.BLOCK_KIND, labels)
        day_ms += DAY_MS
    return blocks


async def _list_values(
    store: interface.ObjectStore, kind: str, labels: dict[str, str]
) -> list[dict[str, Any]]:
    outcome = await store.list(kind, labels)
    if isinstance(outcome, interface.Unavailable):
        raise exceptions.StoreError(f"The object API failed: {outcome.reason}.")
    return [item.value for item in outcome.items]


async def _read_head_acceptance(
    store: interface.ObjectStore, deployment: str
) -> dict[int, int]:
    head = await reading.read_head(store, deployment)
    if not isinstance(head, outcomes.HeadFound):
        return {}
    accepted_ms = round(head.accepted.accepted_at * MS_PER_SECOND)
    return {head.accepted.manifest.version: accepted_ms}


def _acceptances_in_trail(
    entries: Sequence[Mapping[str, Any]],
) -> dict[int, int]:
    """Returns acceptance times by version, from roll results in the trail."""
    rolled: dict[int, int] = {}
    for entry in entries:
        detail = entry.get("detail")
        if entry.get("action") != "roll_result" or not isinstance(detail, dict):
            continue
        version = detail.get("version")
        if detail.get("result") == "rolled" and isinstance(version, int):
            rolled.setdefault(version, entry.get("at_ms", 0))
    return rolled
