"""Sends one request to one server and classifies the response."""

import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.errors import ErrorKind
from banyantiller.gateway import pool, types
from banyantiller.http import body_memory, connection, messages
from banyantiller.utils import decoding

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect"}
NOT_RUN_STATUSES = (421,)
# Callers take these statuses to mean that the request was not executed. A
# server that sends one without the header for that may have executed it, so
# the status is not forwarded.
IMPLIED_NOT_RUN_STATUSES = frozenset({408, 429, 503})
# Responses of other requests that are skipped before the attempt fails.
MAX_STRAY_RESPONSES = 3
ONLY_STRAY_RESPONSES = "received only responses of other requests"
SUCCESS_STATUSES = range(200, 300)


class OutgoingRequest(NamedTuple):
    """A request as it is sent to servers.

    Attributes:
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: Header fields to forward, names in lower case.
        body: The complete body.
        has_body: Whether the caller sent a body, even an empty one.
        request_id: ID of the request, or empty.
    """

    method: str
    target: str
    headers: messages.Headers
    body: bytes
    has_body: bool
    request_id: str


class ResponseMemory(NamedTuple):
    """Memory for response bodies.

    Attributes:
        max_body_bytes: Maximum size of one body.
        shared: Memory of all bodies that are being read.
    """

    max_body_bytes: int
    shared: body_memory.BodyMemory


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A complete response of the server to this request.

    Attributes:
        status: Status code.
        headers: Header fields to forward, names in lower case.
        body: The complete body.
        length: Content length of a response without a body, as to a HEAD
            request, or None.
    """

    status: int
    headers: messages.Headers
    body: bytes
    length: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server did definitely not execute the request.

    Attributes:
        kind: Kind of the failure.
        moved: Whether the address now belongs to another server.
    """

    kind: ErrorKind
    moved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenResponse:
    """The request was sent, but no valid response was received.

    Attributes:
        kind: Kind of the failure.
        reason: One sentence for the log.
    """

    kind: ErrorKind
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedByPeer:
    """A daemon refused a forwarded request, and no server executed it.

    Attributes:
        kind: Kind of the failure.
        reason: Why no server could be chosen there, or empty.
        retry_after_s: Time after which a retry is useful, in seconds, or None.
    """

    kind: ErrorKind
    reason: str = ""
    retry_after_s: float | None = None


Outcome = CompleteResponse | NotRun | BrokenResponse | RefusedByPeer


async def run(
    link: pool.Link,
    outgoing: OutgoingRequest,
    instance: str,
    remaining_s: float,
    wire: types.WireNames,
    memory: ResponseMemory,
    on_head: Callable[[messages.Response], None],
) -> Outcome:
    """Sends a request and reads its complete response.

    The connection is neither closed nor released; the caller must close it
    after `BrokenResponse`.

    Args:
        link: Connection to the server.
        outgoing: The request.
        instance: Instance that the request is addressed to.
        remaining_s: Time until the deadline, in seconds.
        wire: Names of header fields.
        memory: Memory for response bodies.
        on_head: Called with the head of the response, also if its body is
            broken.
    """
    request = _build_request(outgoing, instance, remaining_s, wire)
    try:
        link.connection.write(request)
        response, body = await _read_matching_response(
            link, request, wire, memory, on_head
        )
    except connection.BodyTooLargeError as error:
        return BrokenResponse(ErrorKind.BACKEND_MALFORMED, str(error))
    except (OSError, connection.ConnectionLostError) as error:
        return BrokenResponse(
            ErrorKind.CONNECTION_LOST, str(error) or type(error).__name__
        )
    _apply_keep_alive(link, response)
    return classify_response(response, body, outgoing.request_id, wire)


