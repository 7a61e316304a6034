"""Passes on what one daemon reads of the store to all others.

Who reads follows from who is asked, and nothing has to be agreed: a daemon
that is asked asks only those before it in the order of their addresses, so the
first of them reads the store, and whoever gets no answer does.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from banyantiller.gateway import (
    change_history,
    events,
    peer_messages,
    server_limits,
)
from banyantiller.gateway.decisions import failure_reports
from banyantiller.http import messages
from banyantiller.store import interface

PATH = "/mirror/"
# Value of the query parameter `shares` of a daemon that does.
SHARES = "1"
# A daemon that was not asked for so long stops reading for others.
SUBSCRIBER_TIMEOUT_S = 3.0
# Longest wait of one question.
MAX_WAIT_S = 5.0
# Header field of a list: how long ago the store said so, in milliseconds. The
# body is packed once for all that ask.
AGE_FIELD = "age-ms"
# Header field of every answer: stands for what this daemon knows of requests
# that end servers; whoever asks fetches it when the mark is a new one.
MARK_FIELD = "quarantine-mark"
# What is answered in place of objects. A daemon that lost the store tells so,
# which spares those that ask the same experience.
NOT_READY_STATUS = 503
STORE_LOST_STATUS = 504
GONE_STATUS = 410


class Subscriber(NamedTuple):
    """A daemon that relies on this one.

    Attributes:
        queried_at: Loop time of its last question.
        shares: Whether it takes its part of the fleet's budgets from what
            this one divides; a daemon that is asked itself divides its own.
    """

    queried_at: float
    shares: bool


class Freshness:
    """When the store last answered about each kind.

    Calls for documents, the sentinel, end every few seconds, and calls for
    other kinds much later, so that an answer about documents confirms the
    others as well. The reverse does not hold: a daemon that hears only of
    servers may hold an outdated document, and whoever takes its word would see
    no change of documents for as long as that lasts.

    Attributes:
        sentinel: Kind whose calls show whether the store answers.
        times: Loop time of the last answer by kind.
    """

    def __init__(self, sentinel: str) -> None:
        self.sentinel = sentinel
        self.times: dict[str, float] = {}

    def record(self, kind: str, at: float) -> None:
        """Notes that the store said at a loop time what is known of a kind."""
        self.times[kind] = max(self.times.get(kind, at), at)

    def confirmed_at(self, kind: str) -> float:
        """Returns the loop time of what is known of a kind; 0 if nothing is."""
        return max(
            self.times.get(kind, 0.0), self.times.get(self.sentinel, 0.0)
        )


class Mirror:
    """Answers other daemons from what this one has read.

    Attributes:
        histories: Changes by kind.
        status: Returns the HTTP status of answers: 200 while what was read
            is up to date.
        subscribers: Last question of each daemon that asks, by its name.
        freshness: When the store said what is known here.
        on_first_subscriber: Called when the first other daemon asks.
        mark: Returns the mark that answers carry; empty for none.
        failure_reports: What daemons that ask said of servers that failed them.
        failing_servers: Returns the servers that are told to be doubted.
        server_limits: Limits that servers name, or None if nobody follows them.
    """

    def __init__(self, status: Callable[[], int], sentinel: str) -> None:
        self.status = status
        self.histories: dict[str, change_history.ChangeHistory] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.freshness = Freshness(sentinel)
        self.on_first_subscriber: Callable[[], None] = lambda: None
        self.mark: Callable[[], str] = lambda: ""
        self.failure_reports = failure_reports.FailureReports()
        self.failing_servers: Callable[[], list[str]] = self._doubted
        self.server_limits: server_limits.ServerLimits | None = None
        self.loop = asyncio.get_running_loop()

    def has_subscribers(self) -> bool:
        """Tells whether other daemons rely on this one."""
        return bool(self._asked_lately())

    def count_sharers(self) -> int:
        """Counts the daemons that share with this one, and itself."""
        return sum(asker.shares for asker in self._asked_lately()) + 1

    def _asked_lately(self) -> list[Subscriber]:
        oldest = self.loop.time() - SUBSCRIBER_TIMEOUT_S
        for name in [
            n for n, a in self.subscribers.items() if a.queried_at <= oldest
        ]:
            del self.subscribers[name]
        return list(self.subscribers.values())

    def record_list(self, kind: str, found: interface.Listed) -> None:
        """Notes that a kind was read whole."""
        history = self.histories.get(kind)
        if history is None:
            self.histories[kind] = change_history.ChangeHistory(found)
        elif int(found.version) >= history.version:
            history.apply_list(found)

    def record_changes(self, kind: str, found: interface.Changes) -> None:
        """Notes changes that were read."""
        self.histories[kind].add_changes(found)

    def wake(self) -> None:
        """Lets those who wait look again whether this daemon is fit."""
        for history in self.histories.values():
            history.wake()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers another daemon's question."""
        response = await self._handle(request)
        mark = self.mark()
        if not mark:
            return response
        headers = (*response.headers, (MARK_FIELD, mark))
        return response._replace(headers=headers)

    async def _handle(self, request: messages.Request) -> messages.Response:
        kind = request.path.removeprefix(PATH)
        if "since" not in request.query:
            return self._tell_list(kind)
        try:
            since = int(request.query["since"])
            wait_s = int(request.query["wait_ms"]) / 1000
            name = request.query["name"]
            shares = request.query.get("shares", SHARES) == SHARES
            mark = request.query.get("mark", self.mark())
            told = request.query.get("limits", "[]")
            named_limits = msgspec.json.decode(
                told, type=list[server_limits.LimitFields]
            )
        except (KeyError, ValueError, msgspec.DecodeError):
            return messages.Response(400)
        first = not self.has_subscribers()
        now = self.loop.time()
        self.subscribers[name] = Subscriber(now, shares)
        named = [n for n in request.query.get("failing", "").split(",") if n]
        self.failure_reports.receive(
            name, named[: failure_reports.MAX_NAMED], now
        )
        if self.server_limits is not None:
            self.server_limits.merge_report(named_limits, now)
        if first:
            events.emit(events.ReadsForSubscribers(name))
            self.on_first_subscriber()
        wait_s = min(wait_s, MAX_WAIT_S)
        return await self._answer(kind, since, wait_s, mark, name)

    def _tell_list(self, kind: str) -> messages.Response:
        """Tells all objects of a kind, also while the store is away."""
        history = self.histories.get(kind)
        if history is None:
            return messages.Response(NOT_READY_STATUS)
        packed = history.pack_list()
        age = (AGE_FIELD, str(peer_messages.age_ms(self._age_s(kind))))
        return packed._replace(headers=(*packed.headers, age))

    async def _answer(
        self, kind: str, since: int, wait_s: float, mark: str, name: str
    ) -> messages.Response:
        """Answers once there are changes, a new mark, or the time is over."""
        received = self.loop.time()
        until = received + wait_s
        while True:
            history = self.histories.get(kind)
            if history is None:
                return messages.Response(NOT_READY_STATUS)
            if self.status() != 200:
                return messages.Response(self.status())
            if not history.is_complete_since(since):
                return messages.Response(GONE_STATUS)
            events = history.changes_after(since)
            left = until - self.loop.time()
            if events or left <= 0 or self.mark() != mark:
                version = max(since, history.version)
                age_s = self._age_s(kind)
                fields = peer_messages.reply(
                    events, version, self.count_sharers(), age_s
                )
                held_s = self.loop.time() - received
                fields["held_ms"] = int(held_s * 1000)
                doubted = self.failing_servers()
                if doubted:
                    fields["doubted"] = doubted
                if kind == self.freshness.sentinel:
                    self._add_turns(fields, name)
                return peer_messages.pack(fields)
            try:
                async with asyncio.timeout(left):
                    await history.changed.wait()
            except TimeoutError:
                continue

    def _add_turns(self, fields: peer_messages.ReplyFields, name: str) -> None:
        """Adds what a daemon needs to take its turns at servers."""
        fields["rank"] = self.rank(name)
        fields["clock_ms"] = int(self.loop.time() * 1000)
        if self.server_limits is not None and self.server_limits.by_incarnation:
            fields["limits"] = self.server_limits.to_report()

    def rank(self, name: str) -> int:
        """Returns a daemon's number among those that share with this one.

        This one is the last.
        """
        sharing = [n for n, asker in self.subscribers.items() if asker.shares]
        return sum(other < name for other in sharing)

    def _doubted(self) -> list[str]:
        return self.failure_reports.failing_servers(self.loop.time())

    def _age_s(self, kind: str) -> float:
        """Returns how long ago the store said what is known, in seconds."""
        return self.loop.time() - self.freshness.confirmed_at(kind)
