"""Reads single values from YAML nodes, more strictly than YAML does.

A reader returns None for a node of another type, so that an unquoted `yes`, an
octal number or a date is never read as a value of another type.
"""

import re
from collections.abc import Callable
from typing import Any

import yaml

MAX_DIGITS = 19
MAX_NUMBER = 1e300

TAG_PREFIX = "tag:yaml.org,2002:"
INTEGER = re.compile(r"[-+]?(0|[1-9][0-9_]*)")
NUMBER = re.compile(
    r"[-+]?[0-9][0-9_]*(\.[0-9]*)?(e[-+]?[0-9]+)?|[-+]?\.[0-9]+"
)
NODE_NAMES = {
    "str": "text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "null": "nothing",
    "seq": "a list",
    "map": "a mapping",
    "timestamp": "a date",
}


def tag(node: yaml.Node) -> str:
    """Returns the type tag of a node, such as "str", "null" or "seq".

    A file may put the tag of a scalar on a list or a mapping; such a tag is
    ignored.
    """
    if isinstance(node, yaml.SequenceNode):
        return "seq"
    if isinstance(node, yaml.MappingNode):
        return "map"
    return node.tag.removeprefix(TAG_PREFIX)


def describe(node: yaml.Node) -> str:
    """Returns the type of a node in words, for a message."""
    return NODE_NAMES.get(tag(node), "a value of another type")


def is_unquoted(node: yaml.Node) -> bool:
    """Returns whether a node is a single value without quotes."""
    return isinstance(node, yaml.ScalarNode) and not node.style


def read_text(node: yaml.Node) -> str | None:
    """Reads a text; accepts dates too, for options that are dates."""
    if tag(node) not in ("str", "timestamp"):
        return None
    return node.value if _is_encodable(node.value) else None


def read_integer(node: yaml.Node) -> int | None:
    """Reads an integer in decimal digits."""
    if tag(node) != "int" or not INTEGER.fullmatch(node.value):
        return None
    digits = node.value.replace("_", "")
    return int(digits) if len(digits) <= MAX_DIGITS else None


def read_number(node: yaml.Node) -> float | None:
    """Reads a finite number."""
    if not is_unquoted(node) or not NUMBER.fullmatch(node.value):
        return None
    value = float(node.value)
    return value if abs(value) < MAX_NUMBER else None


def read_boolean(node: yaml.Node) -> bool | None:
    """Reads true or false."""
    if tag(node) != "bool":
        return None
    return {"true": True, "false": False}.get(node.value.lower())


READERS: dict[type, Callable[[yaml.Node], Any]] = {
    str: read_text,
    int: read_integer,
    float: read_number,
    bool: read_boolean,
}
EXPECTED = {
    str: "text",
    int: "a whole number in decimal digits",
    float: "a number",
    bool: "true or false",
}


def _is_encodable(text: str) -> bool:
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True
