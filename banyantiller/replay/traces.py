"""The form of a trace: JSON lines, the first of which is the header.

The header names the format's version and the core that the trace drives. A
line with `t` is an input at that time; its other key names the input and
holds its fields. A line with `expect` states an outcome. See
docs/developer-guide/traces.md.
"""

import itertools
import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from banyantiller import exceptions
from banyantiller.bundle import plain

FORMAT = 1
CORES = ("dispatcher", "replica", "claims", "rolls", "selector")
TIME = "t"
EXPECT = "expect"


class TraceError(exceptions.BanyantillerError):
    """A trace is not of the documented form."""

    exit_code = 2


class Line(NamedTuple):
    """One input or expectation, not yet typed.

    Attributes:
        number: Line in the file, from 1.
        at: Time of an input in seconds, 0 for an expectation.
        name: Name of the input or expectation.
        fields: Its fields.
    """

    number: int
    at: float
    name: str
    fields: dict[str, Any]


class Trace(NamedTuple):
    """A whole trace.

    Attributes:
        core: Which decision code it drives.
        header: Fields of the header.
        inputs: Inputs in the order of the file.
        expected: Stated outcomes.
    """

    core: str
    header: dict[str, Any]
    inputs: tuple[Line, ...]
    expected: tuple[Line, ...]


class Result(NamedTuple):
    """Whether one stated outcome came about.

    Attributes:
        number: Line of the expectation.
        name: Name of the expectation.
        fields: Its fields.
        problem: What was otherwise, empty if it holds.
    """

    number: int
    name: str
    fields: dict[str, Any]
    problem: str


def parse(text: str) -> Trace:
    """Parses a trace.

    Raises:
        TraceError: It is not of the documented form.
    """
    rows = [
        (number, _object(number, row))
        for number, row in enumerate(text.splitlines(), 1)
        if row.strip()
    ]
    if not rows:
        raise TraceError("The trace is empty.")
    header = _header(rows[0][1])
    lines = [_line(number, row) for number, row in rows[1:]]
    inputs = tuple(line for line, is_input in lines if is_input)
    expected = tuple(line for line, is_input in lines if not is_input)
    _check_order(inputs)
    return Trace(header["core"], header, inputs, expected)


def typed(line: Line, kinds: Mapping[str, type]) -> Any:
    """Builds the typed input or expectation of a line.

    Args:
        line: The line.
        kinds: `NamedTuple` types by name.

    Raises:
        TraceError: The name or a field is not known or not valid.
    """
    kind = kinds.get(line.name)
    if kind is None:
        known = ", ".join(kinds)
        raise TraceError(
            f"Line {line.number}: '{line.name}' is not one of {known}."
        )
    return from_fields(line.fields, kind, f"Line {line.number}")


def from_fields(fields: Any, kind: type, place: str) -> Any:
    """Builds a `NamedTuple` from JSON fields.

    Raises:
        TraceError: A field is not known, missing or of the wrong type.
    """
    try:
        return plain.from_plain(fields, kind, "it")
    except plain.PlainError as error:
        raise TraceError(f"{place}: {error}.") from error


def check(
    trace: Trace, kinds: Mapping[str, type], log: Any
) -> tuple[Result, ...]:
    """Checks the stated outcomes of a trace.

    Args:
        trace: The trace.
        kinds: Types of expectations by name; each has a method
            `problem(log)` that returns what is otherwise, or "".
        log: What happened.
    """
    return tuple(
        Result(line.number, line.name, line.fields, outcome.problem(log))
        for line, outcome in typed_lines(trace.expected, kinds)
    )


def typed_lines(
    lines: Iterable[Line], kinds: Mapping[str, type]
) -> list[tuple[Line, Any]]:
    """Types all lines before the first of them is used."""
    return [(line, typed(line, kinds)) for line in lines]


def write(at: float, name: str, value: Any) -> str:
    """Returns the line of a typed input."""
    fields = plain.to_plain(value)
    return json.dumps({TIME: at, name: fields}) + "\n"


def _object(number: int, row: str) -> dict[str, Any]:
    try:
        value = json.loads(row)
    except (ValueError, RecursionError) as error:
        raise TraceError(f"Line {number}: not JSON: {error}.") from error
    if not isinstance(value, dict):
        raise TraceError(f"Line {number}: not an object.")
    return value


def _header(fields: dict[str, Any]) -> dict[str, Any]:
    if fields.get("trace") != FORMAT:
        raise TraceError(f"Line 1: 'trace' is not {FORMAT}.")
    if fields.get("core") not in CORES:
        raise TraceError(f"Line 1: 'core' is not one of {', '.join(CORES)}.")
    return fields


def _line(number: int, row: dict[str, Any]) -> tuple[Line, bool]:
    if EXPECT in row:
        name = row.pop(EXPECT)
        if not isinstance(name, str):
            raise TraceError(f"Line {number}: '{EXPECT}' is not a name.")
        return Line(number, 0.0, name, row), False
    at = row.pop(TIME, None)
    if not isinstance(at, int | float) or isinstance(at, bool):
        raise TraceError(f"Line {number}: neither '{EXPECT}' nor '{TIME}'.")
    if len(row) != 1:
        raise TraceError(f"Line {number}: not exactly one input.")
    ((name, fields),) = row.items()
    if not isinstance(fields, dict):
        raise TraceError(f"Line {number}: the input is not an object.")
    return Line(number, float(at), name, fields), True


def _check_order(inputs: tuple[Line, ...]) -> None:
    for before, after in itertools.pairwise(inputs):
        if after.at < before.at:
            raise TraceError(
                f"Line {after.number}: earlier than the line before."
            )
