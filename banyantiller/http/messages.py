"""Requests, responses and limits that client and server share."""

from collections.abc import AsyncIterator, Iterable
from typing import NamedTuple
from urllib import parse

READ_BYTES = 65536

Headers = tuple[tuple[str, str], ...]


class Request(NamedTuple):
    """One request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Header pairs with lower-case names.
        body: Complete body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query, still percent-encoded."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query parameters; the last value of a repeated name counts."""
        text = self.target.partition("?")[2]
        return dict(parse.parse_qsl(text, keep_blank_values=True))

    def header(self, name: str) -> str:
        """Returns the first value of a header, or an empty text."""
        return find_header(self.headers, name)


class Response(NamedTuple):
    """One response.

    Attributes:
        status: Status code.
        headers: Header pairs; the server adds the length.
        body: The body, or an iterator that streams it. A streamed body is
            chunked unless the headers state a length.
    """

    status: int
    headers: Headers = ()
    body: bytes | AsyncIterator[bytes] = b""

    def header(self, name: str) -> str:
        """Returns the first value of a header, or an empty text."""
        return find_header(self.headers, name)


class Limits(NamedTuple):
    """Limits of one side of a connection.

    Attributes:
        head_bytes: Maximum size of a head in bytes.
        body_bytes: Maximum size of a collected body in bytes.
        head_s: Timeout of a head in seconds.
        body_s: Timeout of a body in seconds.
        idle_s: Idle timeout of a server's connection in seconds.
        connections: Maximum number of open connections.
        proven_s: Maximum age of the last response, in seconds, at which a
            client reuses a connection.
        connect_s: Timeout of a client's new connection in seconds; 0 for
            none of its own.
        silence_s: Time in seconds without an acknowledgement by the remote
            system after which a client's connection is aborted; 0 for the
            system's default, which is hours.
    """

    head_bytes: int = 65536
    body_bytes: int = 16 << 20
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 60.0
    connections: int = 256
    proven_s: float = 1.0
    connect_s: float = 0.0
    silence_s: int = 0


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str:
    """Returns the first value of a header, or an empty text."""
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return ""


def decode_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Decodes header pairs of h11."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in pairs
    )


def encode_headers(pairs: Headers) -> list[tuple[bytes, bytes]]:
    """Encodes header pairs for h11."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in pairs
    ]
