"""Header fields on their way through: what is dropped, added and read."""

import dataclasses
from collections.abc import Iterable

import h11

DEADLINE_HEADER = b"x-request-deadline-ms"
REQUEST_ID_HEADER = b"x-request-id"
RAN_HEADER = b"request-ran"
REPLAYED_HEADER = b"idempotency-replayed"
MAX_ID_LENGTH = 128
DEADLINE_DIGITS = 9

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"transfer-encoding",
        b"upgrade",
    )
)
READ_FROM_REQUESTS = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"host",
    b"traceparent",
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
}
NOT_IN_TRAILERS = HOP_BY_HOP | {b"content-length", b"host"}
KEPT_FROM_CONNECTION = frozenset((b"content-length", b"host"))
CHUNKED = (b"Transfer-Encoding", b"chunked")
CLOSE = (b"Connection", b"close")

Field = tuple[bytes, bytes]


@dataclasses.dataclass(slots=True)
class RequestHead:
    """What the proxy reads from a request head.

    Attributes:
        fields: Fields to forward, without those that each hop sets.
        host: Value of Host.
        content_length: Declared length, or None.
        chunked: Whether the body is chunked.
        expect: Value of Expect in lower case, or empty.
        upgrade: Value of Upgrade in lower case, or empty.
        request_id: Value of X-Request-Id, or empty.
        traceparent: Value of traceparent, or empty.
        remaining_s: Remaining time that the caller states, or None.
    """

    fields: list[Field]
    host: bytes = b""
    content_length: int | None = None
    chunked: bool = False
    expect: bytes = b""
    upgrade: bytes = b""
    request_id: bytes = b""
    traceparent: bytes = b""
    remaining_s: float | None = None


def read_request(request: h11.Request) -> RequestHead:
    """Reads a request head in one pass over its fields."""
    fields: list[Field] = []
    head = RequestHead(fields)
    named: list[bytes] = []
    for field in request.headers:
        name = field[0]
        if name in READ_FROM_REQUESTS:
            _read_field(head, named, name, field[1])
        else:
            fields.append(field)
    if named:
        head.fields = _without(fields, named)
    return head


def _read_field(
    head: RequestHead, named: list[bytes], name: bytes, value: bytes
) -> None:
    match name:
        case b"host":
            head.host = value
        case b"content-length":
            head.content_length = int(value)
        case b"transfer-encoding":
            head.chunked = True
        case b"connection":
            named.extend(_tokens(value))
        case b"expect":
            head.expect = value.lower()
        case b"upgrade":
            head.upgrade = value.lower()
        case b"traceparent":
            head.traceparent = value
        case b"x-request-id":
            if len(value) <= MAX_ID_LENGTH:
                head.request_id = value
        case b"x-request-deadline-ms":
            if value.isdigit() and len(value) <= DEADLINE_DIGITS:
                head.remaining_s = int(value) / 1000


def _tokens(value: bytes) -> list[bytes]:
    tokens = (token.strip() for token in value.lower().split(b","))
    return [t for t in tokens if t and t not in (b"close", b"keep-alive")]


def _without(fields: list[Field], named: list[bytes]) -> list[Field]:
    dropped = set(named) - KEPT_FROM_CONNECTION
    return [field for field in fields if field[0] not in dropped]


def get(headers: Iterable[Field], name: bytes) -> bytes | None:
    """Returns the first value of a field, or None."""
    for found, value in headers:
        if found == name:
            return value
    return None


def get_all(headers: Iterable[Field], name: bytes) -> list[bytes]:
    """Returns every value of a field."""
    return [value for found, value in headers if found == name]


def forward_answer(
    response: h11.Response, via: Field, request_id: bytes
) -> list[Field]:
    """Returns the fields of an answer to relay to the caller.

    The length is kept as it is unless the body is chunked.
    """
    fields: list[Field] = []
    named: list[bytes] = []
    chunked = False
    for field in response.headers:
        name = field[0]
        if name in HOP_BY_HOP:
            if name == b"connection":
                named.extend(_tokens(field[1]))
            elif name == b"transfer-encoding":
                chunked = True
        elif name != REQUEST_ID_HEADER:
            fields.append(field)
    if named:
        fields = _without(fields, named)
    if chunked:
        fields = [field for field in fields if field[0] != b"content-length"]
        fields.append(CHUNKED)
    fields.append(via)
    fields.append((REQUEST_ID_HEADER, request_id))
    return fields


def forward_trailers(trailers: Iterable[Field]) -> list[Field]:
    """Returns the trailer fields that may be passed on."""
    return [field for field in trailers if field[0] not in NOT_IN_TRAILERS]
