"""Reads the list of tests that fail because of a known fault."""

import pathlib
from typing import NamedTuple

LIST_PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
SEPARATOR = " | "
COMMENT = "#"
FIELD_COUNT = 4


class KnownFailure(NamedTuple):
    """A test that fails because of a fault that is not fixed yet.

    Attributes:
        test: Node ID of the test in pytest; or a description of another run,
            such as `soak seed N`, which is only printed.
        command: Command that runs the test, with its seed if it has one.
        observed: What was observed when it failed.
        issue: Open issue for the fault.
    """

    test: str
    command: str
    observed: str
    issue: str


def read_entries(path: pathlib.Path = LIST_PATH) -> list[KnownFailure]:
    """Returns the entries of a list; no entries if the file does not exist.

    Args:
        path: File with one entry per line, with fields separated by " | ".
            Empty lines and lines that begin with "#" are ignored.

    Raises:
        ValueError: A line does not have exactly four non-empty fields.
    """
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [_parse_entry(text) for text in lines if _is_entry(text)]


def format_entry(entry: KnownFailure) -> str:
    """Returns an entry in the format of the list."""
    return SEPARATOR.join(entry)


def _is_entry(text: str) -> bool:
    return bool(text.strip()) and not text.startswith(COMMENT)


def _parse_entry(text: str) -> KnownFailure:
    fields = [field.strip() for field in text.split(SEPARATOR)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise ValueError(
            f"KNOWN-RED.txt: line does not have four fields: {text!r}"
        )
    return KnownFailure(*fields)
