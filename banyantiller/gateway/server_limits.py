"""Limits that servers in need name in their answers."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import TypedDict

from banyantiller.gateway import crash_detection, events, types
from banyantiller.gateway.decisions import turns
from banyantiller.http import messages

# Most limits in one message between daemons.
MAX_REPORTED = 64
# How long it is remembered that a limit has ended: it is told to others, and an
# answer from before must not bring the limit back.
ENDED_KEPT_S = 10.0
# How long a limit of a server is remembered that is not registered: another
# daemon may know of its start earlier.
UNREGISTERED_KEPT_S = 10.0


class LimitFields(TypedDict):
    """A limit on its way between daemons.

    `start` names the start of a server, and `per_s` is None if it names no
    limit any more; `age_ms` tells how long ago the request was sent whose
    answer said so.
    """

    start: str
    per_s: float | None
    age_ms: int


@dataclasses.dataclass(slots=True)
class ServerLimit:
    """What is known of a server's limit.

    Attributes:
        per_s: Requests a second that it takes from all daemons, or None if it
            names no limit any more.
        at: Loop time at which the request was sent whose answer said so.
        usage: What this daemon has used of its turns.
    """

    per_s: float | None
    at: float
    usage: turns.TurnUsage


class ServerLimits:
    """Follows the limits of servers, and keeps this daemon's part of them.

    Attributes:
        name: Name of the header field, in lower case.
        read: Decodes the values of that field; raises `ValueError`.
        position: Returns this daemon's place in the fleet, or None while it is
            not known.
        by_incarnation: What is known, by the start of a server.
        unreadable: What is wrong with a server's field, by its start.
        seen_at: Loop time at which a start was registered last.
    """

    def __init__(
        self,
        adapter: types.Adapter,
        position: Callable[[], turns.FleetPosition | None],
    ) -> None:
        self.name = adapter.wire.limit.decode()
        self.read = adapter.read_limit
        self.position = position
        self.by_incarnation: dict[str, ServerLimit] = {}
        self.unreadable: dict[str, str] = {}
        self.seen_at: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()

    def record_response(
        self,
        server: types.Server,
        headers: messages.Headers,
        sent_at: float,
        to_request: bool = True,
    ) -> None:
        """Takes what an answer of a server says of its limit.

        Args:
            server: The server.
            headers: Fields of the answer.
            sent_at: Loop time at which what it answers was sent.
            to_request: Whether it answers a request. A server may leave its
                limit out of answers to questions for its health.
        """
        texts = [value for name, value in headers if name == self.name]
        start = crash_detection.incarnation_id(server)
        if not texts:
            if to_request and start in self.by_incarnation:
                self._take(start, None, sent_at)
            return
        try:
            per_s = self.read(texts)
        except ValueError as error:
            self._note_unreadable(start, str(error))
            return
        self.unreadable.pop(start, None)
        self._take(start, per_s, sent_at)

    def next_turn(self, server: types.Server, now: float) -> float:
        """Returns the loop time from which a server may be sent a request.

        Minus infinity if it names no limit, and infinity while this daemon's
        place in the fleet is not known.
        """
        if not self.by_incarnation:
            return -math.inf
        start = crash_detection.incarnation_id(server)
        limit = self.by_incarnation.get(start)
        if limit is None or limit.per_s is None:
            return -math.inf
        place = self.position()
        if place is None:
            return math.inf
        return turns.next_turn(place, start, limit.per_s, limit.usage, now)

    def may_send(self, server: types.Server, now: float) -> bool:
        """Tells whether a server may be sent a request now."""
        return self.next_turn(server, now) <= now

    def is_limited(self, server: types.Server) -> bool:
        """Tells whether a server names a limit."""
        limit = self.by_incarnation.get(crash_detection.incarnation_id(server))
        return limit is not None and limit.per_s is not None

    def record_send(self, server: types.Server, now: float) -> None:
        """Notes that a server gets a request."""
        turn = self.next_turn(server, now)
        if math.isfinite(turn):
            limit = self.by_incarnation[crash_detection.incarnation_id(server)]
            limit.usage = limit.usage._replace(last=turn)

    def count_limited(self) -> int:
        """Counts the servers that name a limit."""
        return sum(
            one.per_s is not None for one in self.by_incarnation.values()
        )

    # Between daemons.

    def to_report(self) -> list[LimitFields]:
        """Returns what other daemons are told."""
        now = self.loop.time()
        newest = sorted(
            self.by_incarnation.items(), key=lambda item: -item[1].at
        )
        return [
            LimitFields(
                start=start,
                per_s=limit.per_s,
                age_ms=math.ceil((now - limit.at) * 1000),
            )
            for start, limit in newest[:MAX_REPORTED]
        ]

    def unreported(self, reported: Iterable[LimitFields]) -> list[LimitFields]:
        """Returns what a daemon is to be told.

        Args:
            reported: What that daemon knew when it answered last.
        """
        if not self.by_incarnation:
            return []
        knows = {fields["start"]: fields["per_s"] for fields in reported}
        return [
            fields
            for fields in self.to_report()
            if knows.get(fields["start"]) != fields["per_s"]
        ]

    def merge_report(
        self, report: Iterable[LimitFields], composed_at: float
    ) -> None:
        """Takes what another daemon told at a loop time."""
        for fields in report:
            at = composed_at - fields["age_ms"] / 1000
            self._take(fields["start"], fields["per_s"], at, "daemon")

    # Within.

    def expire(self, registered: Iterable[types.Server], now: float) -> None:
        """Forgets limits that ended, and those of servers that are gone."""
        for server in registered:
            self.seen_at[crash_detection.incarnation_id(server)] = now
        oldest = now - UNREGISTERED_KEPT_S
        for start, limit in list(self.by_incarnation.items()):
            seen_at = max(self.seen_at.get(start, 0.0), limit.at)
            ended = limit.per_s is None and limit.at < now - ENDED_KEPT_S
            if ended or seen_at < oldest:
                del self.by_incarnation[start]
        self.seen_at = {n: at for n, at in self.seen_at.items() if at >= oldest}
        self.unreadable = {
            n: error
            for n, error in self.unreadable.items()
            if n in self.seen_at
        }

    def _take(
        self,
        start: str,
        per_s: float | None,
        at: float,
        through: str = "answer",
    ) -> None:
        """Takes a limit, unless a later one is known."""
        limit = self.by_incarnation.get(start)
        if limit is not None and at <= limit.at:
            return
        before = limit.per_s if limit is not None else None
        if limit is None or (before is None and per_s is not None):
            # What was sent before the limit was known counts for nothing.
            self.by_incarnation[start] = ServerLimit(
                per_s, at, turns.TurnUsage(self.loop.time())
            )
        else:
            limit.per_s = per_s
            limit.at = at
        if per_s != before:
            self._log(start, per_s, through)

    def _log(self, start: str, per_s: float | None, through: str) -> None:
        if per_s is None:
            events.emit(events.ServerUnlimited(start, through))
        else:
            events.emit(events.ServerLimited(start, per_s, through))

    def _note_unreadable(self, start: str, error: str) -> None:
        """Logs what is wrong with a field; once while the same is wrong."""
        if self.unreadable.get(start) != error:
            self.unreadable[start] = error
            events.emit(events.LimitUnreadable(start, error))
