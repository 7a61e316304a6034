"""Builds the page on one request: its timeline and the lines behind it."""

import html
import json
from typing import Any

from banyantiller.commands import html_page
from banyantiller.explain import explanation, timeline
from banyantiller.utils import plots

SPAN_COLOUR = "#4a78b5"
MARK_COLOUR = "#b3261e"
OBJECTIVE_COLOUR = "#5c6070"


def build(request_id: str, found: explanation.Explanation) -> str:
    """Builds the page.

    Returns:
        The HTML document.

    Raises:
        PluginError: matplotlib is not installed.
    """
    title = f"Request {request_id}"
    body = [f"<h1>{html.escape(title)}</h1>"]
    for way in timeline.build_timelines(found):
        label = f"way through {way.daemon}, ms after arrival"
        body.append(html_page.image(_draw(way, label), label))
    body += [f"<p>{html.escape(text)}</p>" for text in found.sentences]
    body.append(f"<p>Did it run: <b>{found.ran}</b>.</p>")
    body += [
        f'<p class="not">Not known: {html.escape(text)}</p>'
        for text in found.unknown
    ]
    rows = [
        (
            html.escape(line.daemon),
            html.escape(line.event),
            f"<code>{html.escape(json.dumps(line.fields))}</code>",
        )
        for line in found.lines
    ]
    body.append(html_page.table(("Daemon", "Event", "Line"), rows))
    return html_page.document(title, body)


def _draw(way: timeline.Timeline, title: str) -> str:
    rows = way.rows()

    def draw(axes: Any) -> None:
        for span in way.spans:
            axes.barh(
                rows.index(span.row),
                span.to_ms - span.from_ms,
                left=span.from_ms,
                color=SPAN_COLOUR,
                alpha=0.5,
            )
            axes.text(span.from_ms, rows.index(span.row), f" {span.label}",
                      fontsize=8, va="center")  # fmt: skip
        for mark in way.marks:
            at = (mark.at_ms, rows.index(mark.row))
            axes.plot(*at, "|", color=MARK_COLOUR, markersize=14)
            axes.annotate(mark.label, at, xytext=(2, 9), fontsize=7,
                          textcoords="offset points")  # fmt: skip
        if way.objective_ms is not None:
            axes.axvline(way.objective_ms, color=OBJECTIVE_COLOUR, ls=":")
        axes.set_yticks(range(len(rows)), rows)
        axes.set_ylim(len(rows) - 0.5, -0.5)
        axes.set_xlabel("ms; dotted: latency objective")

    return plots.to_data_uri(draw, title)
