"""Straight lines through measured points, with their spread."""

import statistics
from collections.abc import Sequence
from typing import Any, NamedTuple


class Line(NamedTuple):
    """A fitted line and the points that it rests on.

    Attributes:
        name: What was measured, with its unit.
        over: What was varied, with its unit.
        points: Pairs of the two, as measured.
        intercept: Value of the line at 0.
        slope: Rise for one more.
        worst: Largest distance of a point from the line.
        r2: Share of the variance that the line explains.
    """

    name: str
    over: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    slope: float
    worst: float
    r2: float

    def at(self, x: float) -> float:
        """Returns the value of the line."""
        return self.intercept + self.slope * x


def fit(name: str, over: str, points: Sequence[tuple[float, float]]) -> Line:
    """Fits a line by least squares.

    Args:
        name: What was measured, with its unit.
        over: What was varied, with its unit.
        points: At least two points with different places.
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    rest = [y - (intercept + slope * x) for x, y in points]
    total = sum((y - statistics.fmean(ys)) ** 2 for y in ys)
    explained = 1.0 - sum(r * r for r in rest) / total if total else 1.0
    return Line(
        name,
        over,
        tuple((float(x), rounded(y)) for x, y in points),
        rounded(intercept),
        rounded(slope),
        rounded(max(abs(r) for r in rest)),
        round(explained, 3),
    )


def rounded(value: float) -> float:
    """Rounds to four significant digits."""
    return float(f"{value:.4g}")


def line_data(line: Line) -> dict[str, Any]:
    """Returns a line as a JSON object."""
    return {**line._asdict(), "points": [list(p) for p in line.points]}


def line_from(data: dict[str, Any]) -> Line:
    """Reads a line from its JSON object."""
    points = tuple((x, y) for x, y in data["points"])
    return Line(**{**data, "points": points})
