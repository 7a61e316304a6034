"""Whether the promises were kept, from what callers and servers saw."""

import bisect
import collections
from collections.abc import Callable, Iterator
from typing import NamedTuple

from soak import (
    excuses,
    limit_checks,
    organisations,
    response_checks,
    store_checks,
)
from soak import record as records
from soak.record import Finding, Record

# The statuses that say that a request was not executed and won't be.
NOT_RUN = frozenset({408, 421, 429, 503})
# Server errors with which a daemon refuses a request for good: a method or a
# protocol version that it does not serve.
UNSUPPORTED = frozenset({501, 505})
# Body of the refusal of a request that ends servers.
QUARANTINED = b"quarantined\n"
# Least part of the requests that is served once all faults are over.
SERVED_AGAIN = 0.9
LEAST_REQUESTS = 20
# Callers of daemons that are partitioned from all servers are served at least
# this often, compared with those of the others, if more than so many fail.
LEAST_PARTITION_SHARE = 2 / 3
PARTITION_FAILURES = 10
PARTITION_FAILED_SHARE = 1 / 50
# What excuses a daemon in a partition: its callers can't be served, or those of
# others can't be served through it. One that was told to end takes no calls of
# others from then on, though its own callers are still served.
PARTITION_EXCUSES = (
    records.PROCESS,
    records.RESTART,
    records.CALLER_LINK,
    records.CONTROL_LINK,
    records.LAG,
)
# Greatest part of a run in which the soak itself may lag: lag excuses much.
MOST_LAG = 0.1
SHOWN_IDS = 5


class Promise(NamedTuple):
    """One check.

    Attributes:
        name: Name in findings.
        timed: Whether it depends on how fast this machine is.
        check: Yields what broke it.
    """

    name: str
    timed: bool
    check: Callable[[Record], Iterator[Finding]]


def judge(seen: Record, timed: bool) -> list[Finding]:
    """Returns what was broken.

    Args:
        seen: What was seen in a run.
        timed: Whether promises with a time limit are checked as well.
    """
    return [
        finding
        for promise in PROMISES
        if timed or not promise.timed
        for finding in promise.check(seen)
    ]


def whole_answer(seen: Record) -> Iterator[Finding]:
    """Yields successes that are not the whole answer to their own request."""
    executed = {(a.instance, a.request_id) for a in seen.arrivals if a.executed}
    for attempt in seen.attempts:
        if attempt.end != records.ANSWERED or attempt.status // 100 != 2:
            continue
        instance = attempt.signature.removeprefix("by.")
        wanted = f"{attempt.request_id} at {instance}".encode()
        own = (instance, attempt.request_id) in executed
        if not instance or not own or attempt.body != wanted:
            text = f"got {attempt.body[:80]!r} signed {attempt.signature!r}"
            yield Finding("whole answer", text, (attempt.request_id,))


def not_run(seen: Record) -> Iterator[Finding]:
    """Yields requests that were executed though the caller was told not."""
    executed = {a.request_id for a in seen.arrivals if a.executed}
    for attempt in seen.attempts:
        if attempt.status in NOT_RUN and attempt.request_id in executed:
            text = f"told {attempt.status}, executed all the same"
            yield Finding("not run", text, (attempt.request_id,))


def never_denied(seen: Record) -> Iterator[Finding]:
    """Yields proper requests that a daemon itself refused for good.

    Callers don't repeat a request after such a status. Nothing excuses it: a
    daemon that knows no document yet, or whose process or links fail, can
    answer 503. Requests on routes that not all documents have are left out.
    """
    for attempt in seen.attempts:
        if attempt.version or attempt.end != records.ANSWERED:
            continue
        if _is_final(attempt.status) and not attempt.signature:
            text = (
                f"daemon {attempt.daemon} answered {attempt.status} to"
                f" '{attempt.kind}' after"
                f" {attempt.ended_at - attempt.sent_at:.2f} s"
            )
            yield Finding("never denied", text, (attempt.request_id,))


