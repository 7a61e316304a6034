"""Asks another daemon what it knows of the store."""

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
from banyantiller.gateway import events, mirror, peer_messages, server_limits
from banyantiller.gateway.decisions import turns
from banyantiller.http import client, messages, outcomes
from banyantiller.store import interface

# How much longer than it was asked to wait another daemon may take.
QUERY_MARGIN_S = 0.4
# A daemon that refuses for a reason that lasts is not asked again so long.
SKIP_S = 2.0
LIMITS = messages.Limits(connections=4, silence_s=3)
# A process and a revision; see `gateway.quarantine_sync`.
MARK = re.compile("[0-9a-f]{8}-[0-9]{1,18}")


class RefusalKind(enum.Enum):
    """Why another daemon told nothing.

    Attributes:
        UNRESPONSIVE: It gave no answer, or none that can be read.
        NOT_READY: It starts or ends, or what it knows is too old.
        STORE_LOST: It lives, and hears nothing of the store.
    """

    UNRESPONSIVE = "silent"
    NOT_READY = "not_ready"
    STORE_LOST = "store_lost"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefusal:
    """Another daemon told nothing."""

    kind: RefusalKind


class PeerReply(NamedTuple):
    """A whole answer of another daemon.

    Attributes:
        response: Head of the answer.
        fields: What it tells.
    """

    response: messages.Response
    fields: Any


class PeerList(NamedTuple):
    """All objects of a kind, as another daemon knows them.

    Attributes:
        listed: The objects.
        fresh_at: Loop time at which the store said so.
        address: IP number and port of the other daemon.
    """

    listed: interface.Listed
    fresh_at: float
    address: str


REFUSALS = {
    mirror.NOT_READY_STATUS: RefusalKind.NOT_READY,
    mirror.STORE_LOST_STATUS: RefusalKind.STORE_LOST,
}


