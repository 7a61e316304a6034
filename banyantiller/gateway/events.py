"""What the gateway logs: one line for each event.

Those of single requests are in `call_events`.
"""

from typing import Annotated, Any, NamedTuple

import structlog

from banyantiller.telemetry import events
from banyantiller.telemetry.events import event

log = structlog.get_logger("banyantiller.gateway")

Id = Annotated[str, "Identity of the request, as the caller sent it."]
Fingerprint = Annotated[
    str,
    "Digest of method, host, target, caller and body: the same for a"
    " request that is sent again.",
]
Instance = Annotated[str, "Identity of the server's start."]
IncarnationId = Annotated[str, "The server's start: identity, time, address."]
LimitSource = Annotated[
    str, "`answer` of the server, or another `daemon` that told it."
]
Load = Annotated[
    list[float] | None,
    "What the server said when it was chosen: requests running, waiting,"
    " slots, and duration of work as a multiple of the usual; null if unknown.",
]


def emit(occurred: Any, **more: Any) -> None:
    """Writes the line of an event; see `telemetry.events.emit`."""
    events.emit(log, occurred, **more)


# Life of the daemon.


@event("gateway: started.")
class Started(NamedTuple):
    """The daemon listens."""

    callers: Annotated[str, "IP number and port for callers."]


@event("gateway: ending.")
class ShuttingDown(NamedTuple):
    """The daemon was told to end and finishes what is in flight."""

    connections: Annotated[int, "Open connections of callers."]


@event("gateway: calls are cut.", "warning")
class CallsCut(NamedTuple):
    """The time to end is over and calls are still in flight."""

    in_flight: Annotated[int, "Calls that are cut."]


@event("gateway: ended.")
class Stopped(NamedTuple):
    """The daemon is about to end."""

    cut: Annotated[int, "Calls that were cut."]


@event("gateway: settings reloaded.")
class SettingsReloaded(NamedTuple):
    """The settings file was read again and is in force."""


@event("gateway: settings were not reloaded.", "error")
class SettingsRefused(NamedTuple):
    """The settings file can't be used; what was in force stays."""

    error: Annotated[str, "What is wrong, with its place in the file."]


@event("gateway: readiness changed.")
class ReadinessChanged(NamedTuple):
    """The answer to the question for readiness is another one."""

    ready: Annotated[bool, "Whether callers should be sent here."]
    reason: Annotated[str, "Why not, or empty."]


# What is in force, and the store.


@event("gateway: document in force.")
class DocumentInForce(NamedTuple):
    """A newer version of the document applies to new requests."""

    version: Annotated[int, "Its version."]
    before: Annotated[int, "Version that it replaces; 0 for none."]
    routes: Annotated[int, "Number of its routes."]
    through: Annotated[
        str, "`store`, or IP number and port of the daemon that told it."
    ]
    unconfirmed_ms: Annotated[
        float,
        "How old the store's last word on documents was before, in ms.",
    ]


@event("gateway: document is unreadable.", "error")
class DocumentUnreadable(NamedTuple):
    """A document can't be read in whole; what was in force stays."""

    error: Annotated[str, "What is wrong, and where."]


@event("gateway: document was removed.", "warning")
class DocumentRemoved(NamedTuple):
    """The store has no document any more; what was in force stays."""

    name: Annotated[str, "Its name in the store."]


@event("gateway: store is lost.", "warning")
class StoreLost(NamedTuple):
    """A call to the store, or to the daemon asked in its place, failed."""

    kind: Annotated[str, "Kind of objects that was read."]
    reason: Annotated[str, "Why the call failed."]


@event("gateway: store is back.")
class StoreBack(NamedTuple):
    """The store answers again."""

    away_s: Annotated[float, "How long it gave no answer, in seconds."]


@event("gateway: history is gone.")
class HistoryLost(NamedTuple):
    """The store can't tell what changed; everything is listed anew."""

    kind: Annotated[str, "Kind of objects."]


# Availability zones.


@event("gateway: zone is evacuated.", "warning")
class ZoneEvacuated(NamedTuple):
    """An operator wants nothing sent to the servers of a zone."""

    zone: Annotated[str, "The availability zone."]
    version: Annotated[int, "Version of the entry in the store."]
    servers: Annotated[int, "Servers of the zone that are known."]


@event("gateway: zone is given back.", "warning")
class ZoneGivenBack(NamedTuple):
    """The servers of a zone get requests again."""

    zone: Annotated[str, "The availability zone."]
    version: Annotated[int, "Version of the entry in the store."]
    servers: Annotated[int, "Servers of the zone that are known."]


