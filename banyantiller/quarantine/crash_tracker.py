"""Relates requests without a response to servers that crashed.

A server counts as crashed while it ran a request if the request got no
response and the server's machine refuses new connections. A server that resets
one connection accepts the next one. Callers of this module leave out servers
that are shutting down, and refusals on links that refuse every server.
"""

import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from banyantiller.quarantine import crash_table

# A request that was cancelled at most this long before its server was found
# crashed may have caused the crash: the server learns of the cancellation only
# when the end of the request reaches it.
MAX_FAILURE_AGE_S = 0.5
# Requests with recent responses that are kept, so that a request which peers
# suspect is cleared at once.
MAX_RESPONSES = 1024
# Requests without a response kept for each server; it runs fewer at a time.
MAX_UNANSWERED = 64


class UnansweredRequest(NamedTuple):
    """A request that was sent to a server and got no response.

    Attributes:
        fingerprint: The request.
        request_id: Identifier of this sending of the request.
        sent_at: Loop time at which it was sent.
        failed_at: Loop time at which its connection broke or it was cancelled.
    """

    fingerprint: str
    request_id: str
    sent_at: float
    failed_at: float


class Callbacks(NamedTuple):
    """Functions that a `CrashTracker` calls.

    Attributes:
        publish: Sends the records of these requests to peers; they contain
            something that this daemon observed.
        on_crash: Reports that a server crashed while it ran a request.
        on_change: Reports that a quarantine started or ended.
    """

    publish: Callable[[Iterable[str]], None]
    on_crash: Callable[[str, UnansweredRequest], None]
    on_change: Callable[[crash_table.QuarantineChange], None]


class CrashTracker:
    """Records the results of requests and the crashes of servers.

    A server is identified by its incarnation: a restarted server has another
    name, which is the same at every daemon.

    Attributes:
        table: Requests that were running on servers when these crashed.
        unanswered: Requests without a response, by server.
        response_times: Loop times of the last responses, by request.
    """

    def __init__(
        self, table: crash_table.CrashTable, callbacks: Callbacks
    ) -> None:
        self.table = table
        self.callbacks = callbacks
        self.unanswered: dict[str, collections.deque[UnansweredRequest]] = {}
        self.response_times: dict[str, float] = {}

    # Updates.

    def record_response(self, fingerprint: str, now: float) -> None:
        """Records that a server responded to a request and kept running."""
        # Reinserts the latest response last, so that the oldest is evicted.
        self.response_times.pop(fingerprint, None)
        self.response_times[fingerprint] = now
        if len(self.response_times) > MAX_RESPONSES:
            del self.response_times[next(iter(self.response_times))]
        self._record_response(fingerprint, now)

    def record_unanswered(
        self, server: str, request: UnansweredRequest
    ) -> None:
        """Records that a request got no response from a server."""
        unanswered = self.unanswered.get(server)
        if unanswered is None:
            unanswered = collections.deque(maxlen=MAX_UNANSWERED)
            self.unanswered[server] = unanswered
        unanswered.append(request)

    def record_refused_connection(self, server: str, now: float) -> None:
        """Records that a server's machine refuses connections to it."""
        unanswered = self.unanswered.pop(server, ())
        recent = [
            request
            for request in unanswered
            if request.failed_at >= now - MAX_FAILURE_AGE_S
        ]
        for request in recent:
            self.callbacks.on_crash(server, request)
            crash = crash_table.Crash(request.sent_at, request.failed_at)
            responded_at = self.response_times.get(
                request.fingerprint, -math.inf
            )
            self._report_changes(
                self.table.record_crash(
                    request.fingerprint, server, crash, responded_at
                )
            )
        if recent:
            self.callbacks.publish({request.fingerprint for request in recent})

    def forget_unanswered(self, server: str) -> None:
        """Forgets requests that a server left unanswered for another reason."""
        self.unanswered.pop(server, None)

    def receive_records(
        self, records: list[crash_table.RecordFields], now: float
    ) -> bool:
        """Merges the records of a peer; returns whether anything was new."""
        merged = self.table.merge_records(records, now, self.response_times)
        self._report_changes(merged.changes)
        if merged.unknown_to_peer:
            self.callbacks.publish(merged.unknown_to_peer)
        return merged.is_new

    def lift(self, fingerprint: str, now: float) -> bool:
        """Lifts the quarantine of a request on behalf of an operator.

        The crashes so far count as explained from now on.

        Returns:
            Whether there were any unexplained crashes.
        """
        if not self.table.crashed_servers(fingerprint):
            return False
        self._record_response(fingerprint, now)
        return True

    def expire(self, now: float) -> None:
        """Removes outdated records."""
        self.table.expire(now)
        for server, unanswered in list(self.unanswered.items()):
            while (
                unanswered and unanswered[0].failed_at < now - MAX_FAILURE_AGE_S
            ):
                unanswered.popleft()
            if not unanswered:
                del self.unanswered[server]

    # Queries.

    def quarantine_left_s(self, fingerprint: str, now: float) -> float | None:
        """Returns how long a request is still quarantined, or None."""
        until = self.table.quarantined_until(fingerprint, now)
        return None if until is None else until - now

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a server crashed since the last response."""
        return bool(self.table.crashed_servers(fingerprint))

    def has_unanswered(self, server: str, now: float) -> bool:
        """Returns whether a server left a request unanswered lately."""
        return any(
            request.failed_at >= now - MAX_FAILURE_AGE_S
            for request in self.unanswered.get(server, ())
        )

    def count_crashes(self, fingerprint: str, lost_server: str) -> int:
        """Counts the servers that crashed while they ran a request.

        Args:
            fingerprint: The request.
            lost_server: A server that has just closed the connection, and
                counts as crashed.
        """
        return len(self.table.crashed_servers(fingerprint) | {lost_server})

    def _record_response(self, fingerprint: str, at: float) -> None:
        before = self.table.revision
        self._report_changes(self.table.record_response(fingerprint, at))
        if self.table.revision != before:
            self.callbacks.publish({fingerprint})

    def _report_changes(
        self, changes: list[crash_table.QuarantineChange]
    ) -> None:
        for change in changes:
            self.callbacks.on_change(change)
