"""A caller's keep-alive connection to a daemon: h11 over a protocol.

No task runs for a connection, so that many calls a second leave the load
tool's event loop mostly idle and its own delay out of the latencies.
"""

import asyncio
from typing import Any, NamedTuple

import h11

from standins.demo import files

MOST_CONNECTIONS = 120


class Answer(NamedTuple):
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Broken(NamedTuple):
    """No whole answer.

    Attributes:
        reason: One sentence.
        sent: Whether a byte of the request may have reached the daemon.
    """

    reason: str
    sent: bool


class Request(NamedTuple):
    """A request with its whole body."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Connection(asyncio.Protocol):
    """Carries one exchange at a time.

    Attributes:
        pool: Gets the connection back after a whole answer.
        outcome: Result of the present exchange, or None while idle.
    """

    def __init__(self, pool: "Connections") -> None:
        self.pool = pool
        self.http = h11.Connection(h11.CLIENT)
        self.transport: Any = None
        self.outcome: asyncio.Future[Answer | Broken] | None = None
        self.head: h11.Response | None = None
        self.parts: list[bytes] = []

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses what came."""
        self.http.receive_data(data)
        self._pump()

    def eof_received(self) -> bool:
        """Parses the end; the transport then closes."""
        self.http.receive_data(b"")
        self._pump()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange, if one is running."""
        self.pool.forget(self)
        self._end(Broken(f"the connection was closed ({exc})", True))

    def send(self, request: Request) -> "asyncio.Future[Answer | Broken]":
        """Writes a request and returns its future answer."""
        fields = [("host", "load.example"), *request.headers]
        if request.body:
            fields.append(("content-length", str(len(request.body))))
        head = h11.Request(
            method=request.method, target=request.target, headers=fields
        )
        data = self.http.send(head)
        if request.body:
            data += self.http.send(h11.Data(data=request.body))
        data += self.http.send(h11.EndOfMessage())
        self.outcome = asyncio.get_running_loop().create_future()
        self.parts = []
        self.transport.write(data)
        return self.outcome

    def close(self) -> None:
        """Closes at once."""
        self.transport.abort()

    def _pump(self) -> None:
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
                if isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as error:
            self._end(Broken(f"not a whole answer: {error}", True))
            self.close()

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            self.head = event
        elif isinstance(event, h11.Data):
            self.parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            head = self.head
            answer = Answer(
                head.status_code, dict(head.headers), b"".join(self.parts)
            )
            self._release()
            self._end(answer)

    def _release(self) -> None:
        if self.http.our_state is h11.DONE and not self.http.trailing_data[0]:
            self.http.start_next_cycle()
            self.pool.idle.append(self)
        else:
            self.close()

    def _end(self, outcome: Answer | Broken) -> None:
        if self.outcome is not None and not self.outcome.done():
            self.outcome.set_result(outcome)
        self.outcome = None


class Connections:
    """Connections to one daemon.

    Attributes:
        idle: Connections without an exchange, the one used last at the end.
        open: All connections.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[Connection] = []
        self.open: set[Connection] = set()
        self.room = asyncio.Semaphore(MOST_CONNECTIONS)

    async def exchange(self, request: Request) -> Answer | Broken:
        """Sends a request and waits for its answer.

        A caller that is cancelled closes its connection.
        """
        async with self.room:
            try:
                link = await self._take()
            except OSError as error:
                return Broken(f"no connection: {error}", False)
            try:
                return await link.send(request)
            except asyncio.CancelledError:
                link.close()
                raise

    def forget(self, link: Connection) -> None:
        """Forgets a closed connection."""
        self.open.discard(link)
        if link in self.idle:
            self.idle.remove(link)

    def close(self) -> None:
        """Closes every connection."""
        for link in list(self.open):
            link.close()

    async def _take(self) -> Connection:
        while self.idle:
            link = self.idle.pop()
            if not link.transport.is_closing():
                return link
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(
            lambda: Connection(self), files.ADDRESS, self.port
        )
        self.open.add(link)
        return link