# Other daemons.


@event("gateway: reads the store for others.")
class ReadsForSubscribers(NamedTuple):
    """Another daemon relies on this one for the first time, or again."""

    asker: Annotated[str, "Name of the other daemon."]


@event("gateway: reads through another daemon.")
class ReadsThroughRelay(NamedTuple):
    """This daemon learns of changes from another one from now on."""

    peer: Annotated[str, "IP number and port of the other daemon."]
    sharers: Annotated[int, "Daemons that rely on it, itself included."]


@event("gateway: another daemon gives no answer.")
class PeerLost(NamedTuple):
    """Others, or the store, are asked in its place for a while."""

    peer: Annotated[str, "IP number and port of the other daemon."]
    reason: Annotated[str, "One of `silent` and `not_ready`."]


@event("gateway: another daemon told a list.")
class PeerListReceived(NamedTuple):
    """Another daemon said what it knew, in place of the store."""

    kind: Annotated[str, "Kind of objects."]
    peer: Annotated[str, "IP number and port of the other daemon."]


@event("gateway: a daemon's answer is bad.", "warning")
class PeerUnreadable(NamedTuple):
    """What another daemon sent can't be read."""

    peer: Annotated[str, "IP number and port of the other daemon."]
    error: Annotated[str, "What is wrong."]


# Servers.


@event("gateway: server joined.")
class ServerJoined(NamedTuple):
    """A server registered itself."""

    instance: Instance
    service: Annotated[str, "Its service."]
    address: Annotated[str, "Its IP number and port."]
    zone: Annotated[str, "Its availability zone."]
    leaving: Annotated[bool, "Whether it leaves already."]


@event("gateway: server leaves.")
class ServerLeaves(NamedTuple):
    """A server told that it leaves; it gets no new requests."""

    instance: Instance
    service: Annotated[str, "Its service."]
    address: Annotated[str, "Its IP number and port."]
    zone: Annotated[str, "Its availability zone."]
    leaving: Annotated[bool, "Always true."]


@event("gateway: server gone.")
class ServerRemoved(NamedTuple):
    """A server was taken out."""

    instance: Instance
    reason: Annotated[
        str,
        "`registration_removed`, `registration_lapsed` (it vanished with an"
        " outage of the store and did not come back), `address_reused`,"
        " `started_again` or `registration_unreadable`.",
    ]


@event("gateway: registration lapsed.")
class RegistrationLapsed(NamedTuple):
    """A registration vanished with an outage of the store.

    The server is kept for a moment, in which it may come back.
    """

    instance: Instance


@event("gateway: server is back.")
class ServerBack(NamedTuple):
    """A lapsed registration came back."""

    instance: Instance


@event("gateway: registration is unreadable.", "error")
class RegistrationUnreadable(NamedTuple):
    """A registration can't be read in whole; its server gets no requests."""

    instance: Instance
    error: Annotated[str, "What is wrong, and where."]


@event("gateway: server gives no answer.")
class ServerUnresponsive(NamedTuple):
    """A question for a server's load failed; it is avoided for a while."""

    instance: Instance
    error: Annotated[str, "How it failed."]


@event("gateway: server answers again.")
class ServerResponsive(NamedTuple):
    """A server that gave no answer does so again."""

    instance: Instance


@event("gateway: server is doubted.")
class ServerReportedFailing(NamedTuple):
    """A server failed several daemons; others are preferred for some seconds.

    Ends with its time, without a line.
    """

    instance: Instance


@event("gateway: server names a limit.", "warning")
class ServerLimited(NamedTuple):
    """A server takes only so many requests a second from all daemons."""

    start: IncarnationId
    per_s: Annotated[float, "Requests a second that it takes from all daemons."]
    through: LimitSource


@event("gateway: server names no limit any more.")
class ServerUnlimited(NamedTuple):
    """A server that named a limit answers without one."""

    start: IncarnationId
    through: LimitSource


@event("gateway: limit is unreadable.", "warning")
class LimitUnreadable(NamedTuple):
    """A server's limit can't be read; what was known of it stays."""

    start: IncarnationId
    error: Annotated[str, "What is wrong."]


@event("gateway: kept connection lost.", "debug")
class KeptConnectionLost(NamedTuple):
    """A kept connection had ended; a new one is tried."""

    instance: Instance
    error: Annotated[str, "How it ended."]


@event("gateway: servers tell no load.")
class ServiceWithoutLoad(NamedTuple):
    """The servers of a service are chosen by the requests sent to them."""

    service: Annotated[str, "The service."]
