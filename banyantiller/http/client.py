"""An HTTP client for one endpoint, with a connection pool."""

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from banyantiller.http import connection, messages, outcomes

if TYPE_CHECKING:
    import ssl

IO_ERRORS = (OSError, connection.ConnectionLostError)


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A response whose body is read in chunks.

    Attributes:
        response: Head of the response.
        link: Connection that carries it.
    """

    response: messages.Response
    link: connection.ClientConnection

    async def read(self) -> bytes:
        """Reads a chunk of the body; empty at its end.

        Raises:
            ConnectionLostError: The connection closed or sent invalid HTTP.
        """
        return await self.link.read_chunk()

    def close(self) -> None:
        """Abandons the response and closes its connection."""
        self.link.close()


class HttpClient:
    """Sends requests to one endpoint.

    Attributes:
        idle: Idle connections, the most recently used one last.
        slots: Limits concurrent requests to the number of connections.
        closing: Whether connections are closed after their request.
    """

    def __init__(
        self,
        address: str,
        port: int,
        limits: messages.Limits = messages.Limits(),  # noqa: B008
        tls: "ssl.SSLContext | None" = None,
        server_name: str = "",
    ) -> None:
        self.address = address
        self.port = port
        self.limits = limits
        self.tls = tls
        self.server_name = server_name
        self.idle: list[connection.ClientConnection] = []
        self.slots = asyncio.Semaphore(limits.connections)
        self.closing = False

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: messages.Headers = (),
        body: bytes = b"",
        fresh: bool = False,
    ) -> outcomes.Outcome:
        """Sends a request and reads the complete response.

        Args:
            method: HTTP method.
            target: Path and query.
            timeout_s: Timeout of the whole exchange, in seconds.
            headers: Headers other than `Host` and `Content-Length`.
            body: Body, or empty for none.
            fresh: Whether to open a new connection even if one is idle.
        """
        request = self._build(method, target, headers, body)
        exchange = Exchange()
        try:
            async with asyncio.timeout(timeout_s), self.slots:
                return await self._exchange(request, exchange, fresh)
        except TimeoutError:
            self._drop_idle()
            return exchange.failure_outcome(
                f"no whole answer within {timeout_s:g} s"
            )
        except IO_ERRORS as error:
            return exchange.failure_outcome(str(error) or type(error).__name__)
        except connection.BodyTooLargeError as error:
            return outcomes.Lost(str(error), exchange.reused, too_large=True)
        finally:
            exchange.drop()

    async def stream(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: messages.Headers = (),
    ) -> Stream | outcomes.NotSent | outcomes.Lost:
        """Sends a request on a new connection and reads the response head.

        Args:
            method: HTTP method.
            target: Path and query.
            timeout_s: Timeout until the response head, in seconds.
            headers: Headers other than `Host`.

        Returns:
            The response, which must be closed, or the outcome of a failure.
        """
        request = self._build(method, target, headers, b"")
        exchange = Exchange()
        try:
            async with asyncio.timeout(timeout_s):
                exchange.link = await self._open()
                exchange.sent = True
                await exchange.link.send(request)
                response = await exchange.link.read_head()
            return Stream(response, exchange.release())
        except TimeoutError:
            return exchange.failure_outcome(f"no answer within {timeout_s:g} s")
        except IO_ERRORS as error:
            return exchange.failure_outcome(str(error) or type(error).__name__)
        finally:
            exchange.drop()

    async def close(self) -> None:
        """Closes the idle connections, and others once they become idle."""
        self.begin_close()

    def begin_close(self) -> None:
        """Does what `close` does, for callers that are no coroutines."""
        self.closing = True
        self._drop_idle()

    async def _exchange(
        self, request: messages.Request, exchange: "Exchange", fresh: bool
    ) -> outcomes.Answered:
        link = None if fresh else await self._take_idle()
        exchange.reused = link is not None
        exchange.link = link or await self._open()
        exchange.sent = True
        await exchange.link.send(request)
        response = await exchange.link.read_head()
        body = await exchange.link.read_body(self.limits.body_bytes)
        if exchange.link.finish() and not self.closing:
            self.idle.append(exchange.release())
        return outcomes.Answered(response, body)

    async def _open(self) -> connection.ClientConnection:
        async with asyncio.timeout(self.limits.connect_s or None):
            link = await connection.ClientConnection.open(
                self.address,
                self.port,
                self.limits.head_bytes,
                self.tls,
                self.server_name,
            )
        if self.limits.silence_s:
            link.abort_when_unresponsive(self.limits.silence_s)
        return link

    async def _take_idle(self) -> connection.ClientConnection | None:
        """Returns a connection with a recent response; closes older ones.

        A connection may have become unresponsive since its last response,
        which cannot be detected locally.
        """
        oldest = asyncio.get_running_loop().time() - self.limits.proven_s
        while self.idle:
            link = self.idle.pop()
            if (link.last_response_at or 0.0) >= oldest and await link.resume():
                return link
            link.close()
        return None

    def _drop_idle(self) -> None:
        while self.idle:
            self.idle.pop().close()

    def _build(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: bytes,
    ) -> messages.Request:
        host = f"[{self.address}]" if ":" in self.address else self.address
        default_headers = [("host", f"{host}:{self.port}")]
        if body or method in ("POST", "PUT", "PATCH"):
            default_headers.append(("content-length", str(len(body))))
        return messages.Request(
            method, target, (*default_headers, *headers), body
        )


@dataclasses.dataclass(slots=True)
class Exchange:
    """Progress of one request.

    Attributes:
        link: Connection of the request, or None.
        sent: Whether a byte may have been written.
        reused: Whether the connection served another request before.
    """

    link: connection.ClientConnection | None = None
    sent: bool = False
    reused: bool = False

    def failure_outcome(self, reason: str) -> outcomes.NotSent | outcomes.Lost:
        """Returns the outcome of a failure at the current progress."""
        if self.sent:
            return outcomes.Lost(reason, self.reused)
        return outcomes.NotSent(reason)

    def release(self) -> connection.ClientConnection:
        """Returns the connection, which `drop` then does not close."""
        assert self.link is not None
        link = self.link
        self.link = None
        return link

    def drop(self) -> None:
        """Closes the connection unless it was released."""
        if self.link is not None:
            self.link.close()
            self.link = None
