"""One request at one server: what is sent, and what its answer means."""

import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.errors import ErrorKind
from banyantiller.gateway import pool, types
from banyantiller.http import connection, messages

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
# To a caller these say that the request was not run. A server that sends one
# without its mark for that may have run it, so they are not passed on.
PROMISES = frozenset({408, 429, 503})
# Answers of other requests that are read before the connection is given up.
MAX_STRAY_ANSWERS = 3
SUCCESS = range(200, 300)


class Outgoing(NamedTuple):
    """A request as it is sent to servers.

    Attributes:
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: Fields to forward, names in lower case.
        body: The whole body.
        has_body: Whether the caller sent a body, even an empty one.
        request_id: Identity of the request, or empty.
    """

    method: str
    target: str
    headers: messages.Headers
    body: bytes
    has_body: bool
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """The server's own whole answer to this request.

    Attributes:
        status: Status code.
        headers: Fields to forward, names in lower case.
        body: The whole body.
        length: Length that the answer to a HEAD request states, or None.
    """

    status: int
    headers: messages.Headers
    body: bytes
    length: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server certainly did not execute the request.

    Attributes:
        kind: Kind of the failure.
        moved: Whether another server has the address now.
    """

    kind: ErrorKind
    moved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenResponse:
    """The request was sent, and no usable answer came.

    Attributes:
        kind: Kind of the failure.
        reason: One sentence for the log.
    """

    kind: ErrorKind
    reason: str


Outcome = CompleteResponse | NotRun | BrokenResponse


async def run(
    link: pool.Link,
    outgoing: Outgoing,
    instance: str,
    remaining_s: float,
    wire: types.WireNames,
    body_bytes: int,
    on_head: Callable[[messages.Response], None],
) -> Outcome:
    """Sends a request and reads its whole answer.

    The connection is not closed or given back; after `BrokenResponse` it must
    be closed.

    Args:
        link: Connection to the server.
        outgoing: The request.
        instance: Instance that it is meant for.
        remaining_s: Time that is left for it, in seconds.
        wire: Names of header fields.
        body_bytes: Largest answer body.
        on_head: Called with the head of the answer.
    """
    request = _build(outgoing, instance, remaining_s, wire)
    try:
        link.connection.write(request)
        response, body = await _read_own(link, request, wire, body_bytes)
        on_head(response)
    except connection.BodyTooLargeError as error:
        return BrokenResponse(ErrorKind.BACKEND_MALFORMED, str(error))
    except (OSError, connection.ConnectionLostError) as error:
        return BrokenResponse(
            ErrorKind.CONNECTION_LOST, str(error) or type(error).__name__
        )
    _keep_alive(link, response)
    return classify_response(response, body, outgoing.request_id, wire)


def classify_response(
    response: messages.Response,
    body: bytes,
    request_id: str,
    wire: types.WireNames,
) -> Outcome:
    """Decides what an answer means.

    Args:
        response: Head of the answer.
        body: Its whole body.
        request_id: Identity of the request.
        wire: Names of header fields.
    """
    status = response.status
    if status in NOT_RUN_STATUSES:
        return NotRun(ErrorKind.NO_SERVER, moved=True)
    if response.header(wire.not_run.decode()):
        return NotRun(ErrorKind.BACKEND_SHED)
    if status in PROMISES:
        reason = f"status {status} without a word on whether it ran"
        return BrokenResponse(ErrorKind.BACKEND_MALFORMED, reason)
    echoed = response.header(wire.request_id.decode())
    if echoed != request_id and (echoed or status in SUCCESS):
        return BrokenResponse(
            ErrorKind.BACKEND_MALFORMED, "not this request's answer"
        )
    if status in SUCCESS and not response.header(wire.signature.decode()):
        return BrokenResponse(
            ErrorKind.BACKEND_MALFORMED, "an answer is not signed"
        )
    stated = response.header("content-length")
    length = int(stated) if stated.isdigit() and not body else None
    return CompleteResponse(status, forwarded(response.headers), body, length)


async def _read_own(
    link: pool.Link,
    request: messages.Request,
    wire: types.WireNames,
    body_bytes: int,
) -> tuple[messages.Response, bytes]:
    """Reads answers until one belongs to the request.

    A faulty server sends an answer twice; the second one is found where the
    next request's answer is due.
    """
    own = request.header(wire.request_id.decode())
    for _ in range(MAX_STRAY_ANSWERS):
        response = await link.connection.read_head()
        body = await link.connection.read_body(body_bytes)
        echoed = response.header(wire.request_id.decode())
        if not echoed or not own or echoed == own:
            return response, body
        link.connection.expect_again(request)
    raise connection.ConnectionLostError("only answers of other requests")


def _build(
    outgoing: Outgoing,
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


def _keep_alive(link: pool.Link, response: messages.Response) -> None:
    stated = pool.idle_time(response.header("keep-alive"))
    if stated is not None:
        link.idle_s = min(stated, pool.IDLE_S)


def forwarded(headers: messages.Headers) -> messages.Headers:
    """Returns the fields that don't concern one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    } - {"host"}
    dropped = NOT_FORWARDED | named
    return tuple(item for item in headers if item[0] not in dropped)
