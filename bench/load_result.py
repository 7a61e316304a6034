"""Compares what callers saw with what backend servers counted."""

import collections
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from bench import load_callers
from bench.load_callers import End, Kind, Made
from bench.load_processes import Server

MOST_SHOWN = 5
QUANTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
COLUMNS = (
    *("scenario", "policy", "calls", "p50_ms", "p99_ms", "p999_ms"),
    *("keyed_p99_ms", "goodput", "lost", "exchanged", "cut", "run_twice"),
    *("wrong_not_run", "refused", "extra_percent", "probes_per_s"),
)


class Runs(NamedTuple):
    """What all backend servers counted.

    Attributes:
        by_id: Runs by request id.
        by_key: Runs by idempotency key.
        totals: Further counts.
        last_after_drain_s: Latest request at a leaving server.
    """

    by_id: collections.Counter[str]
    by_key: collections.Counter[str]
    totals: collections.Counter[str]
    last_after_drain_s: float

    @classmethod
    def from_servers(cls, servers: list[Server]) -> "Runs":
        """Adds up the counts of servers and of their processes."""
        found = cls(
            collections.Counter(),
            collections.Counter(),
            collections.Counter(),
            max(server.last_after_drain_s for server in servers),
        )
        for server in servers:
            found.by_id.update(server.runs_by_id)
            found.by_key.update(server.runs_by_key)
            found.totals.update(server.totals)
        return found


class Faults(NamedTuple):
    """Calls that broke a promise, as lines to show."""

    lost: list[str]
    exchanged: list[str]
    cut: list[str]
    run_twice: list[str]
    wrong_not_run: list[str]


def find_faults(made: list[Made], runs: Runs) -> Faults:
    """Returns what broke a promise."""
    return Faults(
        lost=[show(m) for m in made if _lost(m) or _answered_unrun(m, runs)],
        exchanged=[show(m) for m in made if m.end is End.EXCHANGED],
        cut=[show(m) for m in made if m.cut],
        run_twice=[show(m) for m in made if _run_twice(m, runs)],
        wrong_not_run=[
            f"{name}: told not run, {runs.by_id[name]} runs; {show(m)}"
            for m in made
            for name in m.not_run
            if runs.by_id[name]
        ],
    )


def _lost(made: Made) -> bool:
    """Tells whether a caller that could send again has no answer at all."""
    return made.end is End.LOST and made.arrival.kind is not Kind.ONCE


def _answered_unrun(made: Made, runs: Runs) -> bool:
    ran = any(runs.by_id[name] for name in made.tries)
    return made.end is End.ANSWERED and not ran


def _run_twice(made: Made, runs: Runs) -> bool:
    if made.arrival.kind is Kind.LOOKUP:
        return False
    if made.arrival.kind is Kind.KEYED:
        return runs.by_key[made.arrival.key] > 1
    return sum(runs.by_id[name] for name in made.tries) > 1


def show(made: Made) -> str:
    """Returns a call as a line."""
    return (
        f"{made.arrival.name} at {made.arrival.at:.3f} s: {made.end}"
        f" after {made.latency_s:.3f} s, {len(made.tries)} tries,"
        f" cut {made.cut}, last {made.detail}"
    )


def fill(made: list[Made], deadline_s: float, *, keyed: bool) -> HdrHistogram:
    """Returns latencies; a call without its answer counts as its deadline."""
    found = load_callers.histogram()
    for item in made:
        if (item.arrival.kind is Kind.KEYED) is keyed:
            good = item.end in (End.ANSWERED, End.REPEATED)
            latency = item.latency_s
            if not good:
                latency = max(latency, deadline_s)
            load_callers.record(found, latency)
    return found


def summary(
    callers: load_callers.Callers,
    runs: Runs,
    faults: Faults,
    deadline_s: float,
    took_s: float,
) -> dict[str, Any]:
    """Returns the figures of one run.

    Of answered calls without a key, `work` is the time that the run takes
    alone, `wait` what its server adds, and `path` all the rest: sending,
    daemon, loopback, earlier tries.
    """
    made = callers.made
    plain = fill(made, deadline_s, keyed=False)
    keyed = fill(made, deadline_s, keyed=True)
    ends = collections.Counter(item.end for item in made)
    good = sum(
        1
        for item in made
        if item.end in (End.ANSWERED, End.REPEATED)
        and item.latency_s <= deadline_s
    )
    figures: dict[str, Any] = {
        name: _ms(plain, quantile) for name, quantile in QUANTILES.items()
    }
    figures |= split(made)
    figures |= {
        "keyed_p50_ms": _ms(keyed, 50.0),
        "keyed_p99_ms": _ms(keyed, 99.0),
        "calls": len(made),
        "goodput": round(good / max(1, len(made)), 5),
        "refused": ends[End.REFUSED],
        "open": ends[End.OPEN],
        "unanswered": ends[End.LOST],
        "repeated": ends[End.REPEATED],
    }
    figures |= {name: len(found) for name, found in faults._asdict().items()}
    extra = runs.totals["received"] / max(1, len(made)) - 1
    figures |= {
        "extra_percent": round(100 * extra, 2),
        "shed": runs.totals["shed"],
        "cancelled": runs.totals["cancelled"],
        "probes_per_s": round(runs.totals["probes"] / took_s, 2),
        "last_after_drain_s": round(runs.last_after_drain_s, 3),
        "sent_late_p99_ms": _ms(callers.late, 99.0),
    }
    return figures


def split(made: list[Made]) -> dict[str, float]:
    """Returns quantiles of the parts of the latency, in milliseconds."""
    parts = {
        name: load_callers.histogram() for name in ("work", "wait", "path")
    }
    for item in made:
        if item.end is End.ANSWERED and item.arrival.kind is not Kind.KEYED:
            load_callers.record(parts["work"], item.work_s)
            load_callers.record(parts["wait"], item.held_s - item.work_s)
            load_callers.record(parts["path"], item.latency_s - item.held_s)
    return {
        f"{part}_{name}": _ms(found, quantile)
        for part, found in parts.items()
        for name, quantile in QUANTILES.items()
    }


def _ms(found: HdrHistogram, quantile: float) -> float:
    return round(found.get_value_at_percentile(quantile) / 1000, 2)


def table(rows: list[dict[str, Any]]) -> str:
    """Returns the runs as a table."""
    lines = [" ".join(f"{name:>13}" for name in COLUMNS)]
    lines += [
        " ".join(f"{row.get(name, '')!s:>13}" for name in COLUMNS)
        for row in rows
    ]
    return "\n".join(lines)
