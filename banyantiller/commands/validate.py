"""`banyantiller validate`: checks a file without any connection."""

from collections.abc import Callable
from typing import Any, Literal

from banyantiller.bundle import parsing
from banyantiller.commands import output
from banyantiller.config import documents, settings

PARSERS: dict[str, Callable[[str, str], tuple[Any, Any]]] = {
    "bundle": parsing.parse,
    "settings": settings.parse,
    "operator": settings.parse_operator,
}


def validate(
    file: str,
    *,
    kind: Literal["bundle", "settings", "operator"] = "bundle",
    json: bool = False,
) -> int:
    """Checks a bundle or settings file and prints every problem.

    Args:
        file: YAML file.
        kind: What the file holds.
        json: Print JSON for programs.
    """
    _, warnings = PARSERS[kind](documents.read_file(file), file)
    problems = [output.problem_data(item) for item in warnings]
    lines = [item.text() for item in warnings]
    count = f"; warnings: {len(warnings)}" if warnings else ""
    output.emit(
        json,
        {"file": file, "valid": True, "problems": problems},
        [*lines, f"{file} is valid{count}."],
    )
    return 0
