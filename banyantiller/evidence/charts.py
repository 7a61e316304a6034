"""Charts for the report, as SVG; needs the optional extra `report`."""

import datetime
from collections.abc import Callable, Sequence
from typing import Any

from banyantiller.evidence import latency
from banyantiller.evidence.assessment import Assessment
from banyantiller.evidence.history import RunHistory
from banyantiller.evidence.promises import Promise
from banyantiller.evidence.summary import Summary
from banyantiller.evidence.verdicts import Broken, Held, NotKnown
from banyantiller.utils import plots

HELD_COLOUR = "#2a7f4f"
BROKEN_COLOUR = "#b3261e"
NOT_KNOWN_COLOUR = "#b9bcc4"
COLOURS: dict[type, str] = {
    Held: HELD_COLOUR,
    Broken: BROKEN_COLOUR,
    NotKnown: NOT_KNOWN_COLOUR,
}
MS_PER_SECOND = 1000


def draw_verdicts(found: Assessment) -> str:
    """Draws the verdict for each promise over time."""

    def draw(axes: Any) -> None:
        names = list(Promise)
        for item in found.judgements:
            start, end = _time(item.from_ms), _time(item.to_ms)
            axes.barh(
                names.index(item.promise),
                end - start,
                left=start,
                color=COLOURS[type(item.verdict)],
                edgecolor="white",
            )
        axes.set_yticks(range(len(names)), [str(name) for name in names])
        axes.invert_yaxis()

    return _render_chart(
        found, draw, "held (green), broken (red), not known (grey)"
    )


def draw_calls(found: Assessment) -> str:
    """Draws the rates of calls and failed calls over time."""

    def draw(axes: Any) -> None:
        for label, count in (
            ("calls", _call_count),
            ("failed", _failed_call_count),
        ):
            points = _rates(found.histories, count)
            axes.step(*points, where="post", label=label)
        axes.set_ylabel("1/s")
        axes.legend(loc="upper left", frameon=False)

    return _render_chart(found, draw, "calls a second over all daemons")


def draw_latencies(found: Assessment) -> str:
    """Draws the 50th and 99th percentiles of call durations over time."""

    def draw(axes: Any) -> None:
        periods = _merged_latency(found.histories)
        for percent in (50, 99):
            times = [_time(start) for start in sorted(periods)]
            values = [
                (latency.percentile_s(periods[start], percent) or 0)
                * MS_PER_SECOND
                for start in sorted(periods)
            ]
            axes.plot(times, values, marker=".", label=f"p{percent}")
        axes.set_ylim(bottom=0)
        axes.set_ylabel("ms")
        axes.legend(loc="upper left", frameon=False)

    return _render_chart(found, draw, "time from request head to end of answer")


def draw_bundle_delays(found: Assessment) -> str:
    """Draws each daemon's delay from acceptance to coming into force."""

    def draw(axes: Any) -> None:
        applied = [
            bundle
            for history in found.histories
            for summary in history.summaries
            for bundle in summary.bundles
        ]
        axes.plot(
            [_time(item.accepted_ms) for item in applied],
            [
                (item.at_ms - item.accepted_ms) / MS_PER_SECOND
                for item in applied
            ],
            "o",
            markersize=3,
        )
        axes.set_ylabel("s")

    return _render_chart(
        found, draw, "delay from acceptance of a bundle to force"
    )


def draw_coverage(found: Assessment) -> str:
    """Draws the spans for which each daemon's evidence is sound."""

    def draw(axes: Any) -> None:
        names = sorted({item.run.daemon for item in found.histories})
        for history in found.histories:
            row = names.index(history.run.daemon)
            for summary in history.summaries:
                _draw_bar(
                    axes, row, summary.from_ms, summary.to_ms, HELD_COLOUR
                )
            for gap in history.unknown:
                _draw_bar(axes, row, gap.from_ms, gap.to_ms, NOT_KNOWN_COLOUR)
        axes.set_yticks(range(len(names)), names)

    return _render_chart(
        found, draw, "sound evidence by daemon (green), none (grey)"
    )


def _draw_bar(
    axes: Any, row: int, from_ms: int, to_ms: int, colour: str
) -> None:
    start, end = _time(from_ms), _time(to_ms)
    axes.barh(row, end - start, left=start, color=colour)


def _render_chart(found: Assessment, draw: plots.Draw, title: str) -> str:
    """Renders one chart over the whole period as a data URI."""

    def over_period(axes: Any) -> None:
        draw(axes)
        period = found.request.period
        axes.set_xlim(_time(period.from_ms), _time(period.to_ms))
        axes.figure.autofmt_xdate()

    return plots.to_data_uri(over_period, title)


def _time(at_ms: int) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(at_ms / MS_PER_SECOND, datetime.UTC)


def _call_count(summary: Summary) -> int:
    return sum(summary.calls.values())


def _failed_call_count(summary: Summary) -> int:
    return sum(summary.errors.values())


def _rates(
    histories: Sequence[RunHistory], count: Callable[[Summary], int]
) -> tuple[list[datetime.datetime], list[float]]:
    """Sums the daemons' rates, each taken as constant within a summary."""
    steps: dict[int, float] = {}
    for history in histories:
        for summary in history.summaries:
            span_s = (summary.to_ms - summary.from_ms) / MS_PER_SECOND
            if span_s > 0:
                rate = count(summary) / span_s
                steps[summary.from_ms] = steps.get(summary.from_ms, 0) + rate
                steps[summary.to_ms] = steps.get(summary.to_ms, 0) - rate
    times: list[datetime.datetime] = []
    values: list[float] = []
    level = 0.0
    for at_ms in sorted(steps):
        level += steps[at_ms]
        times.append(_time(at_ms))
        values.append(max(0.0, level))
    return times, values


def _merged_latency(
    histories: Sequence[RunHistory],
) -> dict[int, dict[str, int]]:
    """Sums the daemons' duration counts by period."""
    merged: dict[int, dict[str, int]] = {}
    for history in histories:
        for summary in history.summaries:
            if not summary.latency:
                continue
            period_ms = max(history.run.period_ms, 1)
            start = summary.to_ms // period_ms * period_ms
            total = merged.setdefault(start, {})
            for bucket, number in summary.latency.items():
                total[bucket] = total.get(bucket, 0) + number
    return merged
