"""Timeline of one request, built from the log lines that show it."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from banyantiller.explain import explanation, log_reader

MS_PER_S = 1000
# Row of the time spent, and the events, inside the daemon.
DAEMON_ROW = "daemon"


class Span(NamedTuple):
    """A period that the request spent in the daemon or at a server.

    Attributes:
        row: `DAEMON_ROW`, or the identity of a server.
        from_ms: Start, in milliseconds after the request's arrival.
        to_ms: End, in milliseconds after the request's arrival.
        label: Description of the period.
    """

    row: str
    from_ms: float
    to_ms: float
    label: str


class Mark(NamedTuple):
    """A log line, placed on the timeline.

    Attributes:
        row: `DAEMON_ROW`, or the server that the line names.
        at_ms: Its time, in milliseconds after the request's arrival.
        label: Text of its event, with the reason if it has one.
    """

    row: str
    at_ms: float
    label: str


class Timeline(NamedTuple):
    """Timeline of a request in one daemon.

    Attributes:
        daemon: Name of the daemon; all times are by its clock.
        spans: Periods that the request spent in the daemon and at a server.
        marks: Log lines of the daemon that concern the request.
        objective_ms: Latency objective in milliseconds, or None.
    """

    daemon: str
    spans: list[Span]
    marks: list[Mark]
    objective_ms: float | None

    def rows(self) -> list[str]:
        """Returns the row names, the daemon's first, in order of appearance."""
        named = [item.row for item in (*self.spans, *self.marks)]
        return list(dict.fromkeys([DAEMON_ROW, *named]))


def build_timelines(found: explanation.Explanation) -> list[Timeline]:
    """Returns a timeline for each daemon that logged the request's end."""
    return [
        _build_timeline(line, found.lines)
        for line in found.lines
        if line.event == explanation.CALL_ENDED_EVENT
    ]


def _build_timeline(
    ended: log_reader.LogLine, lines: list[log_reader.LogLine]
) -> Timeline:
    fields = ended.fields
    took_ms = float(fields.get("took_ms") or 0.0)
    arrived_ms = ended.at_s * MS_PER_S - took_ms
    marks = [
        Mark(
            line.fields.get("instance") or DAEMON_ROW,
            round(line.at_s * MS_PER_S - arrived_ms, 1),
            _mark_label(line),
        )
        for line in lines
        if line.daemon == ended.daemon and line is not ended
    ]
    return Timeline(
        ended.daemon,
        list(_request_spans(fields, took_ms)),
        marks,
        fields.get("objective_ms"),
    )


def _request_spans(fields: dict[str, Any], took_ms: float) -> Iterator[Span]:
    """Yields the periods that the last line of a request shows.

    That line has no times of earlier attempts; the lines on their failures
    do.
    """
    instances = fields.get("instances") or []
    end = f"ended with {fields.get('status')}"
    if not instances:
        yield Span(DAEMON_ROW, 0.0, took_ms, f"waits for a server, {end}")
        return
    sent_ms = float(fields.get("sent_ms") or 0.0)
    before = "chooses a server"
    if len(instances) > 1:
        before = f"attempts before the last one: {len(instances) - 1}"
    yield Span(DAEMON_ROW, 0.0, sent_ms, before)
    yield Span(instances[-1], sent_ms, took_ms, end)


def _mark_label(line: log_reader.LogLine) -> str:
    event = line.event.partition(": ")[2].rstrip(".")
    reason = line.fields.get("reason") or line.fields.get("error")
    return f"{event} ({reason})" if reason else event
