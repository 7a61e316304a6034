"""Exchanges the loads of services over the relays' messages.

A daemon states what it observed in the query for documents, in the parameter
`load`. A relay replies, in the field `load`, with the sums over all other
daemons that query it, over itself, and over what it learned from a relay
before it. A relay queries a relay before it with the sums over its group. So
every observation reaches a daemon on one way only.

The text of a report is URL-safe Base64 of MessagePack, as the characters of
JSON would have to be escaped in a query.
"""

import base64
import binascii
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from banyantiller.gateway import events
from banyantiller.gateway.decisions import load_sums, service_load
from banyantiller.utils import decoding

# How long the load of a service is unknown before that is logged. Services
# with few requests would cause a line for each request otherwise.
UNKNOWN_LOGGED_S = 5.0


class Message(NamedTuple):
    """A report as it is sent.

    Attributes:
        clock_ms: When it was composed by the relay's clock, in milliseconds,
            or 0 if a daemon does not know that clock: a relay that was frozen
            must not take a report for new.
        loads: The observations.
    """

    clock_ms: int
    loads: list[load_sums.LoadFields]


def encode(message: Message) -> str:
    """Returns the text of a report."""
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(message)).decode()


def decode(text: str) -> Message:
    """Decodes the text of a report.

    Raises:
        ValueError: It is not a report.
    """
    try:
        data = base64.b64decode(text, altchars=b"-_", validate=True)
    except binascii.Error as error:
        raise ValueError(str(error)) from error
    return decoding.from_msgpack(data, Message)


class LoadReports:
    """Composes and merges the reports of one daemon.

    Attributes:
        loads: What is known here.
        shares_load: Whether loads are exchanged; without it, messages have
            neither the parameter nor the field.
        object_kind: Kind of the objects whose queries carry reports.
        unreadable: Daemons of which a report could not be decoded; this is
            logged once for each.
        known_at: Loop time at which the load of a service was last known, by
            service.
        unknown: Services of which the load is logged as unknown.
    """

    def __init__(
        self,
        loads: service_load.ServiceLoads,
        shares_load: Callable[[], bool],
        object_kind: str,
    ) -> None:
        self.loads = loads
        self.shares_load = shares_load
        self.object_kind = object_kind
        self.unreadable: set[str] = set()
        self.known_at: dict[str, float] = {}
        self.unknown: set[str] = set()

    def query_parameter(
        self, object_kind: str, now: float, ahead_s: float
    ) -> str:
        """Returns the query parameter of this daemon's report, or nothing.

        Args:
            object_kind: Kind of the objects that are queried.
            now: Loop time.
            ahead_s: How far the relay's clock is ahead, in seconds, or 0 if
                that is not known.
        """
        if object_kind != self.object_kind or not self.shares_load():
            return ""
        clock_ms = max(0, int((now + ahead_s) * 1000)) if ahead_s else 0
        return f"&load={encode(Message(clock_ms, self.loads.to_report(now)))}"

    def receive_query(self, source: str, text: str, now: float) -> None:
        """Merges the report of a daemon that queries this one."""
        if not text or not self.shares_load():
            return
        message = self._decode(source, text)
        composed_at = message.clock_ms / 1000 or now
        self.loads.merge(source, message.loads, min(now, composed_at), now)

    def reply_field(self, source: str, now: float) -> str:
        """Returns the field of a reply, or nothing."""
        if not self.shares_load():
            return ""
        reply = self.loads.to_reply(source, now)
        return encode(Message(int(reply.composed_at * 1000), reply.loads))

    def receive_reply(self, address: str, text: str, ahead_s: float) -> None:
        """Merges what a relay replied.

        Args:
            address: IP number and port of the relay.
            text: Its report, or empty for none.
            ahead_s: How far its clock is ahead, in seconds.
        """
        if not self.shares_load():
            return
        report = self._decode(address, text) if text else Message(0, [])
        composed_at = report.clock_ms / 1000 - ahead_s
        self.loads.merge_reply(report.loads, composed_at)

    def check(self, services: Iterable[str], now: float) -> None:
        """Drops old knowledge, and logs where it was lost or came back."""
        if not self.shares_load():
            self.loads.clear()
            self.known_at.clear()
            self.unknown.clear()
            self.unreadable.clear()
            return
        self.loads.expire(now)
        registered = set(services)
        for service in registered:
            load = self.loads.service_load(service, now)
            if load is not None:
                self._record_known(service, now)
            elif service in self.known_at:
                self._record_unknown(service, now)
        for service in self.known_at.keys() - registered:
            del self.known_at[service]
            self.unknown.discard(service)

    def _decode(self, source: str, text: str) -> Message:
        """Decodes a report; one that can't be decoded states nothing.

        The rest of the message counts, as a later build may send other reports.
        """
        try:
            return decode(text)
        except ValueError as error:
            if source not in self.unreadable:
                self.unreadable.add(source)
                events.emit(events.PeerMessageUnreadable(source, str(error)))
            return Message(0, [])

    def _record_known(self, service: str, now: float) -> None:
        if service in self.unknown:
            self.unknown.discard(service)
            unknown_s = round(now - self.known_at[service], 3)
            events.emit(events.ServiceLoadKnown(service, unknown_s))
        self.known_at[service] = now

    def _record_unknown(self, service: str, now: float) -> None:
        unknown_s = now - self.known_at[service]
        if service not in self.unknown and unknown_s >= UNKNOWN_LOGGED_S:
            self.unknown.add(service)
            events.emit(events.ServiceLoadUnknown(service))