def _is_final(status: int) -> bool:
    """Tells whether a status tells a caller not to try again."""
    by_class = status // 100 in (3, 4) and status not in NOT_RUN
    return by_class or status in UNSUPPORTED


def at_most_once(seen: Record) -> Iterator[Finding]:
    """Yields requests that were executed more often than they may be."""
    kinds = {a.request_id: a.kind for a in seen.attempts}
    counts = collections.Counter(
        a.request_id for a in seen.arrivals if a.executed
    )
    for request_id, count in counts.items():
        kind = kinds.get(request_id)
        most = 1 if kind == records.FILE else seen.bounds.most_servers
        if count > most:
            text = f"'{kind}' executed {count} times"
            yield Finding("at most once", text, (request_id,))


def nothing_invented(seen: Record) -> Iterator[Finding]:
    """Yields requests at servers that no caller sent."""
    sent = {a.request_id for a in (*seen.attempts, *seen.keyed_attempts)}
    for arrival in seen.arrivals:
        if arrival.request_id not in sent:
            text = f"{arrival.instance} got a request that nobody sent"
            yield Finding("nothing invented", text, (arrival.request_id,))


def answered(seen: Record) -> Iterator[Finding]:
    """Yields requests that reached a server and lost their connection.

    A planned end of the daemon and faults of servers or of the store are no
    excuse.
    """
    arrived = {a.request_id for a in seen.arrivals}
    excused = (records.PROCESS, records.CALLER_LINK, records.LAG)
    for attempt in seen.attempts:
        lost = attempt.end in (records.CLOSED, records.CUT_SHORT)
        if not lost or attempt.request_id not in arrived:
            continue
        if excuses.calm(seen, attempt.daemon, attempt.sent_at, attempt.ended_at,
                 excused):  # fmt: skip
            text = f"daemon {attempt.daemon} {attempt.end} at work"
            yield Finding("answered", text, (attempt.request_id,))


def in_time(seen: Record) -> Iterator[Finding]:
    """Yields requests that were held past their limit."""
    excused = (records.PROCESS, records.CALLER_LINK, records.LAG)
    for attempt in seen.attempts:
        if attempt.end == records.LEFT:
            continue
        took_s = attempt.ended_at - attempt.sent_at
        if took_s <= attempt.limit_s + seen.bounds.late_s:
            continue
        if excuses.calm(seen, attempt.daemon, attempt.sent_at, attempt.ended_at,
                 excused):  # fmt: skip
            text = f"daemon {attempt.daemon} held it {took_s:.2f} s"
            yield Finding("in time", text, (attempt.request_id,))


def servers_that_end(seen: Record) -> Iterator[Finding]:
    """Yields requests that ended servers and went on reaching them.

    A daemon that starts is not told of by anything but other daemons, so that
    its start excuses it for a moment only.
    """
    attempts = {a.request_id: a for a in seen.attempts}
    excused = (records.PROCESS, records.CONTROL_LINK, records.LAG)
    ends = collections.defaultdict(list)
    for end in seen.ends:
        ends[end.target].append(end.at)
    for target, times in ends.items():
        if len(times) < seen.bounds.ended_servers:
            continue
        third = sorted(times)[seen.bounds.ended_servers - 1]
        later = [
            arrival
            for arrival in seen.arrivals
            if arrival.target == target
            and arrival.at > third + seen.bounds.contact_s
            and excuses.calm(
                seen,
                attempts[arrival.request_id].daemon,
                arrival.at,
                arrival.at,
                excused,
            )
        ]
        if len(later) > seen.bounds.later_arrivals:
            ids = tuple(arrival.request_id for arrival in later)
            text = f"{target} ended {len(times)}, and came {len(later)} times"
            yield Finding("servers that end", text, ids[:SHOWN_IDS])


