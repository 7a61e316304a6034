"""What one daemon sees of servers that end, and what follows from it.

A request counts as having been on a server that ended if it got no answer there
and the server's machine refuses new connections. A cut link refuses nothing, a
server that reset one connection takes the next one, and a server that leaves
is not looked at: whoever feeds this part sees to that.
"""

import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from banyantiller.quarantine import crash_table

# A request that was given up so shortly before its server was found gone may
# have ended it: the server learns of it when the request's end arrives.
MAX_FAILURE_AGE_S = 0.5
# Requests that were answered lately, so that one which others suspect is known
# to be answered elsewhere at once.
MAX_RESPONSES = 1024
# Requests without an answer that are kept of one server; it executes fewer.
MAX_UNANSWERED = 64


class UnansweredRequest(NamedTuple):
    """A request that was sent to a server and got no answer there.

    Attributes:
        fingerprint: The request.
        request_id: Identity of its sending.
        sent_at: Loop time at which it was sent.
        failed_at: Loop time at which its connection broke or was given up.
    """

    fingerprint: str
    request_id: str
    sent_at: float
    failed_at: float


class Callbacks(NamedTuple):
    """What is called with what was seen and concluded.

    Attributes:
        publish: Of these requests something new was seen here; others are to be
            told.
        on_crash: A server ended with a request on it.
        on_change: What is believed of a request has changed.
    """

    publish: Callable[[Iterable[str]], None]
    on_crash: Callable[[str, UnansweredRequest], None]
    on_change: Callable[[crash_table.QuarantineChange], None]


class CrashTracker:
    """Joins what becomes of requests with what becomes of servers.

    A server is named by its start: another start has another name, which is the
    same at every daemon.

    Attributes:
        table: Requests with which servers ended.
        unanswered: Requests without an answer, by server.
        response_times: Loop time of the last answers, by request.
    """

    def __init__(
        self, table: crash_table.CrashTable, callbacks: Callbacks
    ) -> None:
        self.table = table
        self.callbacks = callbacks
        self.unanswered: dict[str, collections.deque[UnansweredRequest]] = {}
        self.response_times: dict[str, float] = {}

    # What happens to requests and servers.

    def record_response(self, fingerprint: str, now: float) -> None:
        """Notes that a server answered a request and went on."""
        # The latest one last, so that the oldest is dropped first.
        self.response_times.pop(fingerprint, None)
        self.response_times[fingerprint] = now
        if len(self.response_times) > MAX_RESPONSES:
            del self.response_times[next(iter(self.response_times))]
        self._record_response(fingerprint, now)

    def record_unanswered(
        self, server: str, request: UnansweredRequest
    ) -> None:
        """Notes that a request got no answer from a server."""
        unanswered = self.unanswered.get(server)
        if unanswered is None:
            unanswered = collections.deque(maxlen=MAX_UNANSWERED)
            self.unanswered[server] = unanswered
        unanswered.append(request)

    def record_refused_connection(self, server: str, now: float) -> None:
        """Notes that a server's machine refuses connections to it."""
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

    def receive_records(
        self, records: list[crash_table.RecordFields], now: float
    ) -> bool:
        """Takes what another daemon knows; tells whether anything was new."""
        merged = self.table.merge_records(records, now, self.response_times)
        self._report_changes(merged.changes)
        if merged.unknown_to_peer:
            self.callbacks.publish(merged.unknown_to_peer)
        return merged.is_new

    def lift(self, fingerprint: str, now: float) -> bool:
        """Forgets what counts against a request; False if nothing does.

        Called for an operator who knows better.
        """
        if not self.table.crashed_servers(fingerprint):
            return False
        self._record_response(fingerprint, now)
        return True

    def expire(self, now: float) -> None:
        """Forgets what is out of date."""
        self.table.expire(now)
        for server, unanswered in list(self.unanswered.items()):
            while (
                unanswered and unanswered[0].failed_at < now - MAX_FAILURE_AGE_S
            ):
                unanswered.popleft()
            if not unanswered:
                del self.unanswered[server]

    # What calls ask.

    def quarantine_left_s(self, fingerprint: str, now: float) -> float | None:
        """Returns how long a request is still refused, or None."""
        until = self.table.quarantined_until(fingerprint, now)
        return None if until is None else until - now

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a server ended with a request that none answered."""
        return bool(self.table.crashed_servers(fingerprint))

    def count_crashes(self, fingerprint: str, lost_server: str) -> int:
        """Counts the servers that ended with a request on them.

        Args:
            fingerprint: The request.
            lost_server: A server that broke the connection just now, and
                counts as
                ended.
        """
        return len(self.table.crashed_servers(fingerprint) | {lost_server})

    # Within.

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
