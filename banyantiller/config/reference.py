"""Renders reference pages in Markdown from the declared options."""

import json
from collections.abc import Iterator
from typing import Any

from banyantiller.config import fields
from banyantiller.config.fields import Field

TYPE_NAMES = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
}


def render(kind: type, title: str, introduction: str) -> str:
    """Renders the page of an option group and all groups nested in it.

    Args:
        kind: The root group of the file.
        title: Heading of the page.
        introduction: Text under the heading.

    Returns:
        Markdown that ends with a line break.
    """
    lines = [f"# {title}", "", introduction.strip(), ""]
    for group in _groups(kind):
        lines += _section(group)
    return "\n".join(lines).rstrip() + "\n"


def _groups(root: type) -> list[type]:
    found = [root]
    for group in found:
        for field in fields.fields_of(group):
            inner = _inner(field.kind)
            if fields.is_group(inner) and inner not in found:
                found.append(inner)
    return found


def _inner(kind: Any) -> Any:
    kind = fields.optional_of(kind) or kind
    return fields.item_of(kind) or kind


def _section(group: type) -> list[str]:
    summary = (group.__doc__ or "").strip().splitlines()[0]
    return [
        f"## {group.__name__}",
        "",
        summary,
        "",
        "| option | type | default | meaning |",
        "|---|---|---|---|",
        *(_row(field) for field in fields.fields_of(group)),
        "",
    ]


def _row(field: Field) -> str:
    cells = (
        f"`{field.name}`",
        _type(field.kind),
        "required" if field.required else _default(field.default),
        " ".join(_sentences(field)),
    )
    return "| " + " | ".join(cell.replace("|", r"\|") for cell in cells) + " |"


def _type(kind: Any) -> str:
    optional = fields.optional_of(kind)
    if optional is not None:
        return _type(optional)
    item = fields.item_of(kind)
    if item is not None:
        return f"list of {_type(item)}"
    if fields.is_group(kind):
        name = kind.__name__
        return f"[{name}](#{name.lower()})"
    return TYPE_NAMES[kind]


def _default(value: Any) -> str:
    if value is None:
        return "none"
    if fields.is_group(type(value)):
        return "its defaults"
    if isinstance(value, tuple):
        value = list(value)
    return f"`{json.dumps(value)}`"


def _sentences(field: Field) -> Iterator[str]:
    option = field.option
    yield option.doc
    bounds = []
    if option.low is not None:
        bounds.append(f"at least {option.low:.12g}")
    if option.high is not None:
        bounds.append(f"at most {option.high:.12g}")
    if bounds or option.unit:
        unit = f"In {option.unit}" if option.unit else ""
        yield (
            ", ".join([part for part in (unit, *bounds) if part]).capitalize()
            + "."
        )
    if option.choices:
        yield f"One of {', '.join(f'`{item}`' for item in option.choices)}."
    if option.pattern:
        yield f"Form: `{option.pattern}`."
    if option.most is not None:
        yield f"At most {option.most} items."
