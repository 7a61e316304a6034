"""Events of single requests in the gateway's log."""

from typing import Annotated, NamedTuple

from banyantiller.gateway import events
from banyantiller.telemetry.events import event


@event("gateway: connecting to a server failed.")
class ConnectFailed(NamedTuple):
    """No connection to a server could be opened; the request was not sent."""

    id: events.Id
    instance: events.Instance
    reason: Annotated[str, "Why connecting failed."]


@event("gateway: a try failed.")
class AttemptFailed(NamedTuple):
    """A request was sent to a server and got no usable response."""

    id: events.Id
    instance: events.Instance
    kind: Annotated[str, "Kind of the failure."]
    reason: Annotated[str, "What happened on the connection."]
    load: events.Load
    failures: Annotated[
        float, "Recent failure rate of the server, from 0 to 1."
    ]
    fingerprint: events.Fingerprint


@event("gateway: server is suspected.")
class ServerSuspected(NamedTuple):
    """A server that processes a request did not respond to a probe."""

    id: events.Id
    instance: events.Instance


@event("gateway: server crashed during a request.")
class ServerCrashed(NamedTuple):
    """A request got no response, and its server's machine refuses connections.

    The request may have caused the crash, or only have been running then.
    """

    id: events.Id
    server: Annotated[
        str, "The server's incarnation: instance name, start time and address."
    ]
    fingerprint: events.Fingerprint


@event("gateway: request is quarantined.", "warning")
class RequestQuarantined(NamedTuple):
    """Servers crashed one after the other during a request; none responded.

    All daemons reject the request as not run when it is sent again.
    """

    fingerprint: events.Fingerprint
    servers: Annotated[list[str], "Incarnations of the crashed servers."]
    left_s: Annotated[float, "How long it will be rejected, in seconds."]


@event("gateway: quarantine is lifted.", "warning")
class QuarantineLifted(NamedTuple):
    """The quarantine of a request ended before its time.

    A server responded to the request, another request explains the crashes, or
    an operator lifted the quarantine. A quarantine that expires has no line.
    """

    fingerprint: events.Fingerprint
    servers: Annotated[list[str], "Incarnations of the crashed servers."]


@event("gateway: retry budget is spent.")
class BudgetSpent(NamedTuple):
    """The retry budget allows no further attempt of a request.

    Logged once per window of the budget.
    """

    id: events.Id
    service: Annotated[str, "Service that the budget belongs to."]
    used: Annotated[int, "Retries and hedges of this daemon in the window."]
    most: Annotated[float, "Maximum number of these in the window."]
    share: Annotated[
        float, "This daemon's share of the fleet's budget, from 0 to 1."
    ]


@event("gateway: link is busy with large responses.")
class LinkBusy(NamedTuple):
    """Calls with large responses are rejected, or accepted again."""

    busy: Annotated[bool, "Whether calls are rejected."]
    bytes: Annotated[int, "Bytes of large responses that were admitted."]


@event("gateway: retries are reserved.")
class RetriesReserved(NamedTuple):
    """The servers of a service reject many requests despite free slots.

    Retries are reserved for callers that came back from now on.
    """

    service: Annotated[str, "Service that the budget belongs to."]
    rejected: Annotated[
        float, "Share of the requests that the servers reject, from 0 to 1."
    ]


@event("gateway: retries are not reserved any more.")
class RetriesUnreserved(NamedTuple):
    """The servers of a service don't reject many requests any more.

    The line is also written if it is no longer known whether they do.
    """

    service: Annotated[str, "Service that the budget belongs to."]


@event("gateway: request rejected.")
class RequestRejected(NamedTuple):
    """A request is malformed, or larger than allowed."""

    id: Annotated[str, "Identifier of the request; empty if unknown."]
    kind: Annotated[str, "What is wrong with the request."]


@event("gateway: internal error.", "error")
class InternalError(NamedTuple):
    """An internal error of the daemon; the line has a traceback."""

    id: events.Id


@event("gateway: calls not logged.")
class CallsNotLogged(NamedTuple):
    """Calls of one second without a line; this bounds the log's size."""

    good: Annotated[int, "Calls that succeeded at their first server."]
    bad: Annotated[int, "Calls that failed or needed a second server."]


@event("gateway: call ended.")
class CallEnded(NamedTuple):
    """A call is over; the line has everything that decided its outcome.

    Each failed call has a line. Of the other calls, as many have one as the
    limit on lines per second allows.
    """

    id: events.Id
    route: Annotated[str, "Route of the call; empty if there is none."]
    service: Annotated[str, "Service that handled the call."]
    organisation: Annotated[
        str, "Organisation that holds the caller's key; empty for none."
    ]
    version: Annotated[int, "Version of the document that applied."]
    known_ms: Annotated[
        float | None,
        "Time from the store's last confirmation of the newest version to the"
        " end of the call, in ms; null before the first document.",
    ]
    status: Annotated[
        int, "Status of the response; 0 if the caller had disconnected."
    ]
    error: Annotated[str | None, "Kind of the error, or null."]
    decision: Annotated[
        str,
        "How the call was treated differently for what its caller loses, while"
        " loads are shared: `waited`, `rejected_early`, `retry_reserved` or"
        " `hedged_early`; empty if it was not.",
    ]
    returned: Annotated[
        bool, "Whether the caller is known to have been rejected before."
    ]
    reason: Annotated[
        str,
        "Why the last attempt failed, or why no server could be chosen;"
        " empty if neither happened.",
    ]
    maybe_ran: Annotated[bool, "Whether a server may have run the request."]
    sends: Annotated[int, "Number of servers that the request was sent to."]
    instances: Annotated[
        list[str], "Instance names of these servers, in order."
    ]
    peers: Annotated[
        list[str],
        "Daemons that it was forwarded to, as no server responded here: IP"
        " address and port, in order.",
    ]
    forwarded_by: Annotated[
        str,
        "Name of the daemon that forwarded it here; empty for a call of a"
        " caller of this daemon.",
    ]
    among: Annotated[
        int, "Number of servers that the last one was chosen from."
    ]
    load: events.Load
    load_age_ms: Annotated[
        float, "Age of the load when the request was sent, in ms."
    ]
    sent_ms: Annotated[float, "Time until the last attempt was sent, in ms."]
    took_ms: Annotated[float, "Duration of the call, in ms."]
    usual_ms: Annotated[
        float,
        "Usual duration of the route's requests when the daemon looked for a"
        " server, in ms; it determines how long the call may wait.",
    ]
    objective_ms: Annotated[float | None, "Latency objective, in ms."]
    left_ms: Annotated[float, "Time left until the deadline at the end, in ms."]
    fingerprint: events.Fingerprint
