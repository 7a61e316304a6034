"""Requests, answers and bounds that client and server share."""

from collections.abc import AsyncIterator, Iterable
from typing import NamedTuple
from urllib import parse

READ_BYTES = 65536

Headers = tuple[tuple[str, str], ...]


class Request(NamedTuple):
    """One request with its whole body.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Pairs with lower-case names.
        body: The body.
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
        """The query; of a repeated name the last value counts."""
        text = self.target.partition("?")[2]
        return dict(parse.parse_qsl(text, keep_blank_values=True))

    def header(self, name: str) -> str:
        """Returns the first value of a header, or an empty text."""
        return find_header(self.headers, name)


class Response(NamedTuple):
    """One answer.

    Attributes:
        status: Status code.
        headers: Pairs; the length is added by the server.
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
    """Bounds of one side of a connection.

    Attributes:
        head_bytes: Largest head.
        body_bytes: Largest body that is collected.
        head_s: Longest wait for a whole head.
        body_s: Longest wait for a whole body.
        idle_s: Longest idle time of a server's connection.
        connections: Most open connections.
        proven_s: A client reuses a connection that answered within this time.
        silence_s: A client's connection ends when the other side's system
            acknowledges nothing for so many seconds; 0 for the system's
            default, which is hours.
    """

    head_bytes: int = 65536
    body_bytes: int = 16 << 20
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 60.0
    connections: int = 256
    proven_s: float = 1.0
    silence_s: int = 0


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str:
    """Returns the first value of a header, or an empty text."""
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return ""


def decode_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Turns h11's pairs of bytes into text."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in pairs
    )


def encode_headers(pairs: Headers) -> list[tuple[bytes, bytes]]:
    """Turns pairs of text into those that h11 takes."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in pairs
    ]
