"""Loads YAML into the typed options, gathering every error with its place."""

import functools
import re
import types
import typing
from typing import Any, NamedTuple

import yaml

from banyantiller.config import checks, documents
from banyantiller.config.options import Option
from banyantiller.config.problems import Problems, suggestion

MAX_VALUES = 500_000

_TAG = "tag:yaml.org,2002:"
_NO_OPTION = Option("")
_INTEGER = re.compile(r"[-+]?(0|[1-9][0-9_]*)")
_TAG_NAMES = {
    "str": "text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "null": "nothing",
    "seq": "a list",
    "map": "a mapping",
    "timestamp": "a date",
}


class Field(NamedTuple):
    """One field of a typed option group.

    Attributes:
        name: Name of the field and of its key in the file.
        kind: Type without its annotation.
        option: What is said about it.
        required: Whether the file must give it.
        default: Default value, if it is not required.
    """

    name: str
    kind: Any
    option: Option
    required: bool
    default: Any


class _Invalid:
    """Marks a value that could not be built."""


_INVALID = _Invalid()


def load(text: str, file: str, kind: type) -> tuple[Any, Problems]:
    """Loads a YAML text into a `NamedTuple` type whose fields are annotated.

    Args:
        text: YAML text.
        file: Name for messages.
        kind: The type to build.

    Returns:
        The value, and the problems found. While there are errors the value
        may be None, and a list in it holds None for an item that is wrong.

    Raises:
        ConfigError: The text is not one bounded YAML document.
    """
    problems = Problems(file)
    root = documents.compose(text, file)
    value = _Walk(problems).build(root, kind, _NO_OPTION, "")
    return (None if value is _INVALID else value), problems


@functools.cache
def fields_of(kind: type) -> tuple[Field, ...]:
    """Returns the fields of an option group in their order."""
    hints = typing.get_type_hints(kind, include_extras=True)
    defaults = kind._field_defaults
    found = []
    for name in kind._fields:
        inner, option = _unwrap(hints[name])
        required = name not in defaults
        found.append(Field(name, inner, option, required, defaults.get(name)))
    return tuple(found)


def is_group(kind: Any) -> bool:
    """Tells whether a type is a group of options."""
    return isinstance(kind, type) and hasattr(kind, "_fields")


def optional_of(kind: Any) -> Any | None:
    """Returns X of `X | None`, or None for another type."""
    if typing.get_origin(kind) not in (types.UnionType, typing.Union):
        return None
    inner = [item for item in typing.get_args(kind) if item is not type(None)]
    return inner[0]


def item_of(kind: Any) -> Any | None:
    """Returns X of `tuple[X, ...]`, or None for another type."""
    if typing.get_origin(kind) is not tuple:
        return None
    return typing.get_args(kind)[0]


def _unwrap(hint: Any) -> tuple[Any, Option]:
    if typing.get_origin(hint) is not typing.Annotated:
        return hint, _NO_OPTION
    inner, *notes = typing.get_args(hint)
    options = [note for note in notes if isinstance(note, Option)]
    return inner, options[0] if options else _NO_OPTION


