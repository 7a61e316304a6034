"""Loads YAML into typed options; collects all errors with their places."""

from typing import Any

import yaml

from banyantiller.config import bounds, documents, fields, scalars
from banyantiller.config.fields import Field
from banyantiller.config.options import Option
from banyantiller.config.problems import Problems, suggestion

MAX_VALUES = 500_000


class _Invalid:
    """Marks a value that could not be built."""


_INVALID = _Invalid()


def load(text: str, file: str, kind: type) -> tuple[Any, Problems]:
    """Loads a YAML text into a `NamedTuple` type with annotated fields.

    Args:
        text: YAML text.
        file: File name for messages.
        kind: The type to build.

    Returns:
        The value and the problems found. If there are errors, the value may be
        None, and lists in it contain None in place of invalid items.

    Raises:
        ConfigError: The text is not one bounded YAML document.
    """
    problems = Problems(file)
    root = documents.compose(text, file)
    value = _Builder(problems).build(root, kind, fields.NO_OPTION, "")
    return (None if value is _INVALID else value), problems


class _Builder:
    """Builds typed values from nodes; bounds the expansion of aliases."""

    def __init__(self, problems: Problems) -> None:
        self.problems = problems
        self.values = 0

    def build(self, node: yaml.Node, kind: Any, option: Option, path: str):
        """Builds one value; returns `_INVALID` after recording an error."""
        self.problems.places[path] = documents.place(node.start_mark)
        self.values += 1
        if self.values > MAX_VALUES:
            if self.values == MAX_VALUES + 1:
                self.problems.error(path, "There are too many values.")
            return _INVALID
        inner = fields.optional_of(kind)
        if inner is not None:
            if scalars.tag(node) == "null":
                return None
            return self.build(node, inner, option, path)
        if fields.is_group(kind):
            return self._build_group(node, kind, path)
        item = fields.item_of(kind)
        if item is not None:
            return self._build_list(node, item, option, path)
        return self._build_scalar(node, kind, option, path)

    def _build_group(self, node: yaml.Node, kind: type, path: str):
        if not isinstance(node, yaml.MappingNode):
            return self._report_wrong_type(node, "a mapping", path)
        known = {field.name: field for field in fields.fields_of(kind)}
        nodes = self._index_keys(node, known, path)
        values = {
            name: self._build_field(node, nodes.get(name), field, path)
            for name, field in known.items()
        }
        if any(value is _INVALID for value in values.values()):
            return _INVALID
        return kind(**values)

    def _build_field(
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

    def _index_keys(
        self, node: yaml.MappingNode, known: dict[str, Field], path: str
    ) -> dict[str, yaml.Node]:
        nodes: dict[str, yaml.Node] = {}
        seen: set[str] = set()
        for key, value in node.value:
            place = documents.place(key.start_mark)
            name = key.value if isinstance(key, yaml.ScalarNode) else ""
            where = _join(path, name)
            if name in seen:
                self.problems.add(place, where, "This key is given twice.")
            elif name in known:
                nodes[name] = value
            else:
                near = suggestion(name, known)
                message = f"No option is named '{name}'.{near}"
                self.problems.add(place, where, message)
            seen.add(name)
        return nodes

    def _build_list(
        self, node: yaml.Node, item: Any, option: Option, path: str
    ):
        if not isinstance(node, yaml.SequenceNode):
            return self._report_wrong_type(node, "a list", path)
        if option.most is not None and len(node.value) > option.most:
            message = f"{len(node.value)} items are more than {option.most}."
            self.problems.error(path, message)
            return _INVALID
        inner, item_option = fields.unwrap(item)
        applied = option if item_option is fields.NO_OPTION else item_option
        built = [
            self.build(child, inner, applied, f"{path}[{index}]")
            for index, child in enumerate(node.value)
        ]
        return tuple(None if value is _INVALID else value for value in built)

    def _build_scalar(
        self, node: yaml.Node, kind: type, option: Option, path: str
    ):
        value = scalars.READERS[kind](node)
        if value is None:
            return self._report_wrong_type(node, scalars.EXPECTED[kind], path)
        message = bounds.find_error(value, option)
        if message:
            self.problems.error(path, message)
            return _INVALID
        return value

    def _report_wrong_type(
        self, node: yaml.Node, expected: str, path: str
    ) -> _Invalid:
        hint = ""
        if expected == scalars.EXPECTED[str] and scalars.is_unquoted(node):
            hint = " Put it in quotes."
        found = scalars.describe(node)
        message = f"Expected {expected}, found {found}.{hint}"
        self.problems.error(path, message)
        return _INVALID


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
