"""Queries the mirror of another daemon."""

import asyncio
import dataclasses
import enum
import re
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib import parse

import msgspec

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import (
    events,
    load_reports,
    mirror,
    peer_messages,
    server_limits,
)
from banyantiller.gateway.decisions import turns
from banyantiller.http import client, messages, outcomes
from banyantiller.store import interface
from banyantiller.utils import decoding

# Time that a relay may take beyond the requested wait.
QUERY_MARGIN_S = 0.4
# How long a relay is skipped that is unresponsive or not ready.
SKIP_S = 2.0
HTTP_LIMITS = messages.Limits(connections=4, silence_s=3)
# Identifier of a process and a revision; see `gateway.quarantine_sync`.
MARK = re.compile("[0-9a-f]{8}-[0-9]{1,18}")


class RefusalKind(enum.Enum):
    """Why a query to a peer failed.

    Attributes:
        UNRESPONSIVE: The peer gave no response, or none that can be read.
        NOT_READY: The peer starts or shuts down, or its state is too old.
        STORE_LOST: The peer is alive, and gets no response from the store.
    """

    UNRESPONSIVE = "silent"
    NOT_READY = "not_ready"
    STORE_LOST = "store_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefusal:
    """A query to a peer that failed."""

    refusal_kind: RefusalKind


class PeerReply(NamedTuple):
    """A complete response of a peer.

    Attributes:
        response: Head of the response.
        fields: Decoded body.
    """

    response: messages.Response
    fields: Any


class PeerList(NamedTuple):
    """All objects of a kind, as a peer has cached them.

    Attributes:
        listed: The objects.
        fresh_at: Loop time at which the store confirmed them.
        address: IP number and port of the peer.
    """

    listed: interface.Listed
    fresh_at: float
    address: str


REFUSALS_BY_STATUS = {
    mirror.NOT_READY_STATUS: RefusalKind.NOT_READY,
    mirror.STORE_LOST_STATUS: RefusalKind.STORE_LOST,
}


