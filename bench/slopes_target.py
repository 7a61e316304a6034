"""What the target size needs, worked out from the measured slopes.

Each row of the page's second table is computed, so that a new measurement
changes the arithmetic with it. Targets are the users'; what nobody has
measured is in `slopes_sizes.ASSUMED` with its reason.
"""

from collections.abc import Callable
from typing import Any

from bench import slopes_control, slopes_data
from bench.slopes_sizes import ASSUMED, Fleet, Row, Slopes, fleet

STEPS = (
    "call",
    "overhead",
    "memory",
    "daemons",
    "services",
    "bundle",
    "claims",
)
HEAD = (
    "role",
    "what",
    "arithmetic",
    "figure",
    "allowed",
    "target",
    "mark",
    "carried by",
)


def rows(result: dict[str, Any]) -> list[Row]:
    """Computes every row from a result that holds all steps."""
    slopes = Slopes(result)
    size = fleet(slopes)
    makers: tuple[Callable[[Slopes, Fleet], list[Row]], ...] = (
        slopes_data.proxy,
        slopes_data.memory,
        slopes_data.connections,
        slopes_control.peer,
        slopes_data.bundle,
        slopes_control.store,
        slopes_control.claims,
        slopes_control.platform,
    )
    return [row for make in makers for row in make(slopes, size)]


def table(result: dict[str, Any]) -> str:
    """Returns the Markdown table of all rows."""
    lines = [
        f"| {' | '.join(HEAD)} |",
        "|---" * len(HEAD) + "|",
    ]
    for row in rows(result):
        modules = ", ".join(f"`{m}`" for m in row.carried_by.split(", "))
        limit = "" if row.limit is None else f"{row.limit:g}"
        lines.append(
            f"| {row.role} | {row.what} | {row.arithmetic} | {row.value:.4g}"
            f" | {limit} | {row.verdict} | {row.mark} | {modules} |"
        )
    lines += ["", "| assumption | value | reason |", "|---|---|---|"]
    lines += [
        f"| {name} | {value:g} | {why} |"
        for name, (value, why) in ASSUMED.items()
    ]
    return "\n".join(lines)
