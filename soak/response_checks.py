"""Checks of what servers get after they stated something in a response."""

import collections
from collections.abc import Iterator

from soak import excuses
from soak import record as records
from soak.record import Finding, Record

# What excuses a daemon that did not heed a response.
BACKOFF_EXCUSES = (records.PROCESS, records.SERVER_LINK, records.LAG)
LEAVING_EXCUSES = (records.PROCESS, records.LAG)


def backoffs(seen: Record) -> Iterator[Finding]:
    """Yields servers that got requests in a backoff that they asked for.

    A backoff concerns the daemon that sent the refused request: a call may be
    forwarded, and then another daemon than the caller's sends it.
    """
    arrivals = collections.defaultdict(list)
    for arrival in sorted(seen.arrivals):
        if not arrival.misdirected:
            arrivals[arrival.sender, arrival.start].append(arrival)
    for (daemon, _), found in arrivals.items():
        for refusal in found:
            ends_at = refusal.at + refusal.retry_after_s
            since = refusal.at + seen.bounds.backoff_told_s
            late = [one for one in found if since < one.at < ends_at]
            excused = not excuses.calm(
                seen, daemon, refusal.at, ends_at, BACKOFF_EXCUSES
            )
            if len(late) > seen.bounds.backoff_arrivals and not excused:
                text = (
                    f"{refusal.instance} asked daemon {daemon} for"
                    f" {refusal.retry_after_s:g} s without requests and got"
                    f" {len(late)}"
                )
                ids = tuple(one.request_id for one in late)
                yield Finding("backoffs", text, ids)
                break


def stated_leaving(seen: Record) -> Iterator[Finding]:
    """Yields requests long after a daemon passed on that a server leaves."""
    attempts = {a.request_id: a for a in seen.attempts}
    stated_at = {one.instance: one.at for one in seen.stated_leavings}
    told: dict[tuple[int, int, str], float] = {}
    for attempt in seen.attempts:
        instance = attempt.signature.removeprefix("by.")
        since = stated_at.get(instance)
        if since is None or attempt.sent_at < since:
            continue
        key = (attempt.daemon, attempt.life, instance)
        told[key] = min(told.get(key, attempt.ended_at), attempt.ended_at)
    for arrival in seen.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is None or arrival.misdirected:
            continue
        key = (attempt.daemon, attempt.life, arrival.instance)
        told_at = told.get(key)
        if told_at is None or attempt.sent_at <= told_at + seen.bounds.drain_s:
            continue
        if excuses.calm(
            seen, attempt.daemon, told_at, arrival.at, LEAVING_EXCUSES
        ):
            text = (
                f"{arrival.instance} got one {arrival.at - told_at:.2f} s after"
                f" daemon {attempt.daemon} had passed on that it leaves"
            )
            yield Finding("stated leaving", text, (arrival.request_id,))
