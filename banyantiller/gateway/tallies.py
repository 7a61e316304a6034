"""Counters of the gateway, read when metrics are requested."""

import collections
import math

from banyantiller.errors import ErrorKind

# Upper bounds of the latency buckets, in seconds: from a fast read to the
# longest time that a caller waits.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, math.inf)


class Tallies:
    """Counts of calls, attempts, connections and documents.

    Attributes:
        calls: Finished calls by service, route and status.
        errors: Calls that ended with an error of the gateway, by service and
            kind.
        retries: Attempts after the first one of a call, by service.
        latency: Calls by service and upper bound of the latency bucket.
        total_duration_s: Total duration of calls by service, in seconds.
        failed_attempts: Failed attempts by service and kind.
        forwarded: Calls forwarded to other daemons by service and outcome:
            "answered", "refused" or "broken".
        received: Calls of other daemons' callers by service and status.
        opened: New connections to servers by reason.
        documents: Documents by outcome: "in_force", "outdated" or
            "unreadable".
        registrations: Registrations by outcome: "read" or "unreadable".
        precedence: Requests that were treated differently for their cost, by
            service, decision and reason.
    """

    def __init__(self) -> None:
        self.calls: collections.Counter[tuple[str, str, int]] = (
            collections.Counter()
        )
        self.errors: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.retries: collections.Counter[str] = collections.Counter()
        self.latency: collections.Counter[tuple[str, float]] = (
            collections.Counter()
        )
        self.total_duration_s: collections.Counter[str] = collections.Counter()
        self.failed_attempts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.forwarded: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.received: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.opened: collections.Counter[str] = collections.Counter()
        self.documents: collections.Counter[str] = collections.Counter()
        self.registrations: collections.Counter[str] = collections.Counter()
        self.precedence: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def record_precedence(
        self, service: str, decision: str, reason: str
    ) -> None:
        """Counts a request that was treated differently for its cost.

        Args:
            service: Service of the request.
            decision: "waited", "rejected_early", "retry_reserved" or
                "hedged_early".
            reason: What the decision followed from.
        """
        self.precedence[service, decision, reason] += 1

    def record_call(
        self,
        service: str,
        route: str,
        status: int,
        error: ErrorKind | None,
        sends: int,
        duration_s: float,
    ) -> None:
        """Counts one finished call; its duration is in seconds."""
        self.calls[service, route, status] += 1
        if error is not None:
            self.errors[service, error.value] += 1
        if sends > 1:
            self.retries[service] += sends - 1
        bucket = next(end for end in BUCKETS_S if duration_s <= end)
        self.latency[service, bucket] += 1
        self.total_duration_s[service] += duration_s
