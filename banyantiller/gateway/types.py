"""What the gateway is told: routes, services, servers and wire names."""

import math
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from banyantiller.store import interface


class WeightedService(NamedTuple):
    """One service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other parts.
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
        timeout_s: Longest time a caller is kept waiting, in seconds.
        objective_s: Latency objective, in seconds.
        priority: Rank; 0 is the most urgent.
        max_attempts: Most servers that one request may be sent to.
        weighted_services: Services and their shares; at least one.
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


class Service(NamedTuple):
    """A group of servers that are alike.

    Attributes:
        name: Name of the service.
        health_path: Path at which a server tells its health and load.
        max_connections: Connections that a server takes from all callers.
        cold_per_s: Requests a second that a cold server bears from all callers,
            or infinite if that is not stated.
    """

    name: str
    health_path: str
    max_connections: int
    cold_per_s: float = math.inf


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: Largest request head.
        body_bytes: Largest request body.
        head_timeout_s: Longest time for a request head, in seconds.
        idle_timeout_s: Longest idle time of a connection, in seconds.
    """

    head_bytes: int = 16384
    body_bytes: int = 67108864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Document(NamedTuple):
    """Everything that operators state, in force as a whole.

    Attributes:
        version: Rises with each accepted change.
        routes: All routes.
        services: Services by name.
        limits: Limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()


class Server(NamedTuple):
    """One start of a backend server, as it registered itself.

    Attributes:
        instance: Identity, which a server may keep when it starts again.
        service: Service that it belongs to.
        host: IP number.
        port: TCP port.
        zone: Availability zone.
        slots: Requests that it executes at once.
        leaving: Whether it asked for no new requests.
        warmup_s: How much longer it is slow after its start, in seconds.
        started_ms: When it started, in Unix milliseconds; tells the starts of
            one identity apart. 0 if it does not say.
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
    """What a server tells of its load.

    Attributes:
        running: Requests that it executes.
        waiting: Requests in its queue.
        slots: Requests that it can execute at once.
        slowness: How long work takes now; 1.0 is as usual.
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
        signature: Mark of a server on its own answer.
        expected_instance: Instance that a request is meant for.
        instance: Instance that answers.
        load: Load that a server tells.
        not_run: Present if the server did not execute the request.
        warmup_ms: Milliseconds for which a server is still cold.
        limit: Requests a second that a server in need takes from all daemons.
        caller: Says who calls, the same with each sending.
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
    caller: bytes = b"authorization"


class Adapter(NamedTuple):
    """What the gateway needs to know of its surroundings.

    Attributes:
        store: Where documents and servers are read.
        document_kind: Kind of the object that holds the document.
        document_name: Name of that object.
        server_kind: Kind of the objects that servers register.
        evacuation_kind: Kind of the objects that name evacuated zones.
        read_document: Decodes a document; raises `ValueError` with the place.
        read_server: Decodes a registration; raises `ValueError`.
        read_load: Decodes the load header; None if it can't be read.
        read_limit: Decodes the values of the limit header; raises
            `ValueError`.
        wire: Names of header fields.
    """

    store: interface.ObjectReader
    document_kind: str
    document_name: str
    server_kind: str
    evacuation_kind: str
    read_document: Callable[[dict[str, Any]], Document]
    read_server: Callable[[str, dict[str, Any]], Server]
    read_load: Callable[[bytes], Load | None]
    read_limit: Callable[[Sequence[str]], float]
    wire: WireNames
