"""Stand-in of a server in trouble that sends bytes without end.

It answers each request with the begin of a message and then with one part of
it over and over, until the caller closes the connection.
"""

import asyncio
from typing import NamedTuple

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
# Begin of an answer with the mark by which a gateway knows it for its own.
SIGNED = OK + b"upstream-signature: s\r\nattempt-id: %(id)s\r\n"
HEALTHY = OK + b"upstream-load: 0,0,2,100\r\ncontent-length: 0\r\n\r\n"
PART_BYTES = 16384
# Time of one part, in seconds: 16 MB a second.
PART_S = 0.001


class Pattern(NamedTuple):
    """Bytes without end.

    Attributes:
        begin: Sent once, with the mark and the identity of the request.
        part: Sent over and over.
    """

    begin: bytes
    part: bytes

    def answering(self, identity: bytes) -> "Pattern":
        """Returns the pattern as the answer to a request with an identity."""
        signed = SIGNED.replace(b"%(id)s", identity)
        return self._replace(begin=self.begin.replace(OK, signed))


def repeated(part: bytes) -> bytes:
    """Returns a part over and over, of about `PART_BYTES`."""
    return part * max(1, PART_BYTES // len(part))


async def send(writer: asyncio.StreamWriter, part: bytes, for_s: float) -> int:
    """Sends a part over and over; returns the bytes that left."""
    data = repeated(part)
    sent = 0
    try:
        async with asyncio.timeout(for_s):
            while not writer.is_closing():
                writer.write(data)
                await writer.drain()
                sent += len(data)
                await asyncio.sleep(PART_S)
    except (OSError, TimeoutError):
        pass
    return sent


# Bytes that are no answer, by what they look like.
NO_ANSWER = {
    "head line": Pattern(OK + b"x: ", repeated(b"a")),
    "head fields": Pattern(OK, repeated(b"x: y\r\n")),
    "binary": Pattern(b"", repeated(b"\x00\xff")),
    "text": Pattern(b"", repeated(b"abc def ")),
    "informational": Pattern(b"", repeated(b"HTTP/1.1 103 E\r\n\r\n")),
    "tiny chunks": Pattern(CHUNKED, repeated(b"1\r\nx\r\n")),
    "chunk extension": Pattern(CHUNKED + b"1;", repeated(b"e")),
    "chunk extensions": Pattern(
        CHUNKED, repeated(b"1;" + b"e" * 8000 + b"\r\nx\r\n")
    ),
    "trailers": Pattern(CHUNKED + b"0\r\n", repeated(b"x: y\r\n")),
    "body without length": Pattern(OK + b"\r\n", repeated(b"z")),
    "large chunks": Pattern(
        CHUNKED, b"%x\r\n" % PART_BYTES + repeated(b"z") + b"\r\n"
    ),
}


# The same from a caller.
CHUNKED_POST = (
    b"POST /file/x HTTP/1.1\r\nhost: desk.example\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
NO_REQUEST = {
    "head line": Pattern(b"GET / HTTP/1.1\r\nx: ", repeated(b"a")),
    "head fields": Pattern(b"GET / HTTP/1.1\r\n", repeated(b"x: y\r\n")),
    "tiny chunks": Pattern(CHUNKED_POST, repeated(b"1\r\nx\r\n")),
    "chunk extension": Pattern(CHUNKED_POST + b"1;", repeated(b"e")),
    "chunk extensions": Pattern(
        CHUNKED_POST, repeated(b"1;" + b"e" * 8000 + b"\r\nx\r\n")
    ),
    "trailers": Pattern(CHUNKED_POST + b"0\r\n", repeated(b"x: y\r\n")),
}


class EndlessServer:
    """Answers with a pattern until the connection is closed.

    Attributes:
        pattern: The pattern of all answers.
        port: Port on which it listens.
        healthy: Whether it answers probes as a server without load does.
        slots: Requests that it registers to work on at once.
        requests: Heads of the requests that it read.
        sent: Bytes sent on all connections.
        open: Bytes sent on each connection that is still open.
    """

    def __init__(self, pattern: Pattern, healthy: bool = False) -> None:
        self.pattern = pattern
        self.healthy = healthy
        self.port = 0
        self.slots = 2
        self.requests: list[bytes] = []
        self.sent = 0
        self.open: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None

    async def start(self, address: str) -> int:
        """Listens and returns the port."""
        self.server = await asyncio.start_server(self._serve, address, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Stops listening; open connections go on."""
        if self.server is not None:
            self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open[writer] = 0
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            while self.healthy and b" /health " in head:
                writer.write(HEALTHY)
                head = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(head)
            pattern = self._pattern_for(head)
            writer.write(pattern.begin)
            while not writer.is_closing():
                writer.write(pattern.part)
                await writer.drain()
                self.sent += len(pattern.part)
                self.open[writer] += len(pattern.part)
                await asyncio.sleep(PART_S)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.open[writer]
            writer.transport.abort()

    def _pattern_for(self, head: bytes) -> Pattern:
        """Returns the pattern of the answer to a request."""
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"attempt-id:"):
                return self.pattern.answering(line.partition(b":")[2].strip())
        return self.pattern
