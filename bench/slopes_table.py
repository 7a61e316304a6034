"""The measured slopes as JSON and as the table of docs/CAPACITY.md."""

import json
import pathlib
from typing import Any

from bench import slopes_target
from bench.slopes_fit import Line, line_from

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULT = ROOT / "docs" / "capacity.json"
SLOPES = "slopes"
TARGET = "target"


def read_result() -> dict[str, Any]:
    """Returns the last written result, empty if there is none."""
    if not RESULT.exists():
        return {"steps": {}}
    return json.loads(RESULT.read_text())


def write_result(result: dict[str, Any]) -> None:
    """Writes the result and the page's table."""
    RESULT.write_text(json.dumps(result, indent=1, sort_keys=True) + "\n")
    page = PAGE.read_text()
    for name, text in tables(result).items():
        page = with_table(page, name, text)
    PAGE.write_text(page)


def tables(result: dict[str, Any]) -> dict[str, str]:
    """Returns the page's tables by name, as far as steps have been run."""
    made = {SLOPES: table(result)}
    if set(result["steps"]) >= set(slopes_target.STEPS):
        made[TARGET] = slopes_target.table(result)
    return made


def markers(name: str) -> tuple[str, str]:
    """Returns the lines before and after a table."""
    return f"<!-- {name}: begin -->", f"<!-- {name}: end -->"


def with_table(page: str, name: str, text: str) -> str:
    """Returns the page with a table between its markers.

    Raises:
        ValueError: The page has no such markers.
    """
    begin, end = markers(name)
    if begin not in page or end not in page:
        raise ValueError(f"{PAGE.name} has no markers for '{name}'.")
    before, _, rest = page.partition(begin)
    after = rest.partition(end)[2]
    return f"{before}{begin}\n\n{text}\n\n{end}{after}"


def table_of(page: str, name: str) -> str:
    """Returns the table between its markers."""
    begin, end = markers(name)
    return page.partition(begin)[2].partition(end)[0].strip()


def table(result: dict[str, Any]) -> str:
    """Returns the Markdown table of all steps."""
    lines = [
        f"Machine: {result['cores']} cores, CPython {result['python']}.",
        "",
        "| step | measured (UTC) | what | over | at 0 | slope | worst | r² |"
        " points |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    steps = [
        (name, result["steps"][name])
        for name in slopes_target.STEPS
        if name in result["steps"]
    ]
    for name, step in steps:
        for data in step["lines"]:
            lines.append(_row(name, step["measured"], line_from(data)))
    lines += [
        "",
        "| step | measured (UTC) | figure | value |",
        "|---|---|---|---|",
    ]
    for name, step in steps:
        for key, value in sorted(step["figures"].items()):
            lines.append(f"| {name} | {step['measured']} | {key} | {value:g} |")
    return "\n".join(lines)


def _row(step: str, measured: str, line: Line) -> str:
    points = ", ".join(f"{x:g}: {y:g}" for x, y in line.points)
    return (
        f"| {step} | {measured} | {line.name} | {line.over}"
        f" | {line.intercept:g} | {line.slope:g} | {line.worst:g}"
        f" | {line.r2:g} | {points} |"
    )
