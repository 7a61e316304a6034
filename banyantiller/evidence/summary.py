"""Bounded summaries of what one daemon observed in one period.

Times are integer wall-clock milliseconds, which every JSON library preserves
exactly. Lists are bounded; `omitted` counts the items beyond the bound, so
that a partial list is never mistaken for a complete one.
"""

import typing
from collections import Counter
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

MAX_BUNDLES = 50
MAX_REFUSALS = 10
MAX_MEMBERS = 100
MAX_LEAVING = 50
MAX_SERVICES = 200
MAX_TEXT_CHARS = 120
UNKNOWN_RATE = -1.0


class AppliedBundle(NamedTuple):
    """A bundle that came into force at this daemon."""

    version: int
    digest: str
    accepted_ms: int
    at_ms: int
    source: str


class BundleRefusal(NamedTuple):
    """A bundle that this daemon refused."""

    version: int
    reason: str
    source: str
    at_ms: int


class MemberChange(NamedTuple):
    """A change in this daemon's view of a peer."""

    daemon: str
    state: str
    incarnation: int
    at_ms: int


class ServerDeparture(NamedTuple):
    """A server that this daemon found leaving."""

    service: str
    server: str
    reason: str
    at_ms: int


class ObservedBreach(NamedTuple):
    """A breach of a promise that this daemon observed."""

    promise: str
    request_id: str
    detail: str
    at_ms: int


class ProbeUsage(NamedTuple):
    """Probes that this daemon sent to one service.

    Attributes:
        sent: Probes in the period.
        rate: Budget of all daemons together in probes per second, as this
            daemon knew it; the smallest one if it changed; `UNKNOWN_RATE` if
            the daemon did not know it.
    """

    sent: int
    rate: float


class Summary(NamedTuple):
    """Observations of one daemon in one period.

    Attributes:
        from_ms: Start of the period.
        to_ms: End of the period.
        started: Whether this is the first summary of a run.
        final: Whether the daemon shut down gracefully after it.
        merged: Number of periods that were merged into it.
        calls: Finished calls by service.
        errors: Failed calls by error kind.
        cut: Answers that ended early.
        runs: Non-idempotent calls of which bytes were sent to a server.
        attempts: Attempts that wrote at least one byte.
        retries: Attempts beyond the first of each call.
        latency: Calls by bucket of duration; see `bucket_of`.
        bundles: Bundles that came into force.
        version: Version in force at the end, 0 for none.
        refused: Bundles refused.
        probes: Probes by service.
        store_down_ms: Milliseconds for which the object API did not answer.
        members: Changes in the view of peers.
        leaving: Servers found leaving.
        breaches: Breaches of promises, with the request IDs.
        breach_counts: Number of breaches by promise, unlisted ones included.
        omitted: Number of items omitted from each bounded list, by name.
        audit_sequence: Sequence number of the last audit entry seen, 0 for
            none.
        audit_digest: Digest of that entry.
    """

    from_ms: int
    to_ms: int
    started: bool = False
    final: bool = False
    merged: int = 1
    calls: dict[str, int] = {}  # noqa: RUF012
    errors: dict[str, int] = {}  # noqa: RUF012
    cut: int = 0
    runs: int = 0
    attempts: int = 0
    retries: int = 0
    latency: dict[str, int] = {}  # noqa: RUF012
    bundles: tuple[AppliedBundle, ...] = ()
    version: int = 0
    refused: tuple[BundleRefusal, ...] = ()
    probes: dict[str, ProbeUsage] = {}  # noqa: RUF012
    store_down_ms: int = 0
    members: tuple[MemberChange, ...] = ()
    leaving: tuple[ServerDeparture, ...] = ()
    breaches: tuple[ObservedBreach, ...] = ()
    breach_counts: dict[str, int] = {}  # noqa: RUF012
    omitted: dict[str, int] = {}  # noqa: RUF012
    audit_sequence: int = 0
    audit_digest: str = ""


FIELD_TYPES = typing.get_type_hints(Summary)

LISTS: dict[str, int] = {
    "bundles": MAX_BUNDLES,
    "refused": MAX_REFUSALS,
    "members": MAX_MEMBERS,
    "leaving": MAX_LEAVING,
}


def encode(summary: Summary) -> dict[str, Any]:
    """Returns the JSON form: fields by name, without default values."""
    defaults = Summary._field_defaults
    return {
        name: msgspec.to_builtins(value)
        for name, value in summary._asdict().items()
        if name not in defaults or value != defaults[name]
    }


def decode(record: Mapping[str, Any]) -> Summary:
    """Parses the JSON form; unknown fields are ignored.

    Raises:
        msgspec.ValidationError: A field has the wrong type or is missing.
    """
    known = {
        name: msgspec.convert(record[name], field_type)
        for name, field_type in FIELD_TYPES.items()
        if name in record
    }
    try:
        return Summary(**known)
    except TypeError as error:
        raise msgspec.ValidationError(str(error)) from error


def merge(first: Summary, second: Summary, most_requests: int) -> Summary:
    """Merges two neighbouring summaries into one over both periods.

    Args:
        first: The earlier summary.
        second: The later summary.
        most_requests: Maximum number of breaches that are listed.

    Returns:
        A summary whose counts are exact and whose lists are bounded.
    """
    omitted = Counter(first.omitted)
    omitted.update(second.omitted)
    lists: dict[str, Any] = {}
    for name, limit in {**LISTS, "breaches": most_requests}.items():
        items = getattr(first, name) + getattr(second, name)
        lists[name] = items[:limit]
        omitted[name] += max(0, len(items) - limit)
    return Summary(
        from_ms=first.from_ms,
        to_ms=second.to_ms,
        started=first.started,
        final=second.final,
        merged=first.merged + second.merged,
        calls=add_counts(first.calls, second.calls),
        errors=add_counts(first.errors, second.errors),
        cut=first.cut + second.cut,
        runs=first.runs + second.runs,
        attempts=first.attempts + second.attempts,
        retries=first.retries + second.retries,
        latency=add_counts(first.latency, second.latency),
        version=second.version,
        probes=_merged_probes(first.probes, second.probes),
        store_down_ms=first.store_down_ms + second.store_down_ms,
        breach_counts=add_counts(first.breach_counts, second.breach_counts),
        omitted={name: count for name, count in omitted.items() if count},
        audit_sequence=second.audit_sequence or first.audit_sequence,
        audit_digest=second.audit_digest or first.audit_digest,
        **lists,
    )


def add_counts(
    first: Mapping[str, int], second: Mapping[str, int]
) -> dict[str, int]:
    """Adds two tables of counts."""
    total = Counter(first)
    total.update(second)
    return dict(total)


def _merged_probes(
    first: Mapping[str, ProbeUsage], second: Mapping[str, ProbeUsage]
) -> dict[str, ProbeUsage]:
    probes = dict(first)
    for service, spent in second.items():
        before = probes.get(service, ProbeUsage(0, spent.rate))
        probes[service] = ProbeUsage(
            before.sent + spent.sent, min(before.rate, spent.rate)
        )
    return probes
