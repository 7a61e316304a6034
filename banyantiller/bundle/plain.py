"""Converts typed values to plain JSON values and strictly back.

A `NamedTuple` becomes an object that leaves out fields at their default value,
so an option that a bundle does not use never appears in it. The default of a
released bundle option must therefore never change: stored bundles would get
another meaning.
"""

import functools
import typing
from typing import Any

from banyantiller.config import fields

SCALARS = (str, int, float, bool)


class PlainError(ValueError):
    """A plain value does not have the form of its type."""


def to_plain(value: Any) -> Any:
    """Converts a typed value to objects, lists and scalars."""
    if hasattr(value, "_fields"):
        defaults = value._field_defaults
        return {
            name: to_plain(item)
            for name, item in zip(value._fields, value, strict=True)
            if name not in defaults or item != defaults[name]
        }
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def from_plain(plain: Any, value_type: Any, path: str = "") -> Any:
    """Builds a typed value.

    Args:
        plain: Result of `to_plain`, as decoded from JSON.
        value_type: `NamedTuple` type, `tuple[X, ...]`, `X | None` or a scalar
            type.
        path: Path of the value for messages.

    Raises:
        PlainError: A field is unknown, missing or of the wrong type.
    """
    if value_type in SCALARS:
        return _check_scalar(plain, value_type, path)
    if fields.is_group(value_type):
        return _build_group(plain, value_type, path)
    if typing.get_origin(value_type) is typing.Annotated:
        return from_plain(plain, typing.get_args(value_type)[0], path)
    optional = fields.optional_of(value_type)
    if optional is not None:
        return None if plain is None else from_plain(plain, optional, path)
    if not isinstance(plain, list):
        raise PlainError(f"{path} is not a list")
    item = fields.item_of(value_type)
    return tuple(
        from_plain(child, item, f"{path}[{index}]")
        for index, child in enumerate(plain)
    )


@functools.cache
def _type_hints(value_type: type) -> dict[str, Any]:
    return typing.get_type_hints(value_type)


def _build_group(plain: Any, value_type: Any, path: str) -> Any:
    if not isinstance(plain, dict):
        raise PlainError(f"{path or 'the value'} is not an object")
    hints = _type_hints(value_type)
    unknown = plain.keys() - hints.keys()
    if unknown:
        raise PlainError(f"{path}.{min(unknown)} is not known here")
    values = {}
    for name, hint in hints.items():
        if name in plain:
            values[name] = from_plain(plain[name], hint, f"{path}.{name}")
        elif name not in value_type._field_defaults:
            raise PlainError(f"{path}.{name} is missing")
    return value_type(**values)


def _check_scalar(plain: Any, value_type: type, path: str) -> Any:
    if value_type is float and type(plain) is int:
        return float(plain)
    if type(plain) is not value_type:
        raise PlainError(f"{path} is not of type {value_type.__name__}")
    return plain
