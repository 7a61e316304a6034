"""Header fields: which are removed, added and read when forwarding.

h11 checked each forwarded field when it was received. Fields stay in the
internal form of h11, so that sending them needs no second check.
"""

import dataclasses
import functools
from collections.abc import Iterable
from typing import Any

import h11

from banyantiller.proxy import codec
from banyantiller.utils import decoding

ValidatedHeaders = codec.ValidatedHeaders
END = h11.EndOfMessage()

# Raw name, lower-case name, value.
Field = tuple[bytes, bytes, bytes]


def field(name: bytes, value: bytes) -> Field:
    """Returns a locally generated field; name and value must be valid."""
    return (name, name.lower(), value)


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
PARSED_REQUEST_FIELDS = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"host",
    b"traceparent",
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
}
FORBIDDEN_TRAILERS = HOP_BY_HOP | {b"content-length", b"host"}
END_TO_END_FIELDS = frozenset((b"content-length", b"host"))
CHUNKED = field(b"Transfer-Encoding", b"chunked")
CLOSE = field(b"Connection", b"close")
EXPECT_CONTINUE = field(b"Expect", b"100-continue")


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Contents of a request head that the proxy uses.

    Attributes:
        fields: Fields to forward, without hop-by-hop fields.
        host: Value of Host.
        content_length: Declared length, or None.
        chunked: Whether the body is chunked.
        expect: Value of Expect in lower case, or empty.
        upgrade: Value of Upgrade in lower case, or empty.
        request_id: Value of X-Request-Id, or empty.
        traceparent: Value of traceparent, or empty.
        remaining_s: Remaining time stated by the caller in seconds, or None.
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
    connection_options: list[bytes] = []
    for item in codec.full_fields(request.headers):
        if item[1] in PARSED_REQUEST_FIELDS:
            _read_field(head, connection_options, item[1], item[2])
        else:
            fields.append(item)
    if connection_options:
        head.fields = _without(fields, connection_options)
    return head


def _read_field(
    head: RequestHead,
    connection_options: list[bytes],
    name: bytes,
    value: bytes,
) -> None:
    match name:
        case b"host":
            head.host = value
        case b"content-length":
            head.content_length = int(value)
        case b"transfer-encoding":
            head.chunked = True
        case b"connection":
            connection_options.extend(_tokens(value))
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
            if decoding.is_number(value) and len(value) <= DEADLINE_DIGITS:
                head.remaining_s = int(value) / 1000


def _tokens(value: bytes) -> list[bytes]:
    tokens = (token.strip() for token in value.lower().split(b","))
    return [t for t in tokens if t and t not in (b"close", b"keep-alive")]


def _without(
    fields: list[Field], connection_options: list[bytes]
) -> list[Field]:
    dropped = set(connection_options) - END_TO_END_FIELDS
    return [item for item in fields if item[1] not in dropped]


@functools.lru_cache
def wire_name(name: str) -> bytes:
    """Returns a field name from the settings in the form used to compare."""
    return name.lower().encode("ascii")


def get(fields: Iterable[Field], name: bytes) -> bytes | None:
    """Returns the first value of a field, or None."""
    for _, found, value in fields:
        if found == name:
            return value
    return None


def get_all(fields: Iterable[Field], name: bytes) -> list[bytes]:
    """Returns all values of a field."""
    return [value for _, found, value in fields if found == name]


def validate(pairs: list[tuple[bytes, bytes]]) -> Any:
    """Validates locally generated fields with h11."""
    return h11.EndOfMessage(headers=pairs).headers


def raw_fields(head: Any) -> list[Field]:
    """Returns the fields of a received head or trailer section."""
    return codec.full_fields(head)


def response_fields(
    received_fields: list[Field], via: Field, request_id: bytes
) -> list[Field]:
    """Returns the fields of a response to relay to the caller.

    Content-Length is kept unless the body is chunked.
    """
    fields: list[Field] = []
    connection_options: list[bytes] = []
    chunked = False
    for item in received_fields:
        name = item[1]
        if name in HOP_BY_HOP:
            if name == b"connection":
                connection_options.extend(_tokens(item[2]))
            elif name == b"transfer-encoding":
                chunked = True
        elif name != REQUEST_ID_HEADER:
            fields.append(item)
    if connection_options:
        fields = _without(fields, connection_options)
    if chunked:
        fields = [item for item in fields if item[1] != b"content-length"]
        fields.append(CHUNKED)
    fields.append(via)
    fields.append((REQUEST_ID_HEADER, REQUEST_ID_HEADER, request_id))
    return fields


def forward_end(end: h11.EndOfMessage) -> h11.EndOfMessage:
    """Returns the end event to forward, with permitted trailers only."""
    if not end.headers:
        return END
    allowed = [
        f for f in raw_fields(end.headers) if f[1] not in FORBIDDEN_TRAILERS
    ]
    return h11.EndOfMessage(headers=ValidatedHeaders(allowed))
