"""Reads times of the command line and writes times for people."""

import datetime
import re

from banyantiller import exceptions

UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}
AGO = re.compile(r"(\d+)([smhd])")
SECOND_MS = 1000


def to_ms(seconds: float) -> int:
    """Converts seconds to whole milliseconds."""
    return round(seconds * SECOND_MS)


def duration_s(text: str) -> float | None:
    """Reads a duration such as "90m"; None if it is none."""
    match = AGO.fullmatch(text)
    if match is None:
        return None
    return int(match[1]) * UNITS_S[match[2]]


def moment_ms(text: str, now: float) -> int:
    """Reads a time.

    Args:
        text: A UTC time such as "2026-12-02T10:00:00Z", or a duration before
            now such as "90m".
        now: Wall-clock seconds.

    Returns:
        Wall-clock milliseconds.

    Raises:
        ConfigError: It is neither.
    """
    ago_s = duration_s(text)
    if ago_s is not None:
        return to_ms(now - ago_s)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise exceptions.ConfigError(
            f"'{text}' is neither a time such as 2026-12-02T10:00:00Z nor a"
            " duration such as 90m."
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return to_ms(moment.timestamp())


def text_of(at_ms: int) -> str:
    """Returns a time in UTC, such as "2026-12-02T10:00:00Z"."""
    at = datetime.datetime.fromtimestamp(at_ms / SECOND_MS, datetime.UTC)
    return f"{at:%Y-%m-%dT%H:%M:%SZ}"
