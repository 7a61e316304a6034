"""Reads a request head into what the gateway needs of it."""

from typing import NamedTuple

import h11

from banyantiller.gateway import exchange, types
from banyantiller.http import messages
from banyantiller.quarantine import fingerprint

MAX_DEADLINE_DIGITS = 9


class AmbiguousLengthError(Exception):
    """A head states its body's length in two ways."""


class Request(NamedTuple):
    """One request as a caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        host: Value of Host.
        headers: Fields to forward, names in lower case.
        body: The whole body.
        has_body: Whether the head announces a body.
        request_id: Identity of this sending, or empty.
        remaining_s: Time that the caller waits, in seconds, or None.
        received: Loop time of the end of its head.
        fingerprint: Digest that tells the same request, sent again.
    """

    method: str
    target: str
    host: str
    headers: messages.Headers
    body: bytes
    has_body: bool
    request_id: str
    remaining_s: float | None
    received: float
    fingerprint: str = ""

    def outgoing(self, wire: types.WireNames) -> exchange.Outgoing:
        """Returns the request as it is sent to servers."""
        set_here = {wire.deadline_ms.decode(), wire.expected_instance.decode()}
        return exchange.Outgoing(
            self.method,
            self.target,
            tuple(item for item in self.headers if item[0] not in set_here),
            self.body,
            self.has_body,
            self.request_id,
        )


def read(event: h11.Request, wire: types.WireNames, received: float) -> Request:
    """Reads a request head.

    Raises:
        AmbiguousLengthError: It has both a length and a transfer coding.
    """
    headers = messages.decode_headers(event.headers)
    names = [name for name, _ in headers]
    chunked = "transfer-encoding" in names
    if chunked and "content-length" in names:
        raise AmbiguousLengthError
    deadline = messages.find_header(headers, wire.deadline_ms.decode())
    return Request(
        method=event.method.decode("ascii"),
        target=event.target.decode("latin-1"),
        host=messages.find_header(headers, "host"),
        headers=exchange.forwarded(headers),
        body=b"",
        has_body=chunked or "content-length" in names,
        request_id=messages.find_header(headers, wire.request_id.decode()),
        remaining_s=_remaining_s(deadline),
        received=received,
    )


def fingerprint_of(
    request: Request, wire: types.WireNames
) -> fingerprint.Fingerprint:
    """Begins the fingerprint of a request whose head was read."""
    caller = messages.find_header(request.headers, wire.caller.decode())
    return fingerprint.Fingerprint(
        request.method.encode("ascii"),
        request.host.encode("latin-1"),
        request.target.encode("latin-1"),
        caller.encode("latin-1"),
    )


def _remaining_s(text: str) -> float | None:
    if not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return None
    return int(text) / 1000
