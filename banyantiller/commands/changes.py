"""How differences between bundles are shown."""

import json
from typing import Any

import yaml

from banyantiller.bundle.difference import Difference

SIGNS = {"added": "+", "removed": "-", "changed": "~"}


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
    """Returns differences as lines for people, whole values as YAML."""
    shown = [line for item in found for line in _lines(item)]
    return shown or ["Nothing differs."]


def _lines(item: Difference) -> list[str]:
    sign = SIGNS[item.kind]
    if item.kind == "changed":
        return [
            f"{sign} {item.path}: {_text(item.before)} -> {_text(item.after)}"
        ]
    value = item.after if item.before is None else item.before
    if not isinstance(value, dict):
        return [f"{sign} {item.path}: {_text(value)}"]
    block = yaml.safe_dump(value, sort_keys=False, allow_unicode=True)
    inner = [f"{sign}     {line}" for line in block.splitlines()]
    return [f"{sign} {item.path}:", *inner]


def _text(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
