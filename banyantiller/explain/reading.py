"""Reads log lines of daemons; what can't be read is counted."""

import datetime
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

LOST = "telemetry: lines were lost."


class Line(NamedTuple):
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


class Logs(NamedTuple):
    """What was read.

    Attributes:
        lines: Lines in the order of each daemon's own output.
        unreadable: Lines that are no event, cut ones among them.
        lost: Lines that daemons say they could not write.
    """

    lines: list[Line]
    unreadable: int
    lost: int


def read(texts: Iterable[str]) -> Logs:
    """Reads lines; what stands before the first brace is passed over."""
    lines: list[Line] = []
    unreadable = 0
    lost = 0
    for text in texts:
        if not text.strip():
            continue
        line = _parse(text)
        if line is None:
            unreadable += 1
        elif line.event == LOST:
            lost += int(line.fields.get("lines", 0))
        else:
            lines.append(line)
    return Logs(lines, unreadable, lost)


def _parse(text: str) -> Line | None:
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(text[begin:])
        stamp = fields.get("timestamp")
        at_s = _seconds(stamp) if stamp else 0.0
        return Line(
            str(fields.get("daemon", "")), at_s, fields["event"], fields
        )
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def _seconds(stamp: str) -> float:
    return datetime.datetime.fromisoformat(
        stamp.replace("Z", "+00:00")
    ).timestamp()
