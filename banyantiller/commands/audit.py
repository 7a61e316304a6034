"""`banyantiller audit`: shows and checks the audit trail of changes."""

from typing import Any

from banyantiller import exceptions
from banyantiller.commands import context, evidence_output, output, times
from banyantiller.evidence import assessment, chain, judging, trail

DAMAGED_STATUS = 9
RECENT_MS = 86_400_000

Entries = tuple[dict[str, Any], ...]


def audit(
    *,
    last: int = 20,
    expect: str = "",
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Shows the audit trail and tells whether an entry is missing or altered.

    The end of the trail is compared with what writers recorded and what
    daemons carried in their summaries of the last day. Keep the printed end
    somewhere else and give it to a later check by `--expect`.

    The exit status is 0 if the trail is intact and 9 if it is damaged.

    Args:
        last: Number of entries to show; 0 shows all.
        expect: End of the trail as an earlier check printed it, as
            "SEQUENCE:DIGEST".
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        seen = await _seen(session)
        if expect:
            seen.add(_tip(expect))
        report = await trail.verify(session.store, session.deployment, seen)
        if not report.readable:
            raise exceptions.StoreError(
                f"The object API failed: {report.reason}."
            )
        shown = report.entries[-last:] if last > 0 else report.entries
        output.emit(json, _data(report, shown), _lines(report, shown))
        return 0 if report.intact else DAMAGED_STATUS

    return context.run(settings, body)


async def _seen(session: context.Session) -> set[chain.Tip]:
    now_ms = times.to_ms(session.wall())
    period = judging.Period(now_ms - RECENT_MS, now_ms)
    return await assessment.read_carried_tips(
        session.store, session.deployment, period
    )


def _data(report: trail.AuditReport, shown: Entries) -> dict[str, Any]:
    return {
        **evidence_output.audit_data(report),
        "shown": [_entry_data(entry) for entry in shown],
    }


def _lines(report: trail.AuditReport, shown: Entries) -> list[str]:
    return [
        *(_entry_line(entry) for entry in shown),
        evidence_output.audit_line(report),
        *evidence_output.problem_lines(report.problems),
    ]


def _tip(text: str) -> chain.Tip:
    sequence, _, digest = text.partition(":")
    if not sequence.isdecimal() or not digest:
        raise exceptions.ConfigError(f"'{text}' is not SEQUENCE:DIGEST.")
    return chain.Tip(int(sequence), digest)


def _entry_data(entry: dict[str, Any]) -> dict[str, Any]:
    fields = ("sequence", "action", "operator", "detail", "digest")
    data = {name: entry.get(name) for name in fields}
    data["at"] = _at(entry)
    return data


def _entry_line(entry: dict[str, Any]) -> str:
    detail = entry.get("detail")
    items = detail.items() if isinstance(detail, dict) else ()
    text = " ".join(f"{name}={value}" for name, value in items)
    return (
        f"{entry.get('sequence')}  {_at(entry)}  {entry.get('operator')}"
        f"  {entry.get('action')}  {text}"
    )


def _at(entry: dict[str, Any]) -> str:
    at_ms = entry.get("at_ms")
    return times.text_of(at_ms) if isinstance(at_ms, int) else "?"
