"""Builds the report of a period: one HTML file that needs nothing else."""

import html
from collections.abc import Iterable, Sequence

from banyantiller.commands import evidence_output, times
from banyantiller.evidence import charts
from banyantiller.evidence.assessment import Assessment
from banyantiller.evidence.judging import Judgement, connected, joined
from banyantiller.evidence.promises import STATEMENTS, Promise
from banyantiller.evidence.verdicts import Broken, Held, NotKnown

STYLE = """\
body { font: 15px/1.5 sans-serif; max-width: 62rem; margin: 2rem auto;
       padding: 0 1rem; color: #1c1c1c; }
table { border-collapse: collapse; width: 100%; margin: 1rem 0; }
th, td { text-align: left; vertical-align: top; padding: .35rem .6rem;
         border-bottom: 1px solid #ddd; }
.held { color: #2a7f4f; } .broken { color: #b3261e; font-weight: bold; }
.not { color: #5c6070; } img { width: 100%; } code { font-size: 90%; }
"""
CLASSES: dict[type, str] = {Held: "held", Broken: "broken", NotKnown: "not"}


def build(found: Assessment, made_ms: int) -> str:
    """Builds the report.

    Args:
        found: The assessment.
        made_ms: Wall-clock milliseconds of the report.

    Returns:
        The HTML document.

    Raises:
        PluginError: matplotlib is not installed.
    """
    period = found.question.period
    title = f"What held: {found.question.deployment}"
    span = f"{times.text_of(period.from_ms)} to {times.text_of(period.to_ms)}"
    body = [
        f"<h1>{html.escape(title)}</h1>",
        f"<p>{span}. Made {times.text_of(made_ms)}. Times are UTC.</p>",
        "<h2>Answers</h2>",
        _image(charts.answers(found), "answers over time"),
        _answers(found),
        "<h2>What was seen</h2>",
        _image(charts.coverage(found), "evidence by daemon"),
        _image(charts.calls(found), "calls a second"),
        _image(charts.latencies(found), "latency"),
        _image(charts.bundles(found), "delay of bundles"),
        "<h2>Changes</h2>",
        _audit(found),
        "<h2>How each promise is judged</h2>",
        _statements(),
    ]
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{STYLE}</style></head>"
        f"<body>{''.join(body)}</body></html>\n"
    )


def _image(uri: str, label: str) -> str:
    return f'<img src="{uri}" alt="{html.escape(label)}">'


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Builds a table; cells are HTML."""
    top = "".join(f"<th>{cell}</th>" for cell in head)
    lines = (
        "<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{top}</tr>{''.join(lines)}</table>"


def _answers(found: Assessment) -> str:
    rows = [_answer_row(item) for item in joined(found.judgements)]
    return _table(("Promise", "Period", "Answer", "Detail"), rows)


def _answer_row(item: Judgement) -> tuple[str, str, str, str]:
    kind = type(item.verdict)
    answer = evidence_output.ANSWERS[kind]
    return (
        html.escape(STATEMENTS[item.promise].text),
        f"{times.text_of(item.from_ms)} to {times.text_of(item.to_ms)}",
        f'<span class="{CLASSES[kind]}">{answer}</span>',
        _detail(item),
    )


def _detail(item: Judgement) -> str:
    match item.verdict:
        case Held(calls):
            return f"{calls} calls seen"
        case Broken(named, unnamed, unknown):
            lines = [
                f"<code>{html.escape(breach.request_id or 'no request')}</code>"
                f" {times.text_of(breach.at_ms)}"
                f" {html.escape(breach.daemon or 'fleet')}:"
                f" {html.escape(breach.detail)}"
                for breach in named
            ]
            if unnamed:
                lines.append(f"{unnamed} more were only counted.")
        case NotKnown(_, unknown):
            lines = []
    lines += [
        f"Not known: {html.escape(part.daemon or 'fleet')}"
        f" {times.text_of(part.from_ms)} to {times.text_of(part.to_ms)}:"
        f" {html.escape(part.why)}"
        for part in connected(unknown)
    ]
    return "<br>".join(lines)


def _audit(found: Assessment) -> str:
    lines = [evidence_output.audit_line(found.audit)]
    lines += evidence_output.problem_lines(found.audit.problems)
    period = found.question.period
    rows = [
        (
            str(entry.get("sequence")),
            times.text_of(entry["at_ms"]),
            html.escape(str(entry.get("operator"))),
            html.escape(str(entry.get("action"))),
            html.escape(str(entry.get("detail"))),
        )
        for entry in found.audit.entries
        if isinstance(entry.get("at_ms"), int)
        and period.from_ms <= entry["at_ms"] < period.to_ms
    ]
    head = ("Entry", "Time", "Operator", "Action", "Detail")
    text = "<br>".join(html.escape(line) for line in lines)
    return f"<p>{text}</p>{_table(head, rows)}"


def _statements() -> str:
    rows = [
        (
            f"<code>{promise}</code>",
            html.escape(STATEMENTS[promise].text),
            html.escape(STATEMENTS[promise].judged_by),
            html.escape(STATEMENTS[promise].blind_to),
        )
        for promise in Promise
    ]
    head = ("Name", "Promise", "Judged by", "What the evidence can't show")
    return _table(head, rows)
