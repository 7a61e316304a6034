"""How differences between bundles are shown."""

import json
from typing import Any

from banyantiller.bundle.difference import Difference

SIGNS = {"added": "+", "removed": "-", "changed": "~"}
LONGEST_VALUE = 120


def data(found: tuple[Difference, ...]) -> list[dict[str, Any]]:
    """Returns differences as JSON objects."""
    return [
        {
            "path": item.path,
            "kind": item.kind,
            "before": item.before,
            "after": item.after,
        }
        for item in found
    ]


def lines(found: tuple[Difference, ...]) -> list[str]:
    """Returns differences as lines for people."""
    return [_line(item) for item in found] or ["Nothing differs."]


def _line(item: Difference) -> str:
    sign = SIGNS[item.kind]
    if item.kind == "changed":
        values = f"{_short(item.before)} -> {_short(item.after)}"
    else:
        values = _short(item.after if item.before is None else item.before)
    return f"{sign} {item.path}: {values}"


def _short(value: Any) -> str:
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > LONGEST_VALUE:
        return f"{text[:LONGEST_VALUE]}..."
    return text
