"""Checks of what the store holds and daemons have to follow in time."""

import bisect
from collections.abc import Iterator

from soak import excuses
from soak import record as records
from soak.record import Finding, Record


def leaving_servers(seen: Record) -> Iterator[Finding]:
    """Yields new requests at servers that left long ago."""
    attempts = {a.request_id: a for a in seen.attempts}
    left = {leaving.instance: leaving.at for leaving in seen.leavings}
    for arrival in seen.arrivals:
        since = left.get(arrival.instance)
        if since is None:
            continue
        attempt = attempts.get(arrival.request_id)
        if _is_late(seen, arrival, attempt, since, seen.bounds.drain_s):
            text = (
                f"{arrival.instance} got one {arrival.at - since:.2f} s after"
                f" its leaving from daemon {attempt.daemon}"
            )
            yield Finding("leaving servers", text, (arrival.request_id,))


def evacuated_zones(seen: Record) -> Iterator[Finding]:
    """Yields new requests at servers of a zone evacuated long before."""
    attempts = {a.request_id: a for a in seen.attempts}
    bound_s = seen.bounds.evacuate_s
    for one in seen.evacuations:
        for arrival in seen.arrivals:
            there = seen.zones.get(arrival.instance) == one.zone
            if not there or arrival.at >= one.ended:
                continue
            attempt = attempts.get(arrival.request_id)
            if _is_late(seen, arrival, attempt, one.began, bound_s):
                text = (
                    f"{one.zone} got one {arrival.at - one.began:.2f} s after"
                    f" its evacuation from daemon {attempt.daemon}"
                )
                yield Finding("evacuated zones", text, (arrival.request_id,))


def _is_late(
    seen: Record,
    arrival: records.Arrival,
    attempt: records.Attempt | None,
    since: float,
    bound_s: float,
) -> bool:
    """Tells whether a request arrived after a bound that nothing excuses."""
    if attempt is None or arrival.misdirected:
        return False
    if arrival.at - since <= bound_s + excuses.SLACK_S:
        return False
    return excuses.calm(
        seen, attempt.daemon, since, arrival.at, excuses.STORE_EXCUSES
    )


def in_force(seen: Record) -> Iterator[Finding]:
    """Yields answers by a version that should no longer be in force."""
    times = [a.at for a in seen.acceptances]
    for attempt in seen.attempts:
        told = attempt.status in (records.OK, records.NOT_FOUND)
        if not attempt.version or not told:
            continue
        settled = bisect.bisect(times, attempt.sent_at - seen.bounds.apply_s)
        latest = bisect.bisect(times, attempt.ended_at)
        due = seen.acceptances[settled - 1].version if settled else 0
        possible = {a.version for a in seen.acceptances[settled:latest]} | {due}
        served = attempt.status == records.OK
        wrong = served and attempt.version not in possible
        wrong |= not served and possible == {attempt.version}
        if wrong and excuses.calm(
            seen,
            attempt.daemon,
            times[settled - 1],
            attempt.ended_at,
            excuses.STORE_EXCUSES,
        ):
            text = (
                f"daemon {attempt.daemon} answered {attempt.status} for"
                f" version {attempt.version} while {sorted(possible)} held"
            )
            yield Finding("in force", text, (attempt.request_id,))
