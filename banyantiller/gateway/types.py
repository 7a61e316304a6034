"""Types of the gateway: routes, services, servers and wire names."""

import math
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from banyantiller.store import interface


class WeightedService(NamedTuple):
    """One service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other services of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host below one path.

    Attributes:
        name: Name, for logs and metrics.
        host: Value of Host in lower case, without a port.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may be executed more than once.
        timeout_s: Maximum time that a caller waits, in seconds.
        objective_s: Latency objective, in seconds.
        priority: Priority; 0 is the most urgent.
        max_attempts: Maximum number of attempts of one request.
        weighted_services: Services and their shares; at least one.
        public: Whether callers need no key.
        large_responses: Whether the operators state that responses are large.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]
    public: bool = False
    large_responses: bool = False


class Organisation(NamedTuple):
    """An organisation whose callers identify themselves by keys.

    Attributes:
        name: Name, which servers are told.
        key_digests: Digests of its keys; see `access_keys`.
        priority: Priority of its requests, which replaces that of the route,
            or None; 0 is the most urgent.
        per_s: Requests a second that all daemons together run for it, or None
            if they are not limited.
        burst: Requests beyond that rate in any window of time.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    per_s: float | None = None
    burst: float = 0.0


class Service(NamedTuple):
    """A group of interchangeable servers.

    Attributes:
        name: Name of the service.
        health_path: Path at which a server reports its health and load.
        max_connections: Maximum connections of a server from all callers.
        cold_per_s: Requests a second that a cold server can take from all
            callers, or infinite if that is not stated.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float = math.inf


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of a caller.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_timeout_s: Maximum time for a request head, in seconds.
        idle_timeout_s: Maximum idle time of a connection, in seconds.
    """

    head_bytes: int = 16384
    body_bytes: int = 67108864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Document(NamedTuple):
    """The operators' configuration, in force as a whole.

    Attributes:
        version: Rises with each accepted change.
        routes: All routes.
        services: Services by name.
        limits: Limits for callers.
        organisations: Organisations that may call routes which are not public,
            or None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] | None = None


class DocumentProblem(NamedTuple):
    """An error or a warning about a document as it was written.

    Attributes:
        path: Path of the value, with the platform's names.
        message: One or more sentences.
        warning: Whether daemons accept the document nonetheless.
    """

    path: str
    message: str
    warning: bool = False


class DocumentFinding(NamedTuple):
    """What is probably not meant in a decoded document.

    Attributes:
        part: Field of `Document` that holds the entry.
        index: Index of the entry, or None if the part has no entries.
        field: Field of the entry.
        message: One or more sentences.
    """

    part: str
    index: int | None
    field: str
    message: str


class Server(NamedTuple):
    """One incarnation of a backend server, as it registered itself.

    Attributes:
        instance: Identity, which a server may keep when it restarts.
        service: Service that it belongs to.
        host: IP number.
        port: TCP port.
        zone: Availability zone.
        slots: Requests that it executes at once.
        leaving: Whether it drains and takes no new requests.
        warmup_s: Remaining time for which it is slow after its start, in
            seconds.
        started_ms: Start time in Unix milliseconds, which distinguishes the
            incarnations of one identity; 0 if the server does not report it.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    warmup_s: float
    started_ms: int = 0


class Load(NamedTuple):
    """The load that a server reports.

    Attributes:
        running: Requests that it executes.
        waiting: Requests in its queue.
        slots: Requests that it can execute at once.
        slowness: Current duration of work relative to the usual; 1.0 is as
            usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


class WireNames(NamedTuple):
    """Names of header fields, in lower case.

    Attributes:
        request_id: Identity of one sending of a request by its caller.
        deadline_ms: Milliseconds that the caller waits from now on.
        signature: Marks a response as written by the server itself.
        expected_instance: Instance that a request is meant for.
        instance: Instance that responds.
        load: Load that a server reports.
        not_run: Present if the server did not execute the request.
        warmup_ms: Milliseconds for which a server is still cold.
        limit: Requests a second that an overloaded server takes from all
            daemons.
        leaving: Present in each response of a server that shuts down.
        caller: Key that identifies the caller, the same with each sending.
        organisation: Name of the caller's organisation, for servers.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_instance: bytes
    instance: bytes
    load: bytes
    not_run: bytes
    warmup_ms: bytes
    limit: bytes
    leaving: bytes
    caller: bytes = b"authorization"
    organisation: bytes = b"organisation"


class Adapter(NamedTuple):
    """Access to the platform's store and formats.

    Attributes:
        store: Store from which documents and servers are read.
        document_kind: Kind of the object that holds the document.
        document_name: Name of that object.
        server_kind: Kind of the objects that servers register.
        evacuation_kind: Kind of the objects that name evacuated zones.
        read_document: Decodes a document; raises `ValueError` with the place.
        find_problems: Returns all errors of a document, and names of fields in
            it that are probably misspelt.
        field_name: Returns the platform's name of a part of a document, or of a
            field of its entries.
        read_server: Decodes a registration; raises `ValueError`.
        read_load: Decodes the load header; None if it can't be read.
        read_limit: Decodes the values of the limit header; raises `ValueError`.
        retry_after: Name of the field with the seconds for which a server that
            refuses wants no requests, in lower case.
        read_retry_after: Decodes the values of `Retry-After`, to seconds;
            raises `ValueError`.
        wire: Names of header fields.
    """

    store: interface.ObjectReader
    document_kind: str
    document_name: str
    server_kind: str
    evacuation_kind: str
    read_document: Callable[[dict[str, Any]], Document]
    find_problems: Callable[[Any], list[DocumentProblem]]
    field_name: Callable[[str, str], str]
    read_server: Callable[[str, dict[str, Any]], Server]
    read_load: Callable[[bytes], Load | None]
    read_limit: Callable[[Sequence[str]], float]
    retry_after: str
    read_retry_after: Callable[[Sequence[str]], float]
    wire: WireNames
