"""Pool of kept-alive connections to one server."""

import asyncio
import collections
import enum

from banyantiller.gateway import types
from banyantiller.http import connection
from banyantiller.utils import decoding

# Servers close connections that were idle for some seconds, or for the time
# that their `Keep-Alive` field states. Only this share of the stated time is
# used, so that a request and the server's close do not cross.
IDLE_S = 8.0
KEEP_ALIVE_SHARE = 0.8
# Timeout for a new connection, which usually takes 3 ms. It covers at most two
# losses of the first packet, since callers wait 0.2 s for a good response.
CONNECT_TIMEOUT_S = 0.15
MAX_HEAD_BYTES = 65536


class OpenReason(enum.Enum):
    """Why a new connection was opened.

    Attributes:
        FIRST: It is the first connection to this server.
        IN_USE: Requests or probes are using other connections.
        IDLE_TOO_LONG: The last one was closed after it was idle for too long.
        CLOSED: The server closed the last one, or announced that it would.
        UNSOLICITED: The server sent bytes on the last one while it was idle.
        GIVEN_UP: The last one was closed during a request or probe.
        WANTED_NEW: The sender required a new connection.
        AMBIGUOUS: A late copy of a rejection may still come on the last one.
    """

    FIRST = "first"
    IN_USE = "in_use"
    IDLE_TOO_LONG = "idle_too_long"
    CLOSED = "closed"
    UNSOLICITED = "unsolicited"
    GIVEN_UP = "given_up"
    WANTED_NEW = "wanted_new"
    AMBIGUOUS = "ambiguous"


class PoolFullError(Exception):
    """The maximum number of connections to this server is open."""


class Link:
    """A connection and the time until which it may be reused.

    Attributes:
        connection: The connection.
        reused: Whether it has carried an exchange before.
        ambiguous: Whether a rejection without a request ID was received on it:
            a late copy can't be told from the response to a later request.
        idle_s: Maximum idle time, in seconds.
        expires: Loop time at which an idle connection is closed.
    """

    def __init__(self, link: connection.ClientConnection) -> None:
        self.connection = link
        self.reused = False
        self.ambiguous = False
        self.idle_s = IDLE_S
        self.expires = 0.0


class Pool:
    """Connections to one server.

    Attributes:
        server: The server.
        max_size: Maximum number of connections.
        source: IP address from which connections are opened; empty for the
            system's choice.
        idle: Idle connections, the most recently used one last.
        busy: Number of connections in use or being opened.
        closed: Whether the pool is closed; it keeps no connection then.
        last_close_reason: Why the last closed connection was not kept.
        opened: Number of new connections by reason, of all pools together.
    """

    def __init__(
        self,
        server: types.Server,
        max_size: int,
        opened: collections.Counter[str],
        source: str = "",
    ) -> None:
        self.server = server
        self.source = source
        self.max_size = max_size
        self.opened = opened
        self.last_close_reason = OpenReason.FIRST
        self.idle: list[Link] = []
        self.busy = 0
        self.closed = False
        self.loop = asyncio.get_running_loop()

    async def acquire(self, fresh: bool = False) -> Link:
        """Returns a connection for one exchange.

        Args:
            fresh: Whether to open a new connection in any case.

        Raises:
            PoolFullError: The maximum number of connections is open.
            OSError: A new connection failed. This includes `TimeoutError`.
        """
        while self.idle and not fresh:
            link = self.idle.pop()
            self.busy += 1
            expired = link.expires <= self.loop.time()
            if not expired and await self._resume(link):
                return link
            self.discard(
                link, OpenReason.IDLE_TOO_LONG if expired else OpenReason.CLOSED
            )
        if self.busy + len(self.idle) >= self.max_size:
            raise PoolFullError
        self.opened[self._reason(fresh).value] += 1
        self.busy += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                opened = await connection.ClientConnection.open(
                    self.server.host,
                    self.server.port,
                    MAX_HEAD_BYTES,
                    source=self.source,
                )
        except BaseException:
            self.busy -= 1
            raise
        return Link(opened)

    async def accepts(self) -> bool:
        """Returns whether the server accepts a new connection, and keeps it."""
        try:
            self.put_idle(await self.acquire(fresh=True))
        except (OSError, PoolFullError):
            return False
        return True

    def has_idle(self) -> bool:
        """Returns whether an idle connection can be used."""
        now = self.loop.time()
        return any(link.expires > now for link in self.idle)

    def release(self, link: Link) -> None:
        """Takes back a connection after a complete response."""
        if link.connection.ready_again():
            self.put_idle(link)
        else:
            self.discard(link, OpenReason.CLOSED)

    def put_idle(self, link: Link) -> None:
        """Takes back a connection that is ready for another exchange."""
        if self.closed:
            self.discard(link)
            return
        link.connection.watch_idle(
            lambda has_received: self._remove_idle(link, has_received)
        )
        self.busy -= 1
        link.reused = True
        link.expires = self.loop.time() + link.idle_s
        self.idle.append(link)

    def discard(
        self, link: Link, reason: OpenReason = OpenReason.GIVEN_UP
    ) -> None:
        """Closes a connection that was acquired."""
        self.last_close_reason = reason
        self.busy -= 1
        if reason is OpenReason.GIVEN_UP:
            link.connection.reset()
        else:
            link.connection.close()

    def drop_idle(self) -> None:
        """Closes idle connections, for example after one was found broken."""
        while self.idle:
            self.idle.pop().connection.close()

    def expire(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        kept = []
        for link in self.idle:
            if link.expires > now:
                kept.append(link)
            else:
                self.last_close_reason = OpenReason.IDLE_TOO_LONG
                link.connection.close()
        self.idle = kept

    def close(self) -> None:
        """Closes idle connections; those in use are closed when released."""
        self.closed = True
        self.drop_idle()

    def _remove_idle(self, link: Link, has_received: bool) -> None:
        """Removes a connection that the server made unusable."""
        if link in self.idle:
            self.idle.remove(link)
            self.last_close_reason = (
                OpenReason.UNSOLICITED if has_received else OpenReason.CLOSED
            )

    def _reason(self, fresh: bool) -> OpenReason:
        """Returns the reason for which a connection is opened now."""
        if fresh:
            return OpenReason.WANTED_NEW
        return OpenReason.IN_USE if self.busy else self.last_close_reason

    async def _resume(self, link: Link) -> bool:
        try:
            return await link.connection.resume()
        except BaseException:
            self.discard(link)
            raise


def keep_alive_idle_s(keep_alive: str) -> float | None:
    """Returns the idle time, in seconds, for a `Keep-Alive` field, or None."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and decoding.is_number(value):
            return int(value) * KEEP_ALIVE_SHARE
    return None
