"""Parses request heads of callers."""

from typing import NamedTuple

import h11

from banyantiller.gateway import access_keys, exchange, types
from banyantiller.http import messages
from banyantiller.quarantine import fingerprint
from banyantiller.utils import decoding

MAX_DEADLINE_DIGITS = 9


class AmbiguousLengthError(Exception):
    """A head has both a content length and a transfer coding."""


class Request(NamedTuple):
    """A request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query.
        host: Value of the Host header.
        headers: Header fields to forward, names in lower case; without the
            caller's key and its own claim of an organisation.
        body: The complete body.
        has_body: Whether the head announces a body.
        request_id: ID that the caller gave this attempt, or empty.
        remaining_s: How long the caller waits for a reply, in seconds, or None.
        received: Loop time of the end of the head, or of the whole request once
            it was read.
        fingerprint: Digest that is the same for each repetition of a request.
        key_digest: Digest of the caller's key, or empty; see `access_keys`.
    """

    method: str
    target: str
    host: str
    headers: messages.Headers
    body: bytes | bytearray
    has_body: bool
    request_id: str
    remaining_s: float | None
    received: float
    fingerprint: str = ""
    key_digest: str = ""

    def outgoing(
        self,
        wire: types.WireNames,
        organisation: types.Organisation | None = None,
    ) -> exchange.OutgoingRequest:
        """Returns the request as it is sent to servers.

        Args:
            wire: Names of header fields.
            organisation: Organisation that holds the caller's key, or None.
        """
        replaced = {wire.deadline_ms.decode(), wire.expected_instance.decode()}
        headers = [item for item in self.headers if item[0] not in replaced]
        if organisation is not None:
            headers.append((wire.organisation.decode(), organisation.name))
        return exchange.OutgoingRequest(
            self.method,
            self.target,
            tuple(headers),
            self.body,
            self.has_body,
            self.request_id,
        )


def parse(
    event: h11.Request, wire: types.WireNames, received: float
) -> Request:
    """Parses a request head.

    Raises:
        AmbiguousLengthError: It has a content length and a transfer coding.
    """
    headers = messages.decode_headers(event.headers)
    names = [name for name, _ in headers]
    chunked = "transfer-encoding" in names
    if chunked and "content-length" in names:
        raise AmbiguousLengthError
    deadline = messages.find_header(headers, wire.deadline_ms.decode())
    key_field = wire.caller.decode()
    keys = [value for name, value in headers if name == key_field]
    replaced = {key_field, wire.organisation.decode()}
    return Request(
        method=event.method.decode("ascii"),
        target=event.target.decode("latin-1"),
        host=messages.find_header(headers, "host"),
        headers=tuple(
            item
            for item in exchange.forwardable_headers(headers)
            if item[0] not in replaced
        ),
        body=b"",
        has_body=chunked or "content-length" in names,
        request_id=messages.find_header(headers, wire.request_id.decode()),
        remaining_s=_remaining_s(deadline),
        received=received,
        key_digest=access_keys.digest_of_field(keys),
    )


def start_fingerprint(request: Request) -> fingerprint.Fingerprint:
    """Returns the fingerprint of a request before its body was added."""
    return fingerprint.Fingerprint(
        request.method.encode("ascii"),
        request.host.encode("latin-1"),
        request.target.encode("latin-1"),
        request.key_digest.encode("ascii"),
    )


def _remaining_s(text: str) -> float | None:
    if not decoding.is_number(text) or len(text) > MAX_DEADLINE_DIGITS:
        return None
    return int(text) / 1000