class Peer:
    """A relay that this daemon queries.

    Attributes:
        client: HTTP client of the relay.
        name: Name of this daemon, by which the relay counts it.
        shares: Whether this daemon shares the budget of the relay's group.
        address: IP number and port of the relay.
        max_age_s: Age up to which the relay's state is relied on, in seconds.
        sharers: Daemons that share the relay's group, the relay included.
        rank: Position of this daemon among these.
        ahead_s: How far the relay's clock is ahead, in seconds.
        fresh_at: Loop time at which the store confirmed the relay's last reply.
        skipped_until: Loop time until which the relay is not queried.
        mark: Mark of the last response; see `gateway.quarantine_sync`.
        on_mark: Called with the mark of each response.
        failing: Returns the servers that failed this daemon lately.
        on_failing_servers: Called with the failing servers that the relay
            reports.
        on_successors: Called with the successors of the relays that the relay
            reports.
        contact: Returns the query parameters that state where this daemon
            takes forwarded calls.
        server_limits: Limits that servers name, or None if they are not
            tracked.
        peer_limits: Limits that the relay reported last.
        load_reports: Loads that daemons exchange, or None.
    """

    def __init__(
        self, endpoint: Endpoint, name: str, shares: bool, max_age_s: float
    ) -> None:
        self.name = parse.quote(name)
        self.shares = shares
        self.address = f"{endpoint.address}:{endpoint.port}"
        self.max_age_s = max_age_s
        self.sharers = 0
        self.rank = 0
        self.ahead_s = 0.0
        self.fresh_at = 0.0
        self.client = client.HttpClient(
            endpoint.address, endpoint.port, HTTP_LIMITS
        )
        self.skipped_until = 0.0
        self.mark = ""
        self.on_mark: Callable[[Peer, str], None] = lambda *_: None
        self.failing: Callable[[], list[str]] = list
        self.on_failing_servers: Callable[[list[str]], None] = lambda _: None
        self.on_successors: Callable[[list[str]], None] = lambda _: None
        self.contact: Callable[[], str] = str
        self.server_limits: server_limits.ServerLimits | None = None
        self.peer_limits: list[server_limits.LimitFields] = []
        self.load_reports: load_reports.LoadReports | None = None

    async def changes(
        self, object_kind: str, version: str, wait_s: float
    ) -> interface.Changes | interface.Gone | PeerRefusal:
        """Queries the changes after a version."""
        target = (
            f"{mirror.PATH}{object_kind}?since={version}"
            f"&wait_ms={wait_s * 1000:.0f}&name={self.name}"
            f"&shares={mirror.SHARES if self.shares else '0'}"
            f"&mark={self.mark}"
        )
        failing = self.failing()
        if failing:
            target += f"&failing={parse.quote(','.join(failing))}"
        target += self.contact()
        target += self._limits_parameter()
        sent_at = _now()
        if self.load_reports is not None:
            target += self.load_reports.query_parameter(
                object_kind, sent_at, self.ahead_s
            )
        reply = await self._query(target, wait_s, peer_messages.ReplyFields)
        if isinstance(reply, interface.Gone | PeerRefusal):
            return reply
        fields = reply.fields
        composed_at = sent_at + fields.get("held_ms", 0) / 1000
        fresh_at = composed_at - fields["age_ms"] / 1000
        too_old = fresh_at < _now() - self.max_age_s
        # Changes are valid however old the reply is.
        if too_old and not fields["events"]:
            return PeerRefusal(RefusalKind.NOT_READY)
        self.on_failing_servers(fields.get("doubted", []))
        self._record_turn_info(fields, composed_at)
        self.fresh_at = fresh_at
        changes = tuple(
            _decode_change(object_kind, item) for item in fields["events"]
        )
        return interface.Changes(changes, fields["version"], relayed=True)

    def position(self, relay_count: int) -> turns.FleetPosition:
        """Returns this daemon's position in the relay's group.

        Args:
            relay_count: Number of relays of the fleet.
        """
        return turns.FleetPosition(
            self.rank, self.sharers, relay_count, self.ahead_s
        )

    def _limits_parameter(self) -> str:
        if self.server_limits is None:
            return ""
        limits = self.server_limits.unreported(self.peer_limits)
        if not limits:
            return ""
        return f"&limits={parse.quote(msgspec.json.encode(limits))}"

    def _record_turn_info(
        self, fields: peer_messages.ReplyFields, composed_at: float
    ) -> None:
        """Records the size of the relay's group and what the relay reported.

        Replies about other kinds than documents carry the number of sharers
        only.
        """
        self.sharers = fields["sharers"]
        if "clock_ms" not in fields:
            return
        self.rank = fields.get("rank", 0)
        self.ahead_s = fields["clock_ms"] / 1000 - composed_at
        if "successors" in fields:
            self.on_successors(fields["successors"])
        self.peer_limits = fields.get("limits", [])
        if self.server_limits is not None:
            self.server_limits.merge_report(self.peer_limits, composed_at)
        if self.load_reports is not None:
            self.load_reports.receive_reply(
                self.address, fields.get("load", ""), self.ahead_s
            )

    async def list(self, object_kind: str) -> PeerList | PeerRefusal:
        """Queries all objects of a kind, however old the relay's state is."""
        sent_at = _now()
        reply = await self._query(
            f"{mirror.PATH}{object_kind}", 0, peer_messages.ListFields
        )
        if isinstance(reply, interface.Gone):
            return PeerRefusal(RefusalKind.NOT_READY)
        if isinstance(reply, PeerRefusal):
            return reply
        age = reply.response.header(mirror.AGE_FIELD)
        if not decoding.is_number(age):
            return PeerRefusal(RefusalKind.UNRESPONSIVE)
        items = tuple(
            _decode_object(object_kind, item) for item in reply.fields["items"]
        )
        version = reply.fields["version"]
        listed = interface.Listed(items, version, relayed=True)
        return PeerList(listed, sent_at - int(age) / 1000, self.address)

    async def _query(
        self, target: str, wait_s: float, body_type: Any
    ) -> PeerReply | interface.Gone | PeerRefusal:
        outcome = await self.client.request(
            "GET", target, wait_s + QUERY_MARGIN_S
        )
        if not isinstance(outcome, outcomes.Answered):
            return PeerRefusal(RefusalKind.UNRESPONSIVE)
        self._record_mark(outcome.response)
        status = outcome.response.status
        if status == mirror.GONE_STATUS:
            return interface.Gone()
        if status != 200:
            return PeerRefusal(
                REFUSALS_BY_STATUS.get(status, RefusalKind.UNRESPONSIVE)
            )
        try:
            body = outcome.body
            if outcome.response.header("content-encoding"):
                body = zlib.decompress(body)
            fields = decoding.from_json(body, body_type)
            int(fields["version"])
        except (ValueError, zlib.error) as error:
            events.emit(events.PeerMessageUnreadable(self.address, str(error)))
            return PeerRefusal(RefusalKind.UNRESPONSIVE)
        return PeerReply(outcome.response, fields)

    def _record_mark(self, response: messages.Response) -> None:
        mark = response.header(mirror.MARK_FIELD)
        self.mark = mark if MARK.fullmatch(mark) else ""
        self.on_mark(self, self.mark)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _decode_change(
    object_kind: str, fields: peer_messages.EventFields
) -> interface.Changed | interface.Deleted:
    item = _decode_object(object_kind, fields)
    if fields["removed"]:
        return interface.Deleted(item)
    return interface.Changed(item)


def _decode_object(
    object_kind: str, fields: peer_messages.EventFields
) -> interface.StoredObject:
    return interface.StoredObject(
        object_kind, fields["name"], fields["version"], fields["value"]
    )
