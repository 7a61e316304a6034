"""Parses log lines of daemons and counts those that it cannot parse."""

import datetime
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

LINES_LOST_EVENT = "telemetry: lines were lost."


class LogLine(NamedTuple):
    """One event that a daemon logged.

    Attributes:
        daemon: Name of the daemon; empty if the line has none.
        at_s: Wall clock of the daemon, in seconds since the epoch; 0 if the
            line has no timestamp.
        event: Text of the event.
        fields: All fields of the line.
    """

    daemon: str
    at_s: float
    event: str
    fields: dict[str, Any]


class ParsedLogs(NamedTuple):
    """Parsed log lines, with counts of the missing ones.

    Attributes:
        lines: Events, in the order in which each daemon wrote them.
        unreadable: Number of lines that are not an event, including truncated
            ones.
        lost: Number of lines that daemons report as not written.
    """

    lines: list[LogLine]
    unreadable: int
    lost: int


def parse_lines(texts: Iterable[str]) -> ParsedLogs:
    """Parses lines; text before the first brace of a line is ignored."""
    lines: list[LogLine] = []
    unreadable = 0
    lost = 0
    for text in texts:
        if not text.strip():
            continue
        line = _parse_line(text)
        if line is None:
            unreadable += 1
        elif line.event == LINES_LOST_EVENT:
            lost += int(line.fields.get("lines", 0))
        else:
            lines.append(line)
    return ParsedLogs(lines, unreadable, lost)


def _parse_line(text: str) -> LogLine | None:
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(text[begin:])
        stamp = fields.get("timestamp")
        at_s = _parse_timestamp(stamp) if stamp else 0.0
        return LogLine(
            str(fields.get("daemon", "")), at_s, fields["event"], fields
        )
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def _parse_timestamp(stamp: str) -> float:
    return datetime.datetime.fromisoformat(
        stamp.replace("Z", "+00:00")
    ).timestamp()
