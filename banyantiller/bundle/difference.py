"""Compares two bundles value by value."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from banyantiller.bundle import plain

KEY_FIELDS = ("name", "group")


class Difference(NamedTuple):
    """One value that differs between two bundles.

    Attributes:
        path: Path of the value, such as "services[desk].slots".
        before: Plain value, or None if it was added.
        after: Plain value, or None if it was removed.
    """

    path: str
    before: Any
    after: Any

    @property
    def kind(self) -> str:
        """Returns "added", "removed" or "changed"."""
        if self.before is None:
            return "added"
        return "removed" if self.after is None else "changed"


def compare(before: Any, after: Any) -> tuple[Difference, ...]:
    """Compares two typed values of the same type.

    List items with a name or group are matched by it, others by index. Unlike
    canonical JSON, the comparison includes fields at their default value.
    """
    return tuple(_compare_values("", before, after))


def _compare_values(path: str, before: Any, after: Any) -> Iterator[Difference]:
    if before == after:
        return
    if hasattr(before, "_fields") and type(before) is type(after):
        for name in before._fields:
            where = f"{path}.{name}" if path else name
            yield from _compare_values(
                where, getattr(before, name), getattr(after, name)
            )
    elif isinstance(before, tuple) and isinstance(after, tuple):
        yield from _compare_items(path, _by_key(before), _by_key(after))
    else:
        yield Difference(path, plain.to_plain(before), plain.to_plain(after))


def _compare_items(
    path: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    for key in before | after:
        where = f"{path}[{key}]"
        yield from _compare_values(where, before.get(key), after.get(key))
    order_before = [key for key in before if key in after]
    order_after = [key for key in after if key in before]
    if order_before != order_after:
        yield Difference(path, order_before, order_after)


def _by_key(items: tuple[Any, ...]) -> dict[str, Any]:
    return {_item_key(index, item): item for index, item in enumerate(items)}


def _item_key(index: int, item: Any) -> str:
    for field in KEY_FIELDS:
        if field in getattr(item, "_fields", ()):
            return str(getattr(item, field))
    return str(index)
