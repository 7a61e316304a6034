"""The way of one request over time, from the lines that show it."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from banyantiller.explain import reading, story

MILLISECONDS = 1000
# Row of what the daemon itself did.
DAEMON = "daemon"


class Span(NamedTuple):
    """A time that the request spent somewhere.

    Attributes:
        row: `DAEMON`, or a server.
        from_ms: Begin, in milliseconds after the request's arrival.
        to_ms: End.
        label: What it is.
    """

    row: str
    from_ms: float
    to_ms: float
    label: str


class Mark(NamedTuple):
    """One line of the log.

    Attributes:
        row: `DAEMON`, or the server that it names.
        at_ms: Its time, in milliseconds after the request's arrival.
        label: What it says.
    """

    row: str
    at_ms: float
    label: str


class Timeline(NamedTuple):
    """The way of a request through one daemon.

    Attributes:
        daemon: The daemon, by whose clock all times are.
        spans: Where it spent its time.
        marks: What happened.
        objective_ms: Latency objective, or None.
    """

    daemon: str
    spans: list[Span]
    marks: list[Mark]
    objective_ms: float | None

    def rows(self) -> list[str]:
        """Returns the rows in the order in which they appear."""
        named = [item.row for item in (*self.spans, *self.marks)]
        return list(dict.fromkeys([DAEMON, *named]))


def build(found: story.Story) -> list[Timeline]:
    """Returns a timeline for each daemon that says how the request ended."""
    return [
        _of_daemon(line, found.lines)
        for line in found.lines
        if line.event == story.ENDED
    ]


def _of_daemon(ended: reading.Line, lines: list[reading.Line]) -> Timeline:
    fields = ended.fields
    took_ms = float(fields.get("took_ms") or 0.0)
    arrived_ms = ended.at_s * MILLISECONDS - took_ms
    marks = [
        Mark(
            line.fields.get("instance") or DAEMON,
            round(line.at_s * MILLISECONDS - arrived_ms, 1),
            _label(line),
        )
        for line in lines
        if line.daemon == ended.daemon and line is not ended
    ]
    return Timeline(
        ended.daemon,
        list(_spans(fields, took_ms)),
        marks,
        fields.get("objective_ms"),
    )


def _spans(fields: dict[str, Any], took_ms: float) -> Iterator[Span]:
    """Yields what the last line of a request tells of its time.

    Of earlier servers it has no times; the lines on their failures do.
    """
    instances = fields.get("instances") or []
    end = f"ended with {fields.get('status')}"
    if not instances:
        yield Span(DAEMON, 0.0, took_ms, f"waits for a server, {end}")
        return
    sent_ms = float(fields.get("sent_ms") or 0.0)
    before = "chooses a server"
    if len(instances) > 1:
        before = f"tries {len(instances) - 1} before the last server"
    yield Span(DAEMON, 0.0, sent_ms, before)
    yield Span(instances[-1], sent_ms, took_ms, end)


def _label(line: reading.Line) -> str:
    event = line.event.partition(": ")[2].rstrip(".")
    reason = line.fields.get("reason") or line.fields.get("error")
    return f"{event} ({reason})" if reason else event
