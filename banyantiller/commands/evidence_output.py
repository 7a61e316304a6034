"""Evidence as JSON for programs and as text for people."""

from typing import Any

from banyantiller.commands import times
from banyantiller.evidence import chain, trail
from banyantiller.evidence.assessment import Assessment
from banyantiller.evidence.history import EvidenceGap, RunHistory
from banyantiller.evidence.judging import Judgement, join_gaps, join_judgements
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.verdicts import Broken, Held, NamedBreach, NotKnown

MOST_LINES = 20

ANSWERS: dict[type, str] = {
    Held: "held",
    Broken: "broken",
    NotKnown: "not known",
}


def assessment_data(found: Assessment) -> dict[str, Any]:
    """Returns an assessment as a JSON object."""
    period = found.request.period
    return {
        "deployment": found.request.deployment,
        "from": times.text_of(period.from_ms),
        "to": times.text_of(period.to_ms),
        "daemons": [_run_data(item) for item in found.histories],
        "promises": [judgement_data(item) for item in found.judgements],
        "audit": audit_data(found.audit),
    }


def judgement_data(item: Judgement) -> dict[str, Any]:
    """Returns a judgement as a JSON object."""
    data: dict[str, Any] = {
        "promise": str(item.promise),
        "from": times.text_of(item.from_ms),
        "to": times.text_of(item.to_ms),
        "answer": ANSWERS[type(item.verdict)],
    }
    match item.verdict:
        case Held(calls):
            data["calls"] = calls
        case Broken(named, unnamed, unknown):
            data["breaches"] = [_named_data(breach) for breach in named]
            data["not_named"] = unnamed
            data["unknown"] = [_unknown_data(part) for part in unknown]
        case NotKnown(since_ms, unknown):
            data["since"] = times.text_of(since_ms)
            data["unknown"] = [_unknown_data(part) for part in unknown]
    return data


def audit_data(report: trail.AuditReport) -> dict[str, Any]:
    """Returns a check of the audit trail as a JSON object."""
    return {
        "intact": report.intact,
        "entries": len(report.entries),
        "tip": {"sequence": report.tip.sequence, "digest": report.tip.digest},
        "problems": [
            {
                "sequence": problem.sequence,
                "damage": str(problem.damage),
                "detail": problem.detail,
            }
            for problem in report.problems
        ],
    }


def assessment_lines(found: Assessment) -> list[str]:
    """Returns an assessment as lines of text."""
    period = found.request.period
    lines = [
        f"{found.request.deployment}: {times.text_of(period.from_ms)} to"
        f" {times.text_of(period.to_ms)}, {_daemons(found)}"
    ]
    judgements = join_judgements(found.judgements)
    for item in judgements:
        lines += _judgement_lines(item)
    lines += _missing_lines(judgements)
    lines.append(audit_line(found.audit))
    lines += problem_lines(found.audit.problems)
    return lines


def audit_line(report: trail.AuditReport) -> str:
    """Returns one line on the state of the audit trail."""
    state = "intact" if report.intact else "DAMAGED"
    tip = f"{report.tip.sequence}:{report.tip.digest}"
    if not report.tip.sequence:
        return f"audit trail: {state}, empty"
    return f"audit trail: {state}, {len(report.entries)} entries, ends at {tip}"


def problem_lines(problems: tuple[chain.Problem, ...]) -> list[str]:
    """Returns one line for each damaged place."""
    return [
        f"  entry {problem.sequence} {problem.damage}: {problem.detail}"
        for problem in problems
    ]


def _daemons(found: Assessment) -> str:
    period = found.request.period
    names = {
        item.run.daemon
        for item in found.histories
        if item.run.started_ms < period.to_ms
        and item.ended_ms >= period.from_ms
    }
    return f"{len(names)} daemons"


def _judgement_lines(item: Judgement) -> list[str]:
    answer = ANSWERS[type(item.verdict)]
    when = f"{times.text_of(item.from_ms)} to {times.text_of(item.to_ms)}"
    head = f"{item.promise:<22} {answer:<9} {when}"
    match item.verdict:
        case Held(calls):
            return [f"{head}  {calls} calls seen"]
        case Broken(named, unnamed, _):
            lines = [f"{head}  {len(named) + unnamed} breaches"]
            lines += _bounded([_named_line(breach) for breach in named])
            if unnamed:
                lines.append(f"  and {unnamed} that were only counted")
            return lines
        case NotKnown(since_ms, _):
            return [f"{head}  since {times.text_of(since_ms)}"]


def _missing_lines(judgements: list[Judgement]) -> list[str]:
    """Returns what is missing, once for all promises that it concerns."""
    promises: dict[EvidenceGap, list[str]] = {}
    for item in judgements:
        if not isinstance(item.verdict, Held):
            for part in join_gaps(item.verdict.unknown):
                names = promises.setdefault(part, [])
                if item.promise not in names:
                    names.append(item.promise)
    lines = [
        f"  {part.daemon or 'fleet'}"
        f" {times.text_of(part.from_ms)} to {times.text_of(part.to_ms)}:"
        f" {part.why}{_concerned(names)}"
        for part, names in sorted(promises.items(), key=lambda pair: pair[0][1])
    ]
    return ["not known:", *_bounded(lines)] if lines else []


def _concerned(names: list[str]) -> str:
    if len(names) == len(Promise):
        return ""
    return f" ({', '.join(names)})"


def _bounded(lines: list[str]) -> list[str]:
    if len(lines) <= MOST_LINES:
        return lines
    more = len(lines) - MOST_LINES
    return [*lines[:MOST_LINES], f"  and {more} more; see --json"]


def _named_line(breach: NamedBreach) -> str:
    request = breach.request_id or "no request"
    daemon = breach.daemon or "fleet"
    at = times.text_of(breach.at_ms)
    return f"  {request} at {at} by {daemon}: {breach.detail}"


def _named_data(breach: NamedBreach) -> dict[str, Any]:
    return {
        "daemon": breach.daemon,
        "request_id": breach.request_id,
        "detail": breach.detail,
        "at": times.text_of(breach.at_ms),
    }


def _unknown_data(part: EvidenceGap) -> dict[str, Any]:
    return {
        "daemon": part.daemon,
        "from": times.text_of(part.from_ms),
        "to": times.text_of(part.to_ms),
        "why": part.why,
    }


def _run_data(item: RunHistory) -> dict[str, Any]:
    return {
        "daemon": item.run.daemon,
        "zone": item.run.zone,
        "started": times.text_of(item.run.started_ms),
        "ended": "" if item.living else times.text_of(item.ended_ms),
        "summaries": len(item.summaries),
    }
