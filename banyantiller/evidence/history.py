"""Builds one history for each run from the stored evidence.

All functions are pure. Altered records are not used. Each span for which a
daemon should have reported and did not is listed as a gap, so that nothing is
judged as held in it.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from banyantiller.evidence import chain, layout
from banyantiller.evidence import summary as summaries

GAP_TOLERANCE_MS = 50
INCARNATION_TOLERANCE_MS = 5000
GONE_ACTION = "daemon_gone"


class EvidenceGap(NamedTuple):
    """A span for which evidence is missing.

    Attributes:
        daemon: Name of the daemon, empty for the whole fleet.
        from_ms: Start, wall-clock milliseconds.
        to_ms: End, wall-clock milliseconds.
        why: Reason in one sentence.
    """

    daemon: str
    from_ms: int
    to_ms: int
    why: str


class RunHistory(NamedTuple):
    """Evidence of one run of a daemon.

    Attributes:
        run: The run as announced, or as its peers reported it.
        ended_ms: Latest time at which the run can have ended.
        summaries: Sound summaries in order.
        unknown: Spans without sound evidence.
        living: Whether the run may continue after `ended_ms`.
    """

    run: layout.Run
    ended_ms: int
    summaries: tuple[summaries.Summary, ...]
    unknown: tuple[EvidenceGap, ...]
    living: bool = False


class StoredEvidence(NamedTuple):
    """Evidence as read from the object API.

    Attributes:
        runs: Values of the run objects.
        blocks: Values of the blocks.
        gone: Times at which daemons were gone, as operators stated, by
            daemon.
    """

    runs: Sequence[Mapping[str, Any]]
    blocks: Sequence[Mapping[str, Any]]
    gone: Mapping[str, int]


class _Records(NamedTuple):
    run: layout.Run
    sound: dict[int, summaries.Summary]
    damaged: dict[int, str]


def read_runs(values: Iterable[Mapping[str, Any]]) -> list[layout.Run]:
    """Parses run objects and skips unreadable ones."""
    runs: list[layout.Run] = []
    for value in values:
        try:
            runs.append(layout.parse_run(dict(value)))
        except msgspec.ValidationError:
            continue
    return runs


def gone_daemons(entries: Iterable[Mapping[str, Any]]) -> dict[str, int]:
    """Reads operators' statements that daemons are gone.

    Args:
        entries: Sound entries of the audit trail.
    """
    gone: dict[str, int] = {}
    for entry in entries:
        detail = entry.get("detail")
        if entry.get("action") != GONE_ACTION or not isinstance(detail, dict):
            continue
        daemon, at_ms = detail.get("daemon"), detail.get("gone_ms")
        if isinstance(daemon, str) and isinstance(at_ms, int):
            gone[daemon] = max(at_ms, gone.get(daemon, 0))
    return gone


def build_histories(
    stored: StoredEvidence, deployment: str, now_ms: int
) -> list[RunHistory]:
    """Builds the histories of all known runs, by daemon and start.

    Args:
        stored: Evidence from the object API.
        deployment: Name of the fleet.
        now_ms: End of the time span that the histories cover.
    """
    records = _group_by_run(stored, deployment)
    runs = {key: item.run for key, item in records.items()}
    for run in _find_unannounced(records.values(), runs, deployment):
        key = (run.daemon, run.started_ms)
        runs[key] = run
        records[key] = _Records(run, {}, {})
    histories: list[RunHistory] = []
    for key in sorted(records):
        gone_ms = _gone_ms(records[key], stored.gone)
        limit_ms = _latest_possible_end(runs, key, gone_ms, now_ms)
        history = _build_history(records[key], limit_ms)
        living = history.ended_ms == now_ms
        histories.append(history._replace(living=living))
    return histories


def _group_by_run(
    stored: StoredEvidence, deployment: str
) -> dict[tuple[str, int], _Records]:
    found: dict[tuple[str, int], _Records] = {}
    for run in read_runs(stored.runs):
        found[run.daemon, run.started_ms] = _Records(run, {}, {})
    raw: dict[tuple[str, int], dict[int, list[Any]]] = {}
    for block in stored.blocks:
        run_of = _run_of_block(block, deployment)
        if run_of is None:
            continue
        key = (run_of.daemon, run_of.started_ms)
        found.setdefault(key, _Records(run_of, {}, {}))
        _collect_records(raw.setdefault(key, {}), block.get("records"))
    for key, by_sequence in raw.items():
        sound, damaged = _check_records(by_sequence)
        found[key] = found[key]._replace(sound=sound, damaged=damaged)
    return found


def _run_of_block(
    block: Mapping[str, Any], deployment: str
) -> layout.Run | None:
    value = {"deployment": deployment, "ended_ms": 0, **block}
    try:
        return layout.parse_run(value)
    except msgspec.ValidationError:
        return None


def _collect_records(by_sequence: dict[int, list[Any]], records: Any) -> None:
    if not isinstance(records, list):
        return
    for place, record in enumerate(records):
        if not isinstance(record, dict):
            record = {"sequence": -1 - place}
        sequence = record.get("sequence")
        if isinstance(sequence, int):
            by_sequence.setdefault(sequence, []).append(record)


def _check_records(
    by_sequence: dict[int, list[Any]],
) -> tuple[dict[int, summaries.Summary], dict[int, str]]:
    damaged: dict[int, str] = {}
    chosen: dict[int, dict[str, Any]] = {}
    for sequence, candidates in by_sequence.items():
        sound = [c for c in candidates if not chain.check_record(sequence, c)]
        if not sound:
            damaged[sequence] = f"Record {sequence} was altered."
        elif any(item != sound[0] for item in sound):
            damaged[sequence] = f"Record {sequence} exists twice."
        else:
            chosen[sequence] = sound[0]
    for problem in chain.check_links(chosen):
        if problem.damage is not chain.Damage.MISSING:
            damaged[problem.sequence] = problem.detail
    decoded: dict[int, summaries.Summary] = {}
    for sequence in sorted(chosen.keys() - damaged.keys()):
        try:
            decoded[sequence] = summaries.decode(chosen[sequence])
        except msgspec.ValidationError as error:
            damaged[sequence] = f"Record {sequence} is unreadable: {error}."
    return decoded, damaged


def _find_unannounced(
    records: Iterable[_Records],
    runs: Mapping[tuple[str, int], layout.Run],
    deployment: str,
) -> list[layout.Run]:
    """Finds runs that peers reported and that wrote nothing themselves."""
    starts: dict[str, list[int]] = {}
    for daemon, started_ms in runs:
        starts.setdefault(daemon, []).append(started_ms)
    unseen: list[layout.Run] = []
    for item in records:
        for summary in item.sound.values():
            for member in summary.members:
                known = starts.setdefault(member.daemon, [])
                if _is_near(member.incarnation, known):
                    continue
                known.append(member.incarnation)
                unseen.append(
                    layout.Run(
                        deployment, member.daemon, "", member.incarnation, 0
                    )
                )
    return unseen


def _is_near(incarnation: int, starts: Iterable[int]) -> bool:
    return any(
        abs(incarnation - start) <= INCARNATION_TOLERANCE_MS for start in starts
    )


def _gone_ms(records: _Records, gone: Mapping[str, int]) -> int | None:
    """Returns when a run was gone, as stated, unless it reported later."""
    gone_ms = gone.get(records.run.daemon)
    if gone_ms is None or gone_ms < records.run.started_ms:
        return None
    if any(item.to_ms > gone_ms for item in records.sound.values()):
        return None
    return gone_ms


def _latest_possible_end(
    runs: Mapping[tuple[str, int], layout.Run],
    key: tuple[str, int],
    gone_ms: int | None,
    now_ms: int,
) -> int:
    """Returns the latest time at which a run can have ended."""
    daemon, started_ms = key
    limits = [now_ms]
    limits += [
        start for name, start in runs if name == daemon and start > started_ms
    ]
    if gone_ms is not None:
        limits.append(gone_ms)
    return min(limits)


def _build_history(records: _Records, limit_ms: int) -> RunHistory:
    run = records.run
    ended_ms = min(limit_ms, run.ended_ms) if run.ended_ms else limit_ms
    sequences = sorted(records.sound)
    sound = tuple(records.sound[sequence] for sequence in sequences)
    if sound and sound[-1].final:
        ended_ms = sound[-1].to_ms
    unknown: list[EvidenceGap] = []
    covered_until_ms = run.started_ms
    expected = chain.FIRST_SEQUENCE
    for sequence, summary in zip(sequences, sound, strict=True):
        if sequence != expected or (
            summary.from_ms - covered_until_ms > GAP_TOLERANCE_MS
        ):
            why = _gap_reason(records, expected, sequence)
            unknown.append(
                EvidenceGap(run.daemon, covered_until_ms, summary.from_ms, why)
            )
        covered_until_ms = max(covered_until_ms, summary.to_ms)
        expected = sequence + 1
    if covered_until_ms < ended_ms:
        why = _tail_gap_reason(records, bool(sound))
        unknown.append(EvidenceGap(run.daemon, covered_until_ms, ended_ms, why))
    return RunHistory(run, ended_ms, sound, tuple(unknown))


def _gap_reason(records: _Records, expected: int, found: int) -> str:
    for sequence in range(expected, found):
        if sequence in records.damaged:
            return records.damaged[sequence]
    if expected == found:
        return f"No summary covers the time before record {found}."
    if expected == found - 1:
        return f"Record {expected} is missing."
    return f"Records {expected} to {found - 1} are missing."


def _tail_gap_reason(records: _Records, reported: bool) -> str:
    later = [n for n in records.damaged if n > max(records.sound, default=0)]
    if later:
        return records.damaged[min(later)]
    if records.run.ended_ms:
        return "The last summary of this run is missing."
    if not records.run.period_ms:
        return "Peers reported this run; it has written nothing."
    if reported:
        return "No summary since; the daemon crashed or can't write."
    return "It announced itself and has written no summary."
