"""Compares what callers saw with what backend servers counted."""

import collections
import json
from typing import Any, NamedTuple

from standins.demo import callers, traffic

LEAVING_LIMIT_S = 5.0
IN_FORCE_LIMIT_S = 5.0
MOST_SHOWN = 5


class Events(NamedTuple):
    """What was done meanwhile and how it went.

    Attributes:
        in_force_s: Seconds until each bundle was in force.
        exits: Exit status of each process that was stopped, by name.
    """

    in_force_s: tuple[float, ...]
    exits: dict[str, int]


class Finding(NamedTuple):
    """One row of the table.

    Attributes:
        promise: What must hold.
        measured: What was seen.
        held: Whether it held.
        details: Calls that broke it.
    """

    promise: str
    measured: str
    held: bool
    details: tuple[str, ...] = ()


class Findings(NamedTuple):
    """All rows and the last line of the output."""

    rows: tuple[Finding, ...]
    last_line: dict[str, Any]

    @property
    def held(self) -> bool:
        """Whether all held."""
        return all(row.held for row in self.rows)


def judge(
    users: callers.Callers, counts: list[dict[str, Any]], events: Events
) -> Findings:
    """Returns what held.

    Args:
        users: The callers with their tally.
        counts: Counts of each backend server.
        events: What was done meanwhile.
    """
    tally = users.tally
    runs = sum_runs(counts)
    keys = [key for key in runs if key]
    twice = tuple(f"{key}: {runs[key]} runs" for key in keys if runs[key] > 1)
    ghosts = tuple(
        key for key in sorted(runs) if key and key not in users.not_surely
    )
    unrun = tuple(sorted(users.confirmed - set(runs) - {""}))
    lost = (*tally.lost, *(f"{key}: answered, never run" for key in unrun))
    exits = tuple(
        f"{name}: status {code}" for name, code in events.exits.items() if code
    )
    late = max(item["last_after_drain_s"] for item in counts)
    slowest = max(events.in_force_s)
    rows = (
        _none("no call was lost", lost),
        _none("no answer was exchanged", tuple(tally.exchanged)),
        _none("no call was cut", tuple(tally.cut)),
        _none("no deposit ran twice", twice),
        _none('what was told "not run" was not run', ghosts),
        _all_deposits(len(keys)),
        _none("stopped processes ended with status 0", exits),
        Finding(
            "the leaving server soon got nothing new",
            f"last after {late:.2f} s",
            late <= LEAVING_LIMIT_S,
        ),
        Finding(
            "bundles were in force everywhere within seconds",
            ", ".join(f"{s:.2f} s" for s in events.in_force_s),
            slowest <= IN_FORCE_LIMIT_S,
        ),
    )
    last_line = {
        "calls": tally.calls,
        "lost": len(lost),
        "exchanged": len(tally.exchanged),
        "cut": len(tally.cut),
        "run_twice": len(twice),
        "in_force_seconds": round(slowest, 3),
    }
    return Findings(rows, last_line)


def sum_runs(counts: list[dict[str, Any]]) -> collections.Counter[str]:
    """Adds up runs by idempotency key over all servers."""
    total: collections.Counter[str] = collections.Counter()
    for item in counts:
        total.update(item["runs_by_key"])
    return total


def table(
    findings: Findings,
    tally: callers.Tally,
    counts: list[dict[str, Any]],
    object_api: dict[str, Any],
) -> str:
    """Returns the table and the figures as text."""
    lines = []
    for row in findings.rows:
        state = "held" if row.held else "BROKEN"
        lines.append(f"{row.promise:<50} {state:<7} {row.measured}")
        lines += [f"    {text[:200]}" for text in row.details[:MOST_SHOWN]]
    lines.append("")
    lines.append(
        f"calls: {tally.calls} begun, {tally.answered} answered,"
        f" {tally.already_run} told already run; tries refused as not run"
        f" {tally.refused}, open {tally.waited}"
    )
    lines.append(f"latency: {_quantiles(tally.latencies)}")
    for item in counts:
        lines.append(
            f"{item['server']}: {item['received']} received,"
            f" {item['runs']} run, {item['shed']} shed,"
            f" {item['cancelled']} cancelled, {item['probes']} probes"
        )
    lines.append(f"object API calls: {json.dumps(object_api['by_verb'])}")
    return "\n".join(lines)


def _none(promise: str, broken: tuple[str, ...]) -> Finding:
    return Finding(promise, f"{len(broken)} broken", not broken, broken)


def _all_deposits(run: int) -> Finding:
    return Finding(
        "every deposit was run",
        f"{run} of {traffic.DEPOSITS}",
        run == traffic.DEPOSITS,
    )


def _quantiles(latencies: list[float]) -> str:
    ordered = sorted(latencies)
    if not ordered:
        return "none"
    parts = []
    for percent in (50, 99, 100):
        index = min(len(ordered) - 1, len(ordered) * percent // 100)
        parts.append(f"p{percent} {ordered[index] * 1000:.1f} ms")
    return ", ".join(parts)
