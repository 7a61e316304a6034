"""Events that the kernel delivers to components and plug-ins.

Times are wall-clock seconds since the epoch. Durations have names that end in
`_s` and are in seconds.
"""

from typing import NamedTuple

from banyantiller.errors import ErrorKind, Ran


class BundleInForce(NamedTuple):
    """A bundle came into force at this daemon.

    Attributes:
        version: Version of the bundle.
        digest: Hex SHA-256 of its manifest.
        accepted_at: Time at which the object API accepted it.
        at: Time at which it came into force.
        source: Where it came from: "watch", "read", "peer" or "settings".
    """

    version: int
    digest: str
    accepted_at: float
    at: float
    source: str


class BundleRefused(NamedTuple):
    """This daemon rejected an offered bundle.

    Attributes:
        version: Version that the bundle states.
        reason: Why it was rejected, in one sentence.
        source: Where it came from.
        at: Time of the rejection.
    """

    version: int
    reason: str
    source: str
    at: float


class CallFinished(NamedTuple):
    """A call finished.

    Attributes:
        request_id: Identifier forwarded to the backend server.
        service: Service name, empty if none matched.
        idempotent: Whether the bundle declares the request idempotent.
        key: Idempotency key, or empty.
        server: Backend server that responded or, if none did, the last one to
            which the request was sent; else empty.
        status: Status code sent to the caller, 0 if none was.
        error: The failure, or None for a relayed response.
        attempts: Attempts that wrote at least one byte to a server.
        cut: Whether a relayed response was truncated.
        duration_s: Time from the first byte of the request's head to the last
            byte of the response.
        bundle: Version of the bundle under which the call ran.
        shed: Number of attempts that the server rejected as not run.
        sent_after_s: Time from the first byte of the request's head to the
            start of the attempt at `server`.
        told: For a failure, whether the request was run according to the
            response to the caller.
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
    """A probe was charged to the probe budget of a service.

    Attributes:
        service: Service name.
        at: Time of the charge.
    """

    service: str
    at: float


class MemberChanged(NamedTuple):
    """This daemon's view of a peer changed.

    Attributes:
        daemon: Name of the peer.
        state: "alive", "suspect", "leaving" or "dead".
        incarnation: Start time of the peer in milliseconds.
    """

    daemon: str
    state: str
    incarnation: int


class ServerLeaving(NamedTuple):
    """A backend server is leaving and must get no new requests.

    Attributes:
        service: Service name.
        server: Server name.
        reason: "drain_answer", "vm_list", "bundle" or "refused".
        at: Time at which this daemon learned it.
    """

    service: str
    server: str
    reason: str
    at: float


class ServerReturned(NamedTuple):
    """A backend server is not leaving any more and may get new requests.

    Attributes:
        service: Service name.
        server: Server name.
        at: Time at which this daemon learned it.
    """

    service: str
    server: str
    at: float


class StoreState(NamedTuple):
    """The object API became reachable or unreachable.

    Attributes:
        reachable: Whether the object API answers.
        at: Time of the change.
    """

    reachable: bool
    at: float


class PromiseBroken(NamedTuple):
    """A breach of a promise was observed.

    Attributes:
        promise: Name of the promise, from `banyantiller.evidence.promises`.
        request_id: Identifier of the affected request, or empty.
        detail: Description in one sentence.
        at: Time of the observation.
    """

    promise: str
    request_id: str
    detail: str
    at: float


class DaemonDraining(NamedTuple):
    """This daemon began its graceful shutdown.

    Attributes:
        at: Time at which it began.
    """

    at: float


class RequestsSuspected(NamedTuple):
    """This daemon updated its records of requests that may crash servers.

    Attributes:
        fingerprints: Fingerprints of the requests.
    """

    fingerprints: tuple[str, ...]