def classify_response(
    response: messages.Response,
    body: bytes,
    request_id: str,
    wire: types.WireNames,
) -> Outcome:
    """Returns the outcome that a response stands for.

    Args:
        response: Head of the response.
        body: Its complete body.
        request_id: ID of the request.
        wire: Names of header fields.
    """
    status = response.status
    if status in NOT_RUN_STATUSES:
        return NotRun(ErrorKind.NO_SERVER, moved=True)
    if response.header(wire.not_run.decode()):
        return NotRun(ErrorKind.BACKEND_SHED)
    if status in IMPLIED_NOT_RUN_STATUSES:
        reason = (
            f"status {status} does not say whether the request was executed"
        )
        return BrokenResponse(ErrorKind.BACKEND_MALFORMED, reason)
    echoed = response.header(wire.request_id.decode())
    if echoed != request_id and (echoed or status in SUCCESS_STATUSES):
        return BrokenResponse(
            ErrorKind.BACKEND_MALFORMED, "response belongs to another request"
        )
    if status in SUCCESS_STATUSES and not response.header(
        wire.signature.decode()
    ):
        return BrokenResponse(
            ErrorKind.BACKEND_MALFORMED, "response is not signed"
        )
    stated = response.header("content-length")
    length = int(stated) if decoding.is_number(stated) and not body else None
    return CompleteResponse(
        status, forwardable_headers(response.headers), body, length
    )


async def _read_matching_response(
    link: pool.Link,
    request: messages.Request,
    wire: types.WireNames,
    memory: ResponseMemory,
    on_head: Callable[[messages.Response], None],
) -> tuple[messages.Response, bytes]:
    """Reads responses until one belongs to the request.

    A faulty server may send a response twice; the duplicate then arrives in
    place of the response to the next request on the connection.
    """
    expected_id = request.header(wire.request_id.decode())
    for _ in range(MAX_STRAY_RESPONSES):
        response = await link.connection.read_head()
        echoed = response.header(wire.request_id.decode())
        matches = not echoed or not expected_id or echoed == expected_id
        if matches:
            on_head(response)
            link.ambiguous |= _is_anonymous_rejection(response, wire)
        body = await link.connection.read_body(
            memory.max_body_bytes, memory.shared
        )
        if matches:
            return response, body
        link.connection.expect_again(request)
    raise connection.ConnectionLostError(ONLY_STRAY_RESPONSES)


async def read_probe_response(
    link: pool.Link,
    request: messages.Request,
    wire: types.WireNames,
    max_bytes: int,
) -> messages.Response:
    """Reads responses until one does not repeat that to another request.

    Args:
        link: Connection on which the probe was sent.
        request: The probe, which has no request ID.
        wire: Names of header fields.
        max_bytes: Maximum size of a body, in bytes.

    Returns:
        The head of the response.
    """
    for _ in range(MAX_STRAY_RESPONSES):
        response = await link.connection.read_head()
        await link.connection.read_body(max_bytes)
        if not response.header(wire.request_id.decode()):
            link.ambiguous |= _is_anonymous_rejection(response, wire)
            return response
        link.connection.expect_again(request)
    raise connection.ConnectionLostError(ONLY_STRAY_RESPONSES)


def _is_anonymous_rejection(
    response: messages.Response, wire: types.WireNames
) -> bool:
    """Returns whether a response rejects a request that it doesn't identify."""
    rejects = response.status in NOT_RUN_STATUSES or bool(
        response.header(wire.not_run.decode())
    )
    return rejects and not response.header(wire.request_id.decode())


def _build_request(
    outgoing: OutgoingRequest,
    instance: str,
    remaining_s: float,
    wire: types.WireNames,
) -> messages.Request:
    headers = [
        *outgoing.headers,
        (wire.deadline_ms.decode(), str(max(1, int(remaining_s * 1000)))),
        (wire.expected_instance.decode(), instance),
    ]
    if outgoing.has_body:
        headers.append(("content-length", str(len(outgoing.body))))
    return messages.Request(
        outgoing.method, outgoing.target, tuple(headers), outgoing.body
    )


def _apply_keep_alive(link: pool.Link, response: messages.Response) -> None:
    stated = pool.keep_alive_idle_s(response.header("keep-alive"))
    if stated is not None:
        link.idle_s = min(stated, pool.IDLE_S)


def forwardable_headers(headers: messages.Headers) -> messages.Headers:
    """Returns the header fields that are not hop-by-hop."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    } - {"host"}
    dropped = NOT_FORWARDED | named
    return tuple(item for item in headers if item[0] not in dropped)
