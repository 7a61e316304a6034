"""What the gateway logs of requests: one line for each event."""

from typing import Annotated, NamedTuple

from banyantiller.gateway import events
from banyantiller.telemetry.events import event


@event("gateway: no connection.")
class NoConnection(NamedTuple):
    """A server could not be connected to; the request was not sent."""

    id: events.Id
    instance: events.Instance
    reason: Annotated[str, "How connecting failed."]


@event("gateway: a try failed.")
class AttemptFailed(NamedTuple):
    """A request was sent to a server and got no answer that can be used."""

    id: events.Id
    instance: events.Instance
    kind: Annotated[str, "Kind of the failure."]
    reason: Annotated[str, "What happened on the connection."]
    load: events.Load
    failures: Annotated[float, "Share of failures at this server lately."]
    fingerprint: events.Fingerprint


@event("gateway: server is suspected.")
class ServerSuspected(NamedTuple):
    """A server at work on a request did not answer whether it lives."""

    id: events.Id
    instance: events.Instance


@event("gateway: server ended with a request on it.")
class ServerCrashed(NamedTuple):
    """A request got no answer, and its server's machine refuses connections.

    It may have ended the server, or only have been there.
    """

    id: events.Id
    server: Annotated[str, "The server's start: identity, time, address."]
    fingerprint: events.Fingerprint


@event("gateway: request is quarantined.", "warning")
class RequestQuarantined(NamedTuple):
    """Servers ended under a request one after the other, and none answered it.

    It is refused as not run wherever it comes again.
    """

    fingerprint: events.Fingerprint
    servers: Annotated[list[str], "Starts of the servers that ended."]
    left_s: Annotated[float, "How long it is refused, in seconds."]


@event("gateway: request is not quarantined any more.", "warning")
class QuarantineLifted(NamedTuple):
    """A server answered a request, or another one explains the servers' ends.

    Or an operator lifted it. A quarantine that ends with its time has no line.
    """

    fingerprint: events.Fingerprint
    servers: Annotated[list[str], "Starts of the servers that had ended."]


@event("gateway: retry budget is spent.")
class BudgetSpent(NamedTuple):
    """A request may not be sent to another server; told once a window."""

    id: events.Id
    service: Annotated[str, "The service whose budget it is."]
    used: Annotated[int, "Repeated sends of this daemon in the window."]
    most: Annotated[float, "How many it may make in the window."]
    share: Annotated[float, "This daemon's part of the fleet's budget."]


@event("gateway: request rejected.")
class RequestRejected(NamedTuple):
    """A request can't be read, or is larger than allowed."""

    id: Annotated[str, "Identity of the request; empty if unread."]
    kind: Annotated[str, "What is wrong with it."]


@event("gateway: a call failed.", "error")
class CallFault(NamedTuple):
    """A fault of the daemon's own, with its traceback."""

    id: events.Id


@event("gateway: calls not logged.")
class CallsNotLogged(NamedTuple):
    """Calls of one second that got no line, so that logs stay bounded."""

    good: Annotated[int, "Calls that went well."]
    bad: Annotated[int, "Calls that failed or needed a second server."]


@event("gateway: call ended.")
class CallEnded(NamedTuple):
    """A request is over; everything that decided it stands in this line.

    Each failed one has its line, and of the others as many as the bound on
    lines a second allows.
    """

    id: events.Id
    route: Annotated[str, "Its route; empty if there is none."]
    service: Annotated[str, "The service that took it."]
    version: Annotated[int, "Version of the document that it was served by."]
    known_ms: Annotated[
        float | None,
        "Time from the store's last word on which version is the newest to the"
        " end of the call, in ms; null before the first document.",
    ]
    status: Annotated[int, "Status that the caller got; 0 if it had left."]
    error: Annotated[str | None, "Kind of the failure, or null."]
    reason: Annotated[str, "Why the last try failed, or empty."]
    maybe_ran: Annotated[bool, "Whether a server may have executed it."]
    sends: Annotated[int, "Servers that it was sent to."]
    instances: Annotated[list[str], "These servers, in order."]
    among: Annotated[int, "Servers that the last one was chosen from."]
    load: events.Load
    load_age_ms: Annotated[float, "Age of that load at sending, in ms."]
    sent_ms: Annotated[float, "Time until the last sending, in ms."]
    took_ms: Annotated[float, "Time until the end, in ms."]
    usual_ms: Annotated[
        float,
        "Usual duration of its route's requests when a server was looked for,"
        " in ms; how long it waited depends on it.",
    ]
    objective_ms: Annotated[float | None, "Latency objective, in ms."]
    left_ms: Annotated[float, "Time that was left at the end, in ms."]
    fingerprint: events.Fingerprint