def nobody_else_refused(seen: Record) -> Iterator[Finding]:
    """Yields proper requests that were taken for ones that end servers."""
    for attempt in seen.attempts:
        if attempt.kind != records.ENDING and attempt.body == QUARANTINED:
            text = f"daemon {attempt.daemon} refused '{attempt.kind}'"
            yield Finding("nobody else refused", text, (attempt.request_id,))


def never_back(seen: Record) -> Iterator[Finding]:
    """Yields versions that a process served after a newer one."""
    newest: dict[tuple[int, int], tuple[int, float]] = {}
    served = [a for a in seen.attempts if a.version and a.status == records.OK]
    for attempt in sorted(served, key=lambda a: a.ended_at):
        life = (attempt.daemon, attempt.life)
        version, since = newest.get(life, (0, 0.0))
        if attempt.version < version and attempt.sent_at > since:
            text = f"daemon {attempt.daemon}: {attempt.version} after {version}"
            yield Finding("never back", text, (attempt.request_id,))
        if attempt.version > version:
            newest[life] = (attempt.version, attempt.ended_at)


def retry_budget(seen: Record) -> Iterator[Finding]:
    """Yields windows with more repeated sends than the fleet may make."""
    bounds = seen.bounds
    first: set[str] = set()
    repeated = []
    for arrival in sorted(seen.arrivals):
        if arrival.request_id in first:
            repeated.append(arrival.at)
        first.add(arrival.request_id)
    sent = sorted(a.sent_at for a in seen.attempts)
    for index, ends in enumerate(repeated):
        begins = ends - bounds.window_s
        count = index + 1 - bisect.bisect_right(repeated, begins)
        asked = bisect.bisect_right(sent, ends) - bisect.bisect(sent, begins)
        most = bounds.retry_ratio * asked + bounds.retry_extra
        if count > most:
            text = f"{count} repeats in {bounds.window_s:g} s, most {most:.1f}"
            yield Finding("retry budget", text)
            return


def ends(seen: Record) -> Iterator[Finding]:
    """Yields processes that ended by themselves or not in good order."""
    for one in seen.exits:
        if one.asked_at is not None and not one.listened:
            # Nobody could be cut off yet.
            continue
        if one.asked_at is None:
            text = f"daemon {one.daemon} ended by itself with {one.status}"
            yield Finding("ends", text)
            continue
        excused = (records.PROCESS, records.LAG)
        if not excuses.calm(seen, one.daemon, one.asked_at, one.at, excused):
            continue
        took_s = one.at - one.asked_at
        if one.status != 0:
            text = f"daemon {one.daemon} ended with status {one.status}"
            yield Finding("ends", text)
        elif took_s > seen.bounds.grace_s:
            text = f"daemon {one.daemon} took {took_s:.2f} s to end"
            yield Finding("ends", text)


def logs(seen: Record) -> Iterator[Finding]:
    """Yields lines that only a fault of the program's own can write."""
    for line in seen.log_errors:
        yield Finding("logs", line)


def served_in_partitions(seen: Record) -> Iterator[Finding]:
    """Yields partitions from all servers in which callers got no service.

    First tries at the daemons in question are compared with those at the
    others, since servers and the store may fail at the same time. Others count
    only if nothing else happens to them, as calls are served through them.
    """
    partitions = [d for d in seen.disturbances if d.what == records.PARTITION]
    ends: dict[float, float] = {}
    for one in partitions:
        ends[one.began] = min(one.ended, ends.get(one.began, one.ended))
    for began, ended in ends.items():
        cut = {d.daemon for d in partitions if d.began == began}
        also_cut = {
            d.daemon
            for d in partitions
            if d.began <= ended and d.ended >= began
        }
        since = began + seen.bounds.contact_s
        tries = [
            attempt
            for attempt in seen.attempts
            if since <= attempt.sent_at
            and attempt.ended_at <= ended
            and _counts_in_partition(seen, attempt)
        ]
        inside = [a for a in tries if a.daemon in cut]
        helpers = {
            daemon
            for daemon in {a.daemon for a in tries} - also_cut
            if excuses.calm(seen, daemon, since, ended, PARTITION_EXCUSES)
        }
        outside = [a for a in tries if a.daemon in helpers]
        if not inside or not outside:
            continue
        failed = [a for a in inside if a.status != records.OK]
        most = PARTITION_FAILURES + PARTITION_FAILED_SHARE * len(tries)
        share = 1 - len(failed) / len(inside)
        others = sum(a.status == records.OK for a in outside) / len(outside)
        if share < LEAST_PARTITION_SHARE * others and len(failed) > most:
            text = (
                f"daemons {sorted(cut)} served {len(inside) - len(failed)} of"
                f" {len(inside)}, the others {others:.0%}"
            )
            ids = tuple(attempt.request_id for attempt in failed)
            yield Finding("served in partitions", text, ids[:SHOWN_IDS])


