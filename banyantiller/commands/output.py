"""Prints results for people or, as one line of JSON, for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from banyantiller import exceptions
from banyantiller.config.problems import Problem


def emit(as_json: bool, data: Any, lines: Iterable[str]) -> None:
    """Prints a result.

    Args:
        as_json: Whether programs read it.
        data: JSON-compatible result.
        lines: The same for people.
    """
    if as_json:
        print(json.dumps(data, ensure_ascii=False))
        return
    for line in lines:
        print(line)


def progress(as_json: bool, line: str) -> None:
    """Prints a line of progress for people, apart from the result."""
    if not as_json:
        print(line, file=sys.stderr, flush=True)


def write_file(path: str, text: str) -> None:
    """Writes a file.

    Raises:
        BanyantillerError: It can't be written.
    """
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise exceptions.BanyantillerError(
            f"'{path}' can't be written: {error.strerror}."
        ) from error


def problem_data(problem: Problem) -> dict[str, Any]:
    """Returns a problem as a JSON object."""
    return {
        "file": problem.file,
        "line": problem.place.line,
        "column": problem.place.column,
        "path": problem.path,
        "message": problem.message,
        "level": "warning" if problem.warning else "error",
    }


def fail(as_json: bool, error: exceptions.BanyantillerError) -> int:
    """Prints an error and returns its exit status."""
    if not as_json:
        print(error, file=sys.stderr)
        return error.exit_code
    data: dict[str, Any] = {
        "error": type(error).__name__,
        "message": str(error),
        "exit_code": error.exit_code,
    }
    if isinstance(error, exceptions.ConfigError):
        data["problems"] = [problem_data(item) for item in error.problems]
    print(json.dumps(data, ensure_ascii=False))
    return error.exit_code


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Aligns rows under a head; says so if there are none."""
    if not rows:
        return ["None."]
    widths = [
        max(len(row[column]) for row in (head, *rows))
        for column in range(len(head))
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in (head, *rows)
    ]
