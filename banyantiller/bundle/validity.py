"""Checks the content of a bundle that was not parsed from a local file."""

from collections.abc import Iterator
from typing import Any

from banyantiller.bundle import consistency
from banyantiller.bundle.options import Bundle
from banyantiller.config import bounds, fields
from banyantiller.config.options import Option
from banyantiller.config.problems import Problems


def find_errors(bundle: Bundle) -> tuple[str, ...]:
    """Lists errors of single values or, if there are none, of consistency."""
    found = tuple(_check_values(bundle, fields.NO_OPTION, ""))
    if found:
        return found
    problems = Problems("")
    consistency.check(bundle, problems)
    return tuple(f"{item.path}: {item.message}" for item in problems.errors())


def _check_values(value: Any, option: Option, path: str) -> Iterator[str]:
    if fields.is_group(type(value)):
        for field in fields.fields_of(type(value)):
            where = f"{path}.{field.name}" if path else field.name
            yield from _check_values(
                getattr(value, field.name), field.option, where
            )
    elif isinstance(value, tuple):
        if option.most is not None and len(value) > option.most:
            yield f"{path}: {len(value)} items are more than {option.most}."
        for index, item in enumerate(value):
            yield from _check_values(item, option, f"{path}[{index}]")
    elif value is not None:
        message = bounds.find_error(value, option)
        if message:
            yield f"{path}: {message}"