class _Walk:
    """Builds typed values from nodes; counts values so aliases stay bounded."""

    def __init__(self, problems: Problems) -> None:
        self.problems = problems
        self.values = 0

    def build(self, node: yaml.Node, kind: Any, option: Option, path: str):
        """Builds one value, or `_INVALID` after noting what is wrong."""
        self.problems.places[path] = documents.place(node.start_mark)
        self.values += 1
        if self.values > MAX_VALUES:
            if self.values == MAX_VALUES + 1:
                self.problems.error(path, "There are too many values.")
            return _INVALID
        inner = optional_of(kind)
        if inner is not None:
            if _tag(node) == "null":
                return None
            return self.build(node, inner, option, path)
        if is_group(kind):
            return self._group(node, kind, path)
        item = item_of(kind)
        if item is not None:
            return self._list(node, item, option, path)
        return self._scalar(node, kind, option, path)

    def _group(self, node: yaml.Node, kind: type, path: str):
        if not isinstance(node, yaml.MappingNode):
            return self._wrong(node, "a mapping", path)
        fields = {field.name: field for field in fields_of(kind)}
        nodes = self._keys(node, fields, path)
        values = {
            name: self._field(node, nodes.get(name), field, path)
            for name, field in fields.items()
        }
        if any(value is _INVALID for value in values.values()):
            return _INVALID
        return kind(**values)

    def _field(
        self, parent: yaml.Node, node: yaml.Node | None, field: Field, path: str
    ):
        where = _join(path, field.name)
        if node is not None:
            value = self.build(node, field.kind, field.option, where)
            if value is _INVALID and not field.required:
                return field.default
            return value
        if field.required:
            place = documents.place(parent.start_mark)
            self.problems.add(place, where, "This value is required.")
            return _INVALID
        return field.default

    def _keys(
        self, node: yaml.MappingNode, fields: dict[str, Field], path: str
    ) -> dict[str, yaml.Node]:
        nodes: dict[str, yaml.Node] = {}
        seen: set[str] = set()
        for key, value in node.value:
            place = documents.place(key.start_mark)
            name = key.value if isinstance(key, yaml.ScalarNode) else ""
            where = _join(path, name)
            if name in seen:
                self.problems.add(place, where, "This key is given twice.")
            elif name in fields:
                nodes[name] = value
            else:
                near = suggestion(name, fields)
                message = f"No option is named '{name}'.{near}"
                self.problems.add(place, where, message)
            seen.add(name)
        return nodes

    def _list(self, node: yaml.Node, item: Any, option: Option, path: str):
        if not isinstance(node, yaml.SequenceNode):
            return self._wrong(node, "a list", path)
        if option.most is not None and len(node.value) > option.most:
            message = f"{len(node.value)} items are more than {option.most}."
            self.problems.error(path, message)
            return _INVALID
        inner, own = _unwrap(item)
        single = option if own is _NO_OPTION else own
        built = [
            self.build(child, inner, single, f"{path}[{index}]")
            for index, child in enumerate(node.value)
        ]
        return tuple(None if value is _INVALID else value for value in built)

    def _scalar(self, node: yaml.Node, kind: type, option: Option, path: str):
        value = SCALARS[kind](node)
        if value is None:
            return self._wrong(node, KIND_NAMES[kind], path)
        message = fault(value, option)
        if message:
            self.problems.error(path, message)
            return _INVALID
        return value

    def _wrong(self, node: yaml.Node, wanted: str, path: str) -> _Invalid:
        found = _TAG_NAMES.get(_tag(node), "a value of another type")
        hint = " Put it in quotes." if wanted == "text" and _plain(node) else ""
        message = f"Expected {wanted}, found {found}.{hint}"
        self.problems.error(path, message)
        return _INVALID


def fault(value: Any, option: Option) -> str:
    """Returns what is wrong with a scalar under an option, or nothing."""
    if isinstance(value, str):
        return _text_fault(value, option)
    if isinstance(value, bool):
        return ""
    unit = f" {option.unit}" if option.unit else ""
    if option.low is not None and value < option.low:
        return f"{value} is below {option.low:g}{unit}."
    if option.high is not None and value > option.high:
        return f"{value} is above {option.high:g}{unit}."
    return ""


def _text_fault(value: str, option: Option) -> str:
    if option.choices and value not in option.choices:
        allowed = ", ".join(option.choices)
        near = suggestion(value, option.choices)
        return f"'{value}' is not one of {allowed}.{near}"
    if option.pattern and not re.fullmatch(option.pattern, value):
        return f"'{value}' does not match the form {option.pattern}."
    wrong = checks.CHECKS[option.check](value) if option.check else ""
    return f"'{value}' {wrong}." if wrong else ""


def _text(node: yaml.Node) -> str | None:
    if not isinstance(node, yaml.ScalarNode):
        return None
    if _tag(node) not in ("str", "timestamp"):
        return None
    return node.value if _encodable(node.value) else None


def _whole(node: yaml.Node) -> int | None:
    if _tag(node) != "int" or not _INTEGER.fullmatch(node.value):
        return None
    digits = node.value.replace("_", "")
    return int(digits) if len(digits) < 20 else None


def _number(node: yaml.Node) -> float | None:
    if not isinstance(node, yaml.ScalarNode) or not _plain(node):
        return None
    if not re.fullmatch(
        r"[-+]?[0-9][0-9_]*(\.[0-9]*)?(e[-+]?[0-9]+)?|[-+]?\.[0-9]+", node.value
    ):
        return None
    value = float(node.value)
    return value if abs(value) < 1e300 else None


def _truth(node: yaml.Node) -> bool | None:
    if _tag(node) != "bool":
        return None
    return {"true": True, "false": False}.get(node.value.lower())


SCALARS = {str: _text, int: _whole, float: _number, bool: _truth}
KIND_NAMES = {
    str: "text",
    int: "a whole number in decimal digits",
    float: "a number",
    bool: "true or false",
}


def _plain(node: yaml.Node) -> bool:
    return isinstance(node, yaml.ScalarNode) and not node.style


def _tag(node: yaml.Node) -> str:
    return node.tag.removeprefix(_TAG)


def _encodable(text: str) -> bool:
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
