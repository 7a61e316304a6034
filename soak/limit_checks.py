"""Checks of what servers get that name limits."""

from collections.abc import Iterator

from soak import excuses
from soak import record as records
from soak.record import Finding, Record


def named_limits(seen: Record) -> Iterator[Finding]:
    """Yields servers that got more than they named from those they told."""
    attempts = {a.request_id: a for a in seen.attempts}
    bounds = seen.bounds
    for limit in seen.limits:
        found = _judged(seen, limit, attempts)
        per_window = limit.per_s * bounds.limit_window_s
        allowed = per_window * bounds.limit_tolerance + bounds.limit_extra
        for first, begin in enumerate(found):
            ends = begin.at + bounds.limit_window_s
            window = [one for one in found[first:] if one.at < ends]
            if len(window) > allowed:
                text = (
                    f"{limit.instance} named {limit.per_s} a second and got"
                    f" {len(window)} in {bounds.limit_window_s:g} s"
                )
                ids = tuple(one.request_id for one in window)
                yield Finding("named limits", text, ids)
                break


def _judged(
    seen: Record,
    limit: records.NamedLimit,
    attempts: dict[str, records.Attempt],
) -> list[records.Arrival]:
    """Returns the arrivals of daemons that knew a limit, in their order."""
    told: dict[int, float] = {}
    found = []
    since = limit.began + seen.bounds.contact_s
    for arrival in sorted(seen.arrivals):
        attempt = attempts.get(arrival.request_id)
        there = arrival.instance == limit.instance
        if attempt is None or not there or arrival.misdirected:
            continue
        if not limit.began <= arrival.at < limit.ended:
            continue
        daemon = attempt.daemon
        knows = arrival.at >= told.get(daemon, limit.ended)
        if knows and arrival.at >= since and _is_calm(seen, daemon, arrival.at):
            found.append(arrival)
        if attempt.end == records.ANSWERED:
            known_at = attempt.ended_at + seen.bounds.limit_told_s
            told[daemon] = min(told.get(daemon, known_at), known_at)
    return found


def _is_calm(seen: Record, daemon: int, at: float) -> bool:
    began = at - seen.bounds.limit_window_s
    return excuses.calm(seen, daemon, began, at, excuses.PART_EXCUSES)
