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
    lost = (*tally.lost, *_never_run(users, runs))
    twice = tuple(f"{key}: {n} runs" for key, n in runs.items() if n > 1)
    told_not_run = tuple(sorted(set(runs) - users.not_surely))
    rows = (
        _none("no call was lost", lost),
        _none("no answer was exchanged", tuple(tally.exchanged)),
        _none("no call was cut", tuple(tally.cut)),
        _none("no deposit ran twice", twice),
        _none('what was told "not run" was not run', told_not_run),
        _all_deposits(len(runs)),
        _exits(events.exits),
        _leaving(max(item["last_after_drain_s"] for item in counts)),
        _in_force(events.in_force_s),
    )
    last_line = {
        "calls": tally.calls,
        "lost": len(lost),
        "exchanged": len(tally.exchanged),
        "cut": len(tally.cut),
        "run_twice": len(twice),
        "in_force_seconds": round(max(events.in_force_s), 3),
    }
    return Findings(rows, last_line)


def sum_runs(counts: list[dict[str, Any]]) -> collections.Counter[str]:
    """Adds up runs by idempotency key over all servers."""
    total: collections.Counter[str] = collections.Counter()
    for item in counts:
        total.update(item["runs_by_key"])
    del total[""]
    return total


def _never_run(
    users: callers.Callers, runs: collections.Counter[str]
) -> list[str]:
    keys = sorted(users.confirmed - set(runs) - {""})
    return [f"{key}: answered, never run" for key in keys]


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


def _exits(statuses: dict[str, int]) -> Finding:
    failed = tuple(
        f"{name}: status {code}" for name, code in statuses.items() if code
    )
    return _none("stopped processes ended with status 0", failed)


def _leaving(last_s: float) -> Finding:
    return Finding(
        "the leaving server soon got nothing new",
        f"last after {last_s:.2f} s",
        last_s <= LEAVING_LIMIT_S,
    )


def _in_force(delays_s: tuple[float, ...]) -> Finding:
    return Finding(
        "bundles were in force everywhere within seconds",
        ", ".join(f"{delay:.2f} s" for delay in delays_s),
        max(delays_s) <= IN_FORCE_LIMIT_S,
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
