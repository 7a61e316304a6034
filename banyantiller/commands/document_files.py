"""Reads documents of the platform from files, with the places of values."""

import json
import math
import sys
from typing import Any

import yaml

from banyantiller import exceptions
from banyantiller.config import documents, problems
from banyantiller.utils import decoding

STANDARD_INPUT = "-"
STANDARD_INPUT_NAME = "standard input"
JSON_TYPES = (str, int, float, bool, type(None))

# Raised for text that does not suit its explicit tag, or is nested too deeply.
CONSTRUCTION_ERRORS = (
    yaml.YAMLError,
    ValueError,
    LookupError,
    AttributeError,
    RecursionError,
)


def read(file: str) -> tuple[Any, problems.Problems]:
    """Reads a document in JSON or YAML.

    Args:
        file: Path of the file, or `-` for the standard input.

    Returns:
        The value, and a collection of problems that knows the places of values.

    Raises:
        ConfigError: The file can't be read, or is neither JSON nor YAML.
    """
    name = STANDARD_INPUT_NAME if file == STANDARD_INPUT else file
    text = (
        _read_input() if file == STANDARD_INPUT else documents.read_file(file)
    )
    found = problems.Problems(name)
    if text.lstrip().startswith("{"):
        value = _read_json(text, name)
        try:
            root = documents.compose(text, name)
        except exceptions.ConfigError:
            # Not all JSON is YAML: tabs may not indent. There are no places.
            return value, found
        _Places(found).add_node(root, "")
        return value, found
    root = documents.compose(text, name)
    _Places(found).add_node(root, "")
    found.raise_errors()
    try:
        value = yaml.constructor.SafeConstructor().construct_document(root)
    except CONSTRUCTION_ERRORS as error:
        raise _refusal(
            name, documents.START, f"is not YAML: {error}"
        ) from error
    _check_json("", value, found)
    found.raise_errors()
    return value, found


def _read_input() -> str:
    data = sys.stdin.buffer.read(documents.MAX_TEXT_BYTES + 1)
    if len(data) > documents.MAX_TEXT_BYTES:
        raise _refusal(
            STANDARD_INPUT_NAME,
            documents.START,
            f"is larger than {documents.MAX_TEXT_BYTES} bytes",
        )
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _refusal(
            STANDARD_INPUT_NAME, documents.START, "is not UTF-8"
        ) from error


def _read_json(text: str, name: str) -> Any:
    try:
        return decoding.from_json(text, Any)
    except decoding.UnreadableError as error:
        place, message = documents.START, str(error)
        try:
            json.loads(text)
        except json.JSONDecodeError as located:
            place = problems.Place(located.lineno, located.colno)
            message = located.msg
        except RecursionError:
            message = "it is nested too deeply"
        except ValueError as failure:
            # Integers of thousands of digits are not converted.
            message = str(failure)
        raise _refusal(name, place, f"is not JSON: {message}") from error


class _Places:
    """Finds the places of values, and what YAML allows beyond JSON."""

    def __init__(self, found: problems.Problems) -> None:
        self.found = found
        self.seen: set[int] = set()

    def add_node(self, node: yaml.Node, path: str) -> None:
        """Adds a node and the nodes in it."""
        self.found.places[path] = documents.place(node.start_mark)
        # The size of a text whose aliases refer to each other has no bound.
        if id(node) in self.seen:
            self.found.error(path, "Aliases are not supported.")
            return
        self.seen.add(id(node))
        if isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self.add_node(item, f"{path}[{index}]")
        elif isinstance(node, yaml.MappingNode):
            names: set[str] = set()
            for key, content in node.value:
                name = str(key.value)
                inner = f"{path}.{name}" if path else name
                self.add_node(content, inner)
                if name in names:
                    self.found.add(
                        documents.place(key.start_mark),
                        inner,
                        "The name is given twice.",
                    )
                names.add(name)


def _check_json(path: str, value: Any, found: problems.Problems) -> None:
    """Reports values that only YAML has; the platform holds JSON."""
    if isinstance(value, dict):
        for name, content in value.items():
            if not isinstance(name, str):
                found.error(path, f"The name {name!r} is not a text.")
            inner = f"{path}.{name}" if path else str(name)
            _check_json(inner, content, found)
    elif isinstance(value, list):
        for index, content in enumerate(value):
            _check_json(f"{path}[{index}]", content, found)
    elif isinstance(value, str) and not _is_unicode(value):
        found.error(path, "JSON has no such text.")
    elif not isinstance(value, JSON_TYPES):
        found.error(path, "JSON has no such value; quote a text.")
    elif isinstance(value, float) and not math.isfinite(value):
        found.error(path, "JSON has no such number.")


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _refusal(
    name: str, place: problems.Place, message: str
) -> exceptions.ConfigError:
    problem = problems.Problem(name, place, "", f"The file {message}.")
    return exceptions.ConfigError(problem.text(), (problem,))
