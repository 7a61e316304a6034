"""Introspection of option groups: their fields and types."""

import functools
import types
import typing
from typing import Any, NamedTuple

from banyantiller.config.options import Option

NO_OPTION = Option("")


class Field(NamedTuple):
    """One field of a typed option group.

    Attributes:
        name: Name of the field and of its key in the file.
        kind: Type without its annotation.
        option: Declaration of the option.
        required: Whether the file must contain it.
        default: Default value, if it is not required.
    """

    name: str
    kind: Any
    option: Option
    required: bool
    default: Any


@functools.cache
def fields_of(kind: type) -> tuple[Field, ...]:
    """Returns the fields of an option group in their order."""
    hints = typing.get_type_hints(kind, include_extras=True)
    defaults = kind._field_defaults
    found = []
    for name in kind._fields:
        inner, option = unwrap(hints[name])
        required = name not in defaults
        found.append(Field(name, inner, option, required, defaults.get(name)))
    return tuple(found)


def is_group(kind: Any) -> bool:
    """Returns whether a type is a group of options."""
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


def unwrap(hint: Any) -> tuple[Any, Option]:
    """Splits an annotated type into the type and its option."""
    if typing.get_origin(hint) is not typing.Annotated:
        return hint, NO_OPTION
    inner, *notes = typing.get_args(hint)
    options = [note for note in notes if isinstance(note, Option)]
    return inner, options[0] if options else NO_OPTION
