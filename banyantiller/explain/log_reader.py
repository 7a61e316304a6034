"""Reads log lines of daemons; what can't be read is counted."""

import datetime
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

LINES_LOST_EVENT = "telemetry: lines were lost."


class LogLine(NamedTuple):
    """One event that a daemon logged.

    Attributes:
        daemon: Name of the daemon, or empty.
        at_s: Its own wall clock, in seconds since 1970.
        event: What happened.
        fields: All fields of the line.
    """

    daemon: str
    at_s: float
    event: str
    fields: dict[str, Any]


class ParsedLogs(NamedTuple):
    """What was read.

    Attributes:
        lines: Lines in the order of each daemon's own output.
        unreadable: Lines that are no event, cut ones among them.
        lost: Lines that daemons say they could not write.
    """

    lines: list[LogLine]
    unreadable: int
    lost: int


def parse_lines(texts: Iterable[str]) -> ParsedLogs:
    """Reads lines; what stands before the first brace is passed over."""
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
