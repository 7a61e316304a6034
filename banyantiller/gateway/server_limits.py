"""Rate limits that overloaded servers name in their responses."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import TypedDict

from banyantiller.gateway import crash_detection, events, types
from banyantiller.gateway.decisions import turns
from banyantiller.http import messages

# Maximum number of limits in one message to a peer.
MAX_REPORTED = 64
# How long the end of a limit is remembered: it is reported to peers, and a
# response to an earlier request must not restore the limit.
REMOVED_LIMIT_KEPT_S = 10.0
# How long the limit of an unregistered server is remembered: a peer may learn
# of a new incarnation before this daemon does.
UNREGISTERED_KEPT_S = 10.0


class LimitFields(TypedDict):
    """A limit in a message between daemons.

    `start` is the incarnation id of the server. `per_s` is the limit in
    requests per second, or None if the server no longer names one. `age_ms` is
    the time since the request was sent whose response showed this.
    """

    start: str
    per_s: float | None
    age_ms: int


@dataclasses.dataclass(slots=True)
class ServerLimit:
    """The latest known limit of a server.

    Attributes:
        per_s: Requests per second that the server accepts from all daemons
            together, or None if it no longer names a limit.
        sent_at: Loop time at which the request was sent whose response showed
            this.
        usage: Turns that this daemon has used at the server.
    """

    per_s: float | None
    sent_at: float
    usage: turns.TurnUsage


class ServerLimits:
    """Tracks the limits of servers and keeps this daemon within its share.

    Attributes:
        header_name: Name of the header field, in lower case.
        read_limit: Decodes the values of that field; raises `ValueError`.
        position: Returns this daemon's position in the fleet.
        by_incarnation: Limits by the incarnation id of the server.
        unreadable: Decoding error of a server's field, by its incarnation id.
        registered_at: Loop time at which an incarnation was last seen as
            registered, by its id.
    """

    def __init__(
        self,
        adapter: types.Adapter,
        position: Callable[[], turns.FleetPosition],
    ) -> None:
        self.header_name = adapter.wire.limit.decode()
        self.read_limit = adapter.read_limit
        self.position = position
        self.by_incarnation: dict[str, ServerLimit] = {}
        self.unreadable: dict[str, str] = {}
        self.registered_at: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()

    def record_response(
        self,
        server: types.Server,
        headers: messages.Headers,
        sent_at: float,
        to_request: bool = True,
    ) -> None:
        """Updates a server's limit from one of its responses.

        Args:
            server: The server.
            headers: Header fields of the response.
            sent_at: Loop time at which the request or probe was sent.
            to_request: Whether this is the response to a caller's request. A
                server may omit its limit from responses to health probes.
        """
        values = [value for name, value in headers if name == self.header_name]
        incarnation = crash_detection.incarnation_id(server)
        if not values:
            if to_request and incarnation in self.by_incarnation:
                self._update(incarnation, None, sent_at)
            return
        try:
            per_s = self.read_limit(values)
        except ValueError as error:
            self._record_unreadable(incarnation, str(error))
            return
        self.unreadable.pop(incarnation, None)
        self._update(incarnation, per_s, sent_at)

    def next_turn(self, server: types.Server, now: float) -> float:
        """Returns the loop time from which a server may be sent a request.

        The time is minus infinity if the server names no limit.
        """
        if not self.by_incarnation:
            return -math.inf
        incarnation = crash_detection.incarnation_id(server)
        limit = self.by_incarnation.get(incarnation)
        if limit is None or limit.per_s is None:
            return -math.inf
        return turns.next_turn(
            self.position(), incarnation, limit.per_s, limit.usage, now
        )

    def is_limited(self, server: types.Server) -> bool:
        """Returns whether a server names a limit."""
        limit = self.by_incarnation.get(crash_detection.incarnation_id(server))
        return limit is not None and limit.per_s is not None

    def record_send(self, server: types.Server, now: float) -> None:
        """Records that a server is sent a request."""
        turn = self.next_turn(server, now)
        if math.isfinite(turn):
            limit = self.by_incarnation[crash_detection.incarnation_id(server)]
            limit.usage = limit.usage._replace(last=turn)

    def count_limited(self) -> int:
        """Counts the servers that name a limit."""
        return sum(
            limit.per_s is not None for limit in self.by_incarnation.values()
        )

    # Messages between daemons.

    def to_report(self) -> list[LimitFields]:
        """Returns the newest limits, for a message to a peer."""
        now = self.loop.time()
        newest = sorted(
            self.by_incarnation.items(), key=lambda item: -item[1].sent_at
        )
        return [
            LimitFields(
                start=incarnation,
                per_s=limit.per_s,
                age_ms=math.ceil((now - limit.sent_at) * 1000),
            )
            for incarnation, limit in newest[:MAX_REPORTED]
        ]

    def unreported(self, reported: Iterable[LimitFields]) -> list[LimitFields]:
        """Returns the limits that a peer does not know yet.

        Args:
            reported: Limits that the peer reported in its last reply.
        """
        if not self.by_incarnation:
            return []
        known = {fields["start"]: fields["per_s"] for fields in reported}
        return [
            fields
            for fields in self.to_report()
            if known.get(fields["start"]) != fields["per_s"]
        ]

    def merge_report(
        self, report: Iterable[LimitFields], composed_at: float
    ) -> None:
        """Merges limits that a peer reported.

        Args:
            report: The peer's limits.
            composed_at: Loop time at which the peer composed the report.
        """
        for fields in report:
            sent_at = composed_at - fields["age_ms"] / 1000
            self._update(fields["start"], fields["per_s"], sent_at, "daemon")

    # Internal state.

    def expire(self, registered: Iterable[types.Server], now: float) -> None:
        """Drops limits that no longer apply or whose server was removed."""
        for server in registered:
            self.registered_at[crash_detection.incarnation_id(server)] = now
        oldest = now - UNREGISTERED_KEPT_S
        for incarnation, limit in list(self.by_incarnation.items()):
            known_at = max(
                self.registered_at.get(incarnation, 0.0), limit.sent_at
            )
            removed = (
                limit.per_s is None
                and limit.sent_at < now - REMOVED_LIMIT_KEPT_S
            )
            if removed or known_at < oldest:
                del self.by_incarnation[incarnation]
        self.registered_at = {
            incarnation: at
            for incarnation, at in self.registered_at.items()
            if at >= oldest
        }
        self.unreadable = {
            incarnation: error
            for incarnation, error in self.unreadable.items()
            if incarnation in self.registered_at
        }

    def _update(
        self,
        incarnation: str,
        per_s: float | None,
        sent_at: float,
        through: str = "answer",
    ) -> None:
        """Sets a server's limit, unless a later one is known."""
        limit = self.by_incarnation.get(incarnation)
        if limit is not None and sent_at <= limit.sent_at:
            return
        before = limit.per_s if limit is not None else None
        if limit is None or (before is None and per_s is not None):
            # Requests sent before the limit was known use up no turns.
            self.by_incarnation[incarnation] = ServerLimit(
                per_s, sent_at, turns.TurnUsage(self.loop.time())
            )
        else:
            limit.per_s = per_s
            limit.sent_at = sent_at
        if per_s != before:
            self._log_change(incarnation, per_s, through)

    def _log_change(
        self, incarnation: str, per_s: float | None, through: str
    ) -> None:
        if per_s is None:
            events.emit(events.ServerUnlimited(incarnation, through))
        else:
            events.emit(events.ServerLimited(incarnation, per_s, through))

    def _record_unreadable(self, incarnation: str, error: str) -> None:
        """Logs a decoding error unless it is the server's last one."""
        if self.unreadable.get(incarnation) != error:
            self.unreadable[incarnation] = error
            events.emit(events.LimitUnreadable(incarnation, error))