def _counts_in_partition(seen: Record, attempt: records.Attempt) -> bool:
    """Tells whether nothing but the partition explains a failed try."""
    return (
        not attempt.version
        and attempt.kind != records.ENDING
        and attempt.end != records.LEFT
        and excuses.calm(
            seen,
            attempt.daemon,
            attempt.sent_at,
            attempt.ended_at,
            PARTITION_EXCUSES,
        )
    )


def kept_up(seen: Record) -> Iterator[Finding]:
    """Yields a run in which the soak itself was too slow to judge service."""
    sent = [a.sent_at for a in seen.attempts]
    lag_s = sum(
        one.ended - one.began
        for one in seen.disturbances
        if one.what == records.LAG
    )
    if sent and lag_s > MOST_LAG * (max(sent) - min(sent)):
        yield Finding("kept up", f"the soak itself lagged for {lag_s:.1f} s")


def served_again(seen: Record) -> Iterator[Finding]:
    """Yields a run that is not served once all faults are over."""
    late = [
        a
        for a in seen.attempts
        if a.sent_at >= seen.calm_from
        and not a.version
        and a.kind != records.ENDING
        and a.end != records.LEFT
    ]
    if any(d.what == records.LAG and d.ended >= seen.calm_from
           for d in seen.disturbances):  # fmt: skip
        # The servers, which run in the soak, could not keep up.
        return
    good = sum(a.status == records.OK for a in late)
    if len(late) < LEAST_REQUESTS or good < SERVED_AGAIN * len(late):
        bad = tuple(a.request_id for a in late if a.status != records.OK)
        text = f"{good} of {len(late)} served after the last fault"
        yield Finding("served again", text, bad[:SHOWN_IDS])


PROMISES = (
    Promise("whole answer", False, whole_answer),
    Promise("not run", False, not_run),
    Promise("never denied", False, never_denied),
    Promise("at most once", False, at_most_once),
    Promise("nothing invented", False, nothing_invented),
    Promise("answered", False, answered),
    Promise("never back", False, never_back),
    Promise("servers that end", False, servers_that_end),
    Promise("nobody else refused", False, nobody_else_refused),
    Promise("retry budget", False, retry_budget),
    Promise("served in partitions", False, served_in_partitions),
    Promise("logs", False, logs),
    Promise("ends", True, ends),
    Promise("in time", True, in_time),
    Promise("leaving servers", True, store_checks.leaving_servers),
    Promise("evacuated zones", True, store_checks.evacuated_zones),
    Promise("named limits", True, limit_checks.named_limits),
    Promise("own organisation", False, organisations.own_organisation),
    Promise("allowances", False, organisations.allowances),
    Promise("removed keys", True, organisations.removed_keys),
    Promise("backoffs", True, response_checks.backoffs),
    Promise("stated leaving", True, response_checks.stated_leaving),
    Promise("in force", True, store_checks.in_force),
    Promise("served again", True, served_again),
    Promise("kept up", True, kept_up),
)