class Peer:
    """Another daemon that can be asked.

    Attributes:
        client: Client of it.
        name: Name of this daemon, by which the other counts it.
        shares: Whether this daemon shares what the other one divides.
        address: IP number and port of the other daemon.
        max_age_s: Age up to which what it tells is relied on, in seconds.
        sharers: Daemons that the other one told for, itself included.
        rank: Number of this daemon among these.
        ahead_s: How far the other one's clock is ahead, in seconds.
        fresh_at: Loop time at which the store said what the other one told.
        skipped_until: Loop time until which it is not asked.
        mark: Mark of the last answer; see `gateway.quarantine_sync`.
        on_mark: Called with each answer's mark.
        failing: Returns the servers that failed this daemon lately.
        on_failing_servers: Called with the servers that the other doubts.
        server_limits: Limits that servers name, or None if nobody follows them.
        peer_limits: What the other one knew of limits when it answered last.
    """

    def __init__(
        self, endpoint: Endpoint, name: str, shares: bool, max_age_s: float
    ) -> None:
        self.name = parse.quote(name)
        self.shares = mirror.SHARES if shares else "0"
        self.address = f"{endpoint.address}:{endpoint.port}"
        self.max_age_s = max_age_s
        self.sharers = 0
        self.rank = 0
        self.ahead_s = 0.0
        self.fresh_at = 0.0
        self.client = client.HttpClient(endpoint.address, endpoint.port, LIMITS)
        self.skipped_until = 0.0
        self.mark = ""
        self.on_mark: Callable[[Peer, str], None] = lambda *_: None
        self.failing: Callable[[], list[str]] = list
        self.on_failing_servers: Callable[[list[str]], None] = lambda _: None
        self.server_limits: server_limits.ServerLimits | None = None
        self.peer_limits: list[server_limits.LimitFields] = []

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.Changes | interface.Gone | PeerRefusal:
        """Asks for the changes after a version."""
        target = (
            f"{mirror.PATH}{kind}?since={version}"
            f"&wait_ms={wait_s * 1000:.0f}&name={self.name}"
            f"&shares={self.shares}&mark={self.mark}"
        )
        named = self.failing()
        if named:
            target += f"&failing={parse.quote(','.join(named))}"
        target += self._limits_to_tell()
        asked_at = _now()
        told = await self._ask(target, wait_s, peer_messages.ReplyFields)
        if isinstance(told, interface.Gone | PeerRefusal):
            return told
        fields = told.fields
        composed_at = asked_at + fields.get("held_ms", 0) / 1000
        fresh_at = composed_at - fields["age_ms"] / 1000
        too_old = fresh_at < _now() - self.max_age_s
        # A change is one, however old the answer is.
        if too_old and not fields["events"]:
            return PeerRefusal(RefusalKind.NOT_READY)
        self.on_failing_servers(fields.get("doubted", []))
        self._note_turns(fields, composed_at)
        self.fresh_at = fresh_at
        changes = tuple(_event(kind, item) for item in fields["events"])
        return interface.Changes(changes, fields["version"], relayed=True)

    def position(self, relay_count: int) -> turns.FleetPosition:
        """Returns this daemon's place among those that share with the other.

        Args:
            relay_count: Number of daemons that others may ask.
        """
        return turns.FleetPosition(
            self.rank, self.sharers, relay_count, self.ahead_s
        )

    def _limits_to_tell(self) -> str:
        if self.server_limits is None:
            return ""
        found = self.server_limits.unreported(self.peer_limits)
        if not found:
            return ""
        return f"&limits={parse.quote(msgspec.json.encode(found))}"

    def _note_turns(
        self, fields: peer_messages.ReplyFields, composed_at: float
    ) -> None:
        """Notes who shares with this daemon, and the limits that were told.

        Answers about other kinds than documents tell the sharers only.
        """
        self.sharers = fields["sharers"]
        if "clock_ms" not in fields:
            return
        self.rank = fields.get("rank", 0)
        self.ahead_s = fields["clock_ms"] / 1000 - composed_at
        self.peer_limits = fields.get("limits", [])
        if self.server_limits is not None:
            self.server_limits.merge_report(self.peer_limits, composed_at)

    async def list(self, kind: str) -> PeerList | PeerRefusal:
        """Asks for all objects, however old what is known there may be."""
        asked_at = _now()
        told = await self._ask(
            f"{mirror.PATH}{kind}", 0, peer_messages.ListFields
        )
        if isinstance(told, interface.Gone):
            return PeerRefusal(RefusalKind.NOT_READY)
        if isinstance(told, PeerRefusal):
            return told
        age = told.response.header(mirror.AGE_FIELD)
        if not age.isdigit():
            return PeerRefusal(RefusalKind.UNRESPONSIVE)
        items = tuple(_stored(kind, item) for item in told.fields["items"])
        version = told.fields["version"]
        listed = interface.Listed(items, version, relayed=True)
        return PeerList(listed, asked_at - int(age) / 1000, self.address)

    async def _ask(
        self, target: str, wait_s: float, kind: Any
    ) -> PeerReply | interface.Gone | PeerRefusal:
        outcome = await self.client.request(
            "GET", target, wait_s + QUERY_MARGIN_S
        )
        if not isinstance(outcome, outcomes.Answered):
            return PeerRefusal(RefusalKind.UNRESPONSIVE)
        self._note_mark(outcome.response)
        status = outcome.response.status
        if status == mirror.GONE_STATUS:
            return interface.Gone()
        if status != 200:
            return PeerRefusal(REFUSALS.get(status, RefusalKind.UNRESPONSIVE))
        try:
            body = outcome.body
            if outcome.response.header("content-encoding"):
                body = zlib.decompress(body)
            fields = msgspec.json.decode(body, type=kind)
            int(fields["version"])
        except (ValueError, msgspec.DecodeError, zlib.error) as error:
            events.emit(events.PeerUnreadable(self.address, str(error)))
            return PeerRefusal(RefusalKind.UNRESPONSIVE)
        return PeerReply(outcome.response, fields)

    def _note_mark(self, response: messages.Response) -> None:
        mark = response.header(mirror.MARK_FIELD)
        self.mark = mark if MARK.fullmatch(mark) else ""
        self.on_mark(self, self.mark)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _event(
    kind: str, fields: peer_messages.EventFields
) -> interface.Changed | interface.Deleted:
    item = _stored(kind, fields)
    if fields["removed"]:
        return interface.Deleted(item)
    return interface.Changed(item)


def _stored(
    kind: str, fields: peer_messages.EventFields
) -> interface.StoredObject:
    return interface.StoredObject(
        kind, fields["name"], fields["version"], fields["value"]
    )
