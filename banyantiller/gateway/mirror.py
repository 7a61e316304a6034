"""Serves what this daemon reads of the store to other daemons.

Which daemons read the store follows from which ones are queried, without any
agreement: a relay queries only the relays before it in the order of their
addresses, so the first relay reads the store, and so does every daemon that
gets no response.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from banyantiller.gateway import (
    change_history,
    events,
    load_reports,
    peer_messages,
    server_limits,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import failure_reports
from banyantiller.http import messages
from banyantiller.store import interface
from banyantiller.utils import decoding

# Names the form of versions: daemons of earlier builds, whose versions have no
# generation, read through relays of their own build only.
PATH = "/mirror/v2/"
# Value of the query parameter `shares` of a daemon that shares the budget of
# this relay's group.
SHARES = "1"
# A subscriber that sent no query for so long is dropped; a relay without
# subscribers stops reading for them.
SUBSCRIBER_TIMEOUT_S = 3.0
# Maximum wait of one query.
MAX_WAIT_S = 5.0
# Header field of a list: age of the list, in milliseconds. It is no field of
# the body, as the body is encoded once for all subscribers.
AGE_FIELD = "age-ms"
# Header field of every response: identifies the relay's state of requests that
# crash servers; a subscriber fetches that state when the mark changes.
MARK_FIELD = "quarantine-mark"
# Statuses of responses without objects. A relay that lost the store says so,
# which saves its subscribers a call that times out.
NOT_READY_STATUS = 503
STORE_LOST_STATUS = 504
GONE_STATUS = 410


class Contact(NamedTuple):
    """A daemon that takes forwarded calls.

    Attributes:
        address: IP number and port of its control listener.
        zone: Its availability zone.
        unreachable: Names of the services that it doesn't reach.
        others: Address and zone of some daemons that query it, if it is a
            relay.
    """

    address: str
    zone: str
    unreachable: frozenset[str]
    others: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_query(cls, query: dict[str, str]) -> "Contact | None":
        """Returns the contact that a subscriber states, or None."""
        address = query.get("control", "")
        try:
            options.parse_endpoint(address)
        except ValueError:
            return None
        unreachable = frozenset(query.get("unreachable", "").split(","))
        pairs = [
            text.partition(" ") for text in query.get("others", "").split(",")
        ]
        others = tuple((other, zone) for other, _, zone in pairs if other)
        return cls(address, query.get("zone", ""), unreachable, others)


class Subscriber(NamedTuple):
    """A daemon that reads the store through this one.

    Attributes:
        queried_at: Loop time of its last query.
        shares: Whether it takes its share of the fleet's budgets from this
            relay's group; a daemon that is a relay itself has its own group.
        contact: Where it takes forwarded calls, or None.
    """

    queried_at: float
    shares: bool
    contact: Contact | None = None


class Freshness:
    """When the store last confirmed the cached state of each kind.

    Calls for documents, the sentinel, end every few seconds, and calls for
    other kinds much later, so a response about documents confirms the other
    kinds as well. The reverse does not hold: a daemon that receives only
    changes of servers may hold an outdated document, and a subscriber that
    relied on it would miss changes of documents for as long as that lasts.

    Attributes:
        sentinel: Kind whose calls show whether the store responds.
        confirmation_times: Loop time of the last confirmation by kind.
    """

    def __init__(self, sentinel: str) -> None:
        self.sentinel = sentinel
        self.confirmation_times: dict[str, float] = {}

    def record(self, object_kind: str, at: float) -> None:
        """Records the loop time at which the store confirmed a kind."""
        self.confirmation_times[object_kind] = max(
            self.confirmation_times.get(object_kind, at), at
        )

    def confirmed_at(self, object_kind: str) -> float:
        """Returns the loop time of the last confirmation, or 0."""
        return max(
            self.confirmation_times.get(object_kind, 0.0),
            self.confirmation_times.get(self.sentinel, 0.0),
        )


class Mirror:
    """Answers queries of subscribers from what this daemon has read.

    Attributes:
        histories: Changes by kind.
        status: Returns the HTTP status of responses: 200 while the cached state
            is up to date.
        subscribers: Last query of each subscriber, by its name.
        freshness: When the store confirmed the cached state.
        on_first_subscriber: Called at a query while there are no subscribers.
        mark: Returns the quarantine mark of responses; empty for none.
        failure_reports: Failing servers that subscribers reported.
        failing_servers: Returns the failing servers to report to subscribers.
        server_limits: Limits that servers name, or None if they are not
            tracked.
        load_reports: Loads that daemons exchange, or None.
        successors: Returns the successors of the relays.
    """

    def __init__(self, status: Callable[[], int], sentinel: str) -> None:
        self.status = status
        self.histories: dict[str, change_history.ChangeHistory] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.freshness = Freshness(sentinel)
        self.on_first_subscriber: Callable[[], None] = lambda: None
        self.mark: Callable[[], str] = lambda: ""
        self.failure_reports = failure_reports.FailureReports()
        self.failing_servers: Callable[[], list[str]] = self._reported_failing
        self.server_limits: server_limits.ServerLimits | None = None
        self.load_reports: load_reports.LoadReports | None = None
        self.successors: Callable[[], Sequence[str]] = tuple
        self.loop = asyncio.get_running_loop()

    def has_subscribers(self) -> bool:
        """Returns whether other daemons read through this one."""
        return bool(self._active_subscribers())

    def contacts(self) -> list[Contact]:
        """Returns the subscribers that take forwarded calls."""
        found = [one.contact for one in self._active_subscribers()]
        return [contact for contact in found if contact is not None]

    def zones_by_daemon(self) -> dict[str, str]:
        """Returns the availability zones of daemons, by their address.

        They are the subscribers, and some that query relays among these.
        """
        contacts = self.contacts()
        found = {}
        for contact in contacts:
            found.update(contact.others)
        return found | {one.address: one.zone for one in contacts}

    def update_contact(self, contact: Contact | None) -> None:
        """Records what a subscriber states outside of its queries."""
        for name, subscriber in self.subscribers.items():
            known = subscriber.contact
            if contact and known and known.address == contact.address:
                self.subscribers[name] = subscriber._replace(contact=contact)

    def count_sharers(self) -> int:
        """Counts the daemons that share the group's budget, with itself."""
        return (
            sum(subscriber.shares for subscriber in self._active_subscribers())
            + 1
        )

    def _active_subscribers(self) -> list[Subscriber]:
        oldest_query = self.loop.time() - SUBSCRIBER_TIMEOUT_S
        for name in [
            n
            for n, a in self.subscribers.items()
            if a.queried_at <= oldest_query
        ]:
            del self.subscribers[name]
        return list(self.subscribers.values())

    def record_list(self, object_kind: str, listed: interface.Listed) -> None:
        """Records a list of all objects of a kind."""
        history = self.histories.get(object_kind)
        if history is None:
            self.histories[object_kind] = change_history.ChangeHistory(listed)
        elif int(listed.version) >= history.version:
            history.apply_list(listed)

    def record_changes(
        self, object_kind: str, changes: interface.Changes
    ) -> None:
        """Records changes of a kind."""
        self.histories[object_kind].add_changes(changes)

    def replace(self, item: interface.StoredObject) -> None:
        """Serves other content of an object than the store holds."""
        self.histories[item.kind].replace(item)

    def wake(self) -> None:
        """Makes waiting queries check this daemon's status again."""
        for history in self.histories.values():
            history.wake()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a query of another daemon."""
        response = await self._handle_query(request)
        mark = self.mark()
        if not mark:
            return response
        headers = (*response.headers, (MARK_FIELD, mark))
        return response._replace(headers=headers)

    async def _handle_query(
        self, request: messages.Request
    ) -> messages.Response:
        if not request.path.startswith(PATH):
            return messages.Response(404)
        object_kind = request.path.removeprefix(PATH)
        if "since" not in request.query:
            return self._list_response(object_kind)
        try:
            since = int(request.query["since"])
            wait_s = int(request.query["wait_ms"]) / 1000
            name = request.query["name"]
            shares = request.query.get("shares", SHARES) == SHARES
            mark = request.query.get("mark", self.mark())
            limits_text = request.query.get("limits", "[]")
            named_limits = decoding.from_json(
                limits_text, list[server_limits.LimitFields]
            )
        except (KeyError, ValueError):
            return messages.Response(400)
        is_first = not self.has_subscribers()
        now = self.loop.time()
        contact = Contact.from_query(request.query)
        self.subscribers[name] = Subscriber(now, shares, contact)
        failing = [n for n in request.query.get("failing", "").split(",") if n]
        self.failure_reports.receive(
            name, failing[: failure_reports.MAX_NAMED], now
        )
        if self.server_limits is not None:
            self.server_limits.merge_report(named_limits, now)
        load_text = request.query.get("load", "")
        if self.load_reports is not None:
            self.load_reports.receive_query(name, load_text, now)
        if is_first:
            events.emit(events.ReadsForSubscribers(name))
            self.on_first_subscriber()
        wait_s = min(wait_s, MAX_WAIT_S)
        return await self._wait_for_changes(
            object_kind, since, wait_s, mark, name, bool(load_text)
        )

    def _list_response(self, object_kind: str) -> messages.Response:
        """Returns all objects of a kind, also while the store is down."""
        history = self.histories.get(object_kind)
        if history is None:
            return messages.Response(NOT_READY_STATUS)
        response = history.list_response()
        age = (AGE_FIELD, str(peer_messages.age_ms(self._age_s(object_kind))))
        return response._replace(headers=(*response.headers, age))

    async def _wait_for_changes(
        self,
        object_kind: str,
        since: int,
        wait_s: float,
        mark: str,
        name: str,
        reports_load: bool,
    ) -> messages.Response:
        """Responds once there are changes, a new mark, or the wait is over."""
        received_at = self.loop.time()
        deadline = received_at + wait_s
        while True:
            history = self.histories.get(object_kind)
            if history is None:
                return messages.Response(NOT_READY_STATUS)
            if self.status() != 200:
                return messages.Response(self.status())
            if not history.is_complete_since(since):
                return messages.Response(GONE_STATUS)
            changes = history.changes_after(since)
            remaining_s = deadline - self.loop.time()
            if changes or remaining_s <= 0 or self.mark() != mark:
                version = max(since, history.version)
                age_s = self._age_s(object_kind)
                fields = peer_messages.changes_reply(
                    changes, version, self.count_sharers(), age_s
                )
                held_s = self.loop.time() - received_at
                fields["held_ms"] = int(held_s * 1000)
                failing_servers = self.failing_servers()
                if failing_servers:
                    fields["doubted"] = failing_servers
                if object_kind == self.freshness.sentinel:
                    self._add_turn_fields(fields, name)
                if reports_load and self.load_reports is not None:
                    self._add_load_field(fields, name)
                return peer_messages.build_response(fields)
            try:
                async with asyncio.timeout(remaining_s):
                    await history.changed.wait()
            except TimeoutError:
                continue

    def _add_turn_fields(
        self, fields: peer_messages.ReplyFields, name: str
    ) -> None:
        """Adds the fields by which a daemon computes its turns at servers."""
        fields["rank"] = self.rank(name)
        fields["clock_ms"] = int(self.loop.time() * 1000)
        fields["successors"] = list(self.successors())
        if self.server_limits is not None and self.server_limits.by_incarnation:
            fields["limits"] = self.server_limits.to_report()

    def _add_load_field(
        self, fields: peer_messages.ReplyFields, name: str
    ) -> None:
        """Adds the known loads, for a daemon that reported its own."""
        load = self.load_reports.reply_field(name, self.loop.time())
        if load:
            fields["load"] = load

    def rank(self, name: str) -> int:
        """Returns a daemon's position among those that share the budget.

        This daemon is the last.
        """
        sharing = [
            n for n, subscriber in self.subscribers.items() if subscriber.shares
        ]
        return sum(other < name for other in sharing)

    def _reported_failing(self) -> list[str]:
        return self.failure_reports.failing_servers(self.loop.time())

    def _age_s(self, object_kind: str) -> float:
        """Returns the age of the cached state of a kind, in seconds."""
        return self.loop.time() - self.freshness.confirmed_at(object_kind)
