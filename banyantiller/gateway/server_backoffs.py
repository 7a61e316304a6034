"""Times for which servers want no requests from this daemon."""

import asyncio
import dataclasses
import math
from collections.abc import Iterable

from banyantiller.gateway import crash_detection, events, types
from banyantiller.http import messages

STATUS = 503
# How long the backoff of an unregistered server is remembered: registrations
# that lapse during an outage of the store reappear within seconds.
UNREGISTERED_KEPT_S = 10.0


@dataclasses.dataclass(slots=True)
class Backoff:
    """A time for which a server wants nothing from this daemon.

    Attributes:
        until: Loop time at which it ends.
        registered_at: Loop time at which the server was last registered.
    """

    until: float
    registered_at: float


class ServerBackoffs:
    """Tracks which servers asked this daemon for a backoff, and until when.

    A backoff is a matter between one server and one daemon: it is not reported
    to peers, which the server may still accept requests from.

    Attributes:
        header_name: Name of the header field, in lower case.
        read_retry_after: Decodes the values of `Retry-After`, to seconds;
            raises `ValueError`.
        by_incarnation: Backoffs by the incarnation id of the server.
        unreadable: Last decoding error by the incarnation id of the server.
    """

    def __init__(self, adapter: types.Adapter) -> None:
        self.header_name = adapter.retry_after
        self.read_retry_after = adapter.read_retry_after
        self.by_incarnation: dict[str, Backoff] = {}
        self.unreadable: dict[str, str] = {}
        self.loop = asyncio.get_running_loop()

    def record_response(
        self, server: types.Server, response: messages.Response
    ) -> None:
        """Records the backoff that a response asks for, if it does.

        A backoff is never shortened: a server that answers several requests
        wants nothing until the last of the times that it named.
        """
        if response.status != STATUS:
            return
        values = [
            value
            for name, value in response.headers
            if name == self.header_name
        ]
        if not values:
            return
        incarnation = crash_detection.incarnation_id(server)
        try:
            seconds = self.read_retry_after(values)
        except ValueError as error:
            self._record_unreadable(incarnation, str(error))
            return
        now = self.loop.time()
        before = self._ends_at(incarnation)
        left_s = max(0.0, before - now)
        until = max(before, now + seconds)
        self.by_incarnation[incarnation] = Backoff(until, now)
        events.emit(
            events.BackoffRequested(incarnation, seconds, round(left_s, 3))
        )

    def ends_at(self, server: types.Server) -> float:
        """Returns the loop time at which a server's backoff ends.

        It is minus infinity if the server did not ask for one.
        """
        if not self.by_incarnation:
            return -math.inf
        return self._ends_at(crash_detection.incarnation_id(server))

    def is_active(self, server: types.Server, now: float) -> bool:
        """Returns whether a server wants nothing from this daemon."""
        return now < self.ends_at(server)

    def count_active(self) -> int:
        """Counts the servers that want nothing from this daemon."""
        now = self.loop.time()
        return sum(now < one.until for one in self.by_incarnation.values())

    def expire(self, registered: Iterable[types.Server], now: float) -> None:
        """Drops backoffs that are over or whose server was removed."""
        if not self.by_incarnation and not self.unreadable:
            return
        present = {crash_detection.incarnation_id(one) for one in registered}
        for incarnation in present & self.by_incarnation.keys():
            self.by_incarnation[incarnation].registered_at = now
        oldest = now - UNREGISTERED_KEPT_S
        self.by_incarnation = {
            incarnation: one
            for incarnation, one in self.by_incarnation.items()
            if now < one.until and one.registered_at >= oldest
        }
        self.unreadable = {
            incarnation: error
            for incarnation, error in self.unreadable.items()
            if incarnation in present
        }

    def _ends_at(self, incarnation: str) -> float:
        backoff = self.by_incarnation.get(incarnation)
        return -math.inf if backoff is None else backoff.until

    def _record_unreadable(self, incarnation: str, error: str) -> None:
        """Logs a decoding error unless it is the server's last one."""
        if self.unreadable.get(incarnation) != error:
            self.unreadable[incarnation] = error
            events.emit(events.RetryAfterUnreadable(incarnation, error))
