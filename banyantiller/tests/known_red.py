"""Reads the list of tests that fail for a known fault."""

import pathlib
from typing import NamedTuple

LIST_PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
SEPARATOR = " | "
COMMENT = "#"
FIELD_COUNT = 4


class KnownFailure(NamedTuple):
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
    observed: str
    issue: str


def read_entries(path: pathlib.Path = LIST_PATH) -> list[KnownFailure]:
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
    return [_parse_entry(text) for text in lines if _is_entry(text)]


def format_entry(entry: KnownFailure) -> str:
    """Returns an entry as it stands in the list."""
    return SEPARATOR.join(entry)


def _is_entry(text: str) -> bool:
    return bool(text.strip()) and not text.startswith(COMMENT)


def _parse_entry(text: str) -> KnownFailure:
    fields = [field.strip() for field in text.split(SEPARATOR)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise ValueError(f"KNOWN-RED.txt: not four fields: {text!r}")
    return KnownFailure(*fields)
