"""Builds the report of a period: one HTML file that needs nothing else."""

import html

from banyantiller.commands import evidence_output, html_page, times
from banyantiller.evidence import charts
from banyantiller.evidence.assessment import Assessment
from banyantiller.evidence.judging import Judgement, join_gaps, join_judgements
from banyantiller.evidence.promises import STATEMENTS, Promise
from banyantiller.evidence.verdicts import Broken, Held, NotKnown

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
    period = found.request.period
    title = f"What held: {found.request.deployment}"
    span = f"{times.text_of(period.from_ms)} to {times.text_of(period.to_ms)}"
    body = [
        f"<h1>{html.escape(title)}</h1>",
        f"<p>{span}. Made {times.text_of(made_ms)}. Times are UTC.</p>",
        "<h2>Answers</h2>",
        html_page.image(charts.draw_verdicts(found), "answers over time"),
        _answers(found),
        "<h2>What was seen</h2>",
        html_page.image(charts.draw_coverage(found), "evidence by daemon"),
        html_page.image(charts.draw_calls(found), "calls a second"),
        html_page.image(charts.draw_latencies(found), "latency"),
        html_page.image(charts.draw_bundle_delays(found), "delay of bundles"),
        "<h2>Changes</h2>",
        _audit(found),
        "<h2>How each promise is judged</h2>",
        _statements(),
    ]
    return html_page.document(title, body)


def _answers(found: Assessment) -> str:
    rows = [_answer_row(item) for item in join_judgements(found.judgements)]
    return html_page.table(("Promise", "Period", "Answer", "Detail"), rows)


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
        for part in join_gaps(unknown)
    ]
    return "<br>".join(lines)


def _audit(found: Assessment) -> str:
    lines = [evidence_output.audit_line(found.audit)]
    lines += evidence_output.problem_lines(found.audit.problems)
    period = found.request.period
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
    return f"<p>{text}</p>{html_page.table(head, rows)}"


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
    return html_page.table(head, rows)
