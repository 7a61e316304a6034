"""Named events that the kernel delivers to parts and plug-ins.

Times are wall-clock seconds since the epoch unless a name ends in `_s`,
which marks a duration in seconds.
"""

from typing import NamedTuple

from banyantiller.errors import ErrorKind, Ran


class BundleInForce(NamedTuple):
    """This daemon now applies a bundle.

    Attributes:
        version: Version of the bundle.
        digest: Hex SHA-256 of its manifest.
        accepted_at: When the object API accepted it.
        at: When this daemon put it in force.
        source: "watch", "read", "peer" or "settings".
    """

    version: int
    digest: str
    accepted_at: float
    at: float
    source: str


class BundleRefused(NamedTuple):
    """An offered bundle was not taken.

    Attributes:
        version: Version it claimed.
        reason: One sentence.
        source: Where it came from.
        at: When.
    """

    version: int
    reason: str
    source: str
    at: float


class CallFinished(NamedTuple):
    """A call from a caller has ended.

    Attributes:
        request_id: Identifier passed on to the backend server.
        service: Service name, empty if none matched.
        idempotent: Whether the bundle states it may be repeated.
        key: Idempotency key, or empty.
        server: Backend server that answered or, if none did, was sent the
            request last; else empty.
        status: Status code sent to the caller, 0 if none was.
        error: The failure, or None for a relayed answer.
        attempts: Backend tries that wrote at least one byte.
        cut: Whether a relayed answer ended before it was whole.
        duration_s: From the first byte of the head to the last of the answer.
        bundle: Version of the bundle that the call ran under.
        shed: Of the attempts, those that the server refused as not run.
        sent_after_s: From the first byte of the head to the start of the
            try at `server`.
        told: For a failure, what the caller was told of whether the request
            was run.
    """

    request_id: str
    service: str
    idempotent: bool
    key: str
    server: str
    status: int
    error: ErrorKind | None
    attempts: int
    cut: bool
    duration_s: float
    bundle: int
    shed: int = 0
    sent_after_s: float = 0.0
    told: Ran | None = None


class ProbeCharged(NamedTuple):
    """A probe was taken out of a service's measuring budget.

    Attributes:
        service: Service name.
        at: When.
    """

    service: str
    at: float


class MemberChanged(NamedTuple):
    """The view of one peer daemon changed.

    Attributes:
        daemon: Name of the peer.
        state: "alive", "suspect", "leaving" or "dead".
        incarnation: Start time of that daemon in milliseconds.
    """

    daemon: str
    state: str
    incarnation: int


class ServerLeaving(NamedTuple):
    """A backend server must get no new requests.

    Attributes:
        service: Service name.
        server: Server name.
        reason: "drain_answer", "vm_list", "bundle" or "refused".
        at: When it was learned.
    """

    service: str
    server: str
    reason: str
    at: float


class ServerReturned(NamedTuple):
    """A backend server that was leaving gets requests again.

    Attributes:
        service: Service name.
        server: Server name.
        at: When.
    """

    service: str
    server: str
    at: float


class StoreState(NamedTuple):
    """The object API became reachable or unreachable.

    Attributes:
        reachable: Whether calls are answered.
        at: When it changed.
    """

    reachable: bool
    at: float


class PromiseBroken(NamedTuple):
    """A promise was seen to be broken.

    Attributes:
        promise: Name of the promise, from `banyantiller.evidence.promises`.
        request_id: The request concerned, or empty.
        detail: One sentence.
        at: When.
    """

    promise: str
    request_id: str
    detail: str
    at: float


class DaemonDraining(NamedTuple):
    """This daemon began its graceful shutdown.

    Attributes:
        at: When.
    """

    at: float


class RequestsSuspected(NamedTuple):
    """This daemon saw something new of requests with which servers ended.

    Attributes:
        fingerprints: The requests.
    """

    fingerprints: tuple[str, ...]
