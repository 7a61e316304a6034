"""An HTTP server that runs one handler coroutine per request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

import structlog

from banyantiller.http import messages
from banyantiller.http import server_connection as connections

if TYPE_CHECKING:
    import ssl

log = structlog.get_logger("banyantiller.http")

Handler = Callable[[messages.Request], Awaitable[messages.Response]]


class Bound(NamedTuple):
    """Address and port on which a server listens."""

    address: str
    port: int


class HttpServer:
    """Listens and answers each request through a handler.

    Attributes:
        handler: Called for each request; cancelled when the caller disconnects.
        limits: Limits of each connection.
        connections: Open connections and the tasks that serve them.
        draining: Whether connections close after the next response.
        closing: Whether the server has stopped reading requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: messages.Limits = messages.Limits(),  # noqa: B008
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: dict[
            connections.ServerConnection, asyncio.Task[None]
        ] = {}
        self.draining = False
        self.closing = False
        self.listener: asyncio.Server | None = None

    async def start(
        self, address: str, port: int, tls: "ssl.SSLContext | None" = None
    ) -> Bound:
        """Starts listening; port 0 lets the system choose a port.

        Raises:
            OSError: The address cannot be used.
        """
        self.listener = await asyncio.start_server(
            self._accept, address, port, ssl=tls
        )
        name = self.listener.sockets[0].getsockname()
        return Bound(name[0], name[1])

    def drain(self) -> None:
        """Keeps listening; each connection closes after its next response."""
        self.draining = True
        for link in self.connections:
            link.stopping = True

    async def close(self, grace_s: float = 0.0) -> None:
        """Stops listening and waits for requests in flight.

        Args:
            grace_s: Maximum wait in seconds, after which connections are cut.
        """
        self.closing = True
        if self.listener is not None:
            self.listener.close()
        for link in self.connections:
            link.stop_reading()
        running = list(self.connections.values())
        if running and grace_s > 0:
            await asyncio.wait(running, timeout=grace_s)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.closing or len(self.connections) >= self.limits.connections:
            writer.transport.abort()
            return
        link = connections.ServerConnection(
            reader, writer, self.handler, self.limits
        )
        link.stopping = self.draining
        task = asyncio.current_task()
        assert task is not None
        self.connections[link] = task
        try:
            await link.run()
        except asyncio.CancelledError:
            pass
        except Exception:
            log.exception("http: a connection failed.")
        finally:
            self.connections.pop(link, None)
            writer.transport.abort()
