"""Reads the list of tests that fail for a known fault."""

import pathlib
from typing import NamedTuple

PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
SEPARATOR = " | "
COMMENT = "#"
FIELDS = 4


class KnownRed(NamedTuple):
    """A test that fails for a fault that is not mended yet.

    Attributes:
        test: Identity of the test, as pytest prints it, or `soak seed N`, which
            is only printed here.
        command: Command that runs it, with its seed if it has one.
        seen: What was seen.
        issue: Issue in which the fault is open.
    """

    test: str
    command: str
    seen: str
    issue: str


def read(path: pathlib.Path = PATH) -> list[KnownRed]:
    """Returns the entries of a list; none if there is no such file.

    Args:
        path: File with one entry a line, its fields separated by " | ".
            Empty lines and lines that begin with "#" are left out.

    Raises:
        ValueError: A line has not all four fields.
    """
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [_entry(text) for text in lines if _states(text)]


def line(entry: KnownRed) -> str:
    """Returns an entry as it stands in the list."""
    return SEPARATOR.join(entry)


def _states(text: str) -> bool:
    return bool(text.strip()) and not text.startswith(COMMENT)


def _entry(text: str) -> KnownRed:
    fields = [field.strip() for field in text.split(SEPARATOR)]
    if len(fields) != FIELDS or not all(fields):
        raise ValueError(f"KNOWN-RED.txt: not four fields: {text!r}")
    return KnownRed(*fields)
