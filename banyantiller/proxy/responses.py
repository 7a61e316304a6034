"""Answers that the daemon gives of its own: failures and repeats."""

import math
from typing import NamedTuple

import msgspec

from banyantiller.claims.types import RecordedResponse
from banyantiller.errors import Failure, Ran
from banyantiller.proxy import headers

MIN_RETRY_AFTER_S = 1
NO_BODY_STATUSES = (204, 304)


class LocalResponse(NamedTuple):
    """A whole answer that no backend server gave just now.

    Attributes:
        status: Status code.
        fields: Pairs of header name and value, with the length.
        body: Body; left out when the request was HEAD.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes


def from_failure(
    failure: Failure, ran: Ran, daemon: str, request_id: bytes
) -> LocalResponse:
    """Builds the answer for a failure.

    Args:
        failure: What went wrong.
        ran: Whether the request was run, which may be less certain than the
            table says.
        daemon: Name of this daemon.
        request_id: Identifier of the request.
    """
    row = failure.answer
    retry = row.retry and ran == row.ran
    content = {
        "error": failure.kind,
        "ran": ran,
        "retry": retry,
        "detail": failure.detail,
        "request_id": request_id.decode("latin-1"),
    }
    body = msgspec.json.encode(content) + b"\n"
    status = f'"{daemon}"; error={row.proxy_error}; details="{failure.kind}"'
    fields = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
        (b"Proxy-Status", status.encode("ascii")),
        (headers.RAN_HEADER, ran.encode("ascii")),
        (headers.REQUEST_ID_HEADER, request_id),
    ]
    if retry and failure.retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_S, math.ceil(failure.retry_after))
        fields.append((b"Retry-After", b"%d" % seconds))
    return LocalResponse(row.status, fields, body)


def from_record(record: RecordedResponse, request_id: bytes) -> LocalResponse:
    """Builds the answer that repeats a recorded one."""
    body = record.body or b""
    fields = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in record.headers
    ]
    if record.status not in NO_BODY_STATUSES:
        fields.append((b"Content-Length", b"%d" % len(body)))
    fields.append((headers.REPLAYED_HEADER, b"true"))
    fields.append((headers.REQUEST_ID_HEADER, request_id))
    return LocalResponse(record.status, fields, body)


def to_record(
    status: int, fields: list[headers.Field], body: bytes | None
) -> RecordedResponse:
    """Returns what is kept of a relayed answer."""
    dropped = (
        b"content-length",
        b"transfer-encoding",
        b"connection",
        headers.REQUEST_ID_HEADER,
    )
    kept = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, lower, value in fields
        if lower not in dropped
    )
    return RecordedResponse(status, kept, body)
