"""Reads YAML text of bounded size into nodes with line and column."""

import yaml

from banyantiller import exceptions
from banyantiller.config.problems import Place, Problem

MAX_TEXT_BYTES = 4_000_000
MAX_DEPTH = 40
MAX_NODES = 500_000

START = Place(1, 1)

Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def place(mark: yaml.Mark | None) -> Place:
    """Converts a position of the YAML parser."""
    if mark is None:
        return START
    return Place(mark.line + 1, mark.column + 1)


def read_file(path: str) -> str:
    """Reads a UTF-8 file of bounded size.

    Raises:
        ConfigError: The file cannot be read or is too large.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_TEXT_BYTES + 1)
    except OSError as error:
        raise _refusal(path, f"cannot be read: {error.strerror}.") from error
    if len(data) > MAX_TEXT_BYTES:
        raise _refusal(path, f"is larger than {MAX_TEXT_BYTES} bytes.")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _refusal(path, "is not UTF-8.") from error


def compose(text: str, file: str) -> yaml.Node:
    """Parses a text that is one YAML document.

    Args:
        text: YAML text.
        file: File name for messages.

    Returns:
        The root node, with bounded size and depth before aliases are expanded.

    Raises:
        ConfigError: The text is too large, empty or not YAML.
    """
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        raise _refusal(file, f"is larger than {MAX_TEXT_BYTES} bytes.")
    try:
        _bound_events(text, file)
        root = yaml.compose(text, Loader=Loader)
    except yaml.MarkedYAMLError as error:
        where = place(error.problem_mark or error.context_mark)
        raise _refusal(file, f"is not YAML: {error.problem}.", where) from error
    except (yaml.YAMLError, ValueError) as error:
        raise _refusal(file, f"is not YAML: {error}.") from error
    if root is None:
        raise _refusal(file, "is empty.")
    return root


def _bound_events(text: str, file: str) -> None:
    depth = 0
    for count, event in enumerate(yaml.parse(text, Loader=Loader)):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH or count > MAX_NODES:
            where = place(event.start_mark)
            raise _refusal(file, "is nested too deeply or too long.", where)


def _refusal(
    file: str, message: str, where: Place = START
) -> exceptions.ConfigError:
    problem = Problem(file, where, "", f"The file {message}")
    return exceptions.ConfigError(problem.text(), (problem,))
