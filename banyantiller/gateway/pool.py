"""Kept connections to one server."""

import asyncio
import collections
import enum

from banyantiller.gateway import types
from banyantiller.http import connection

# Servers close connections that were idle for some seconds, or after the
# time that their answers state; a fifth is left for messages that cross.
IDLE_S = 8.0
IDLE_SHARE = 0.8
# Time for a new connection, which takes 3 ms: two losses of its first packet
# at most, since callers wait 0.2 s for a good answer.
CONNECT_TIMEOUT_S = 0.15
HEAD_BYTES = 65536


class Reason(enum.Enum):
    """Why a new connection was opened.

    Attributes:
        FIRST: There was none to this server before.
        IN_USE: Those that there are carry other requests.
        IDLE_TOO_LONG: The last one was closed since it had been idle.
        CLOSED: The server closed the last one, or said that it would.
        GIVEN_UP: The last one was closed with a request or question on it.
        WANTED_NEW: Whoever sends wanted a new one.
    """

    FIRST = "first"
    IN_USE = "in_use"
    IDLE_TOO_LONG = "idle_too_long"
    CLOSED = "closed"
    GIVEN_UP = "given_up"
    WANTED_NEW = "wanted_new"


class PoolFullError(Exception):
    """No further connection to this server is allowed."""


class Link:
    """A connection and until when it may be used again.

    Attributes:
        connection: The connection.
        reused: Whether it served a request before.
        idle_s: Longest idle time, in seconds.
        expires: Loop time at which an idle connection is closed.
    """

    def __init__(self, link: connection.ClientConnection) -> None:
        self.connection = link
        self.reused = False
        self.idle_s = IDLE_S
        self.expires = 0.0


class Pool:
    """Connections to one server.

    Attributes:
        server: The server.
        max_size: Most connections at a time.
        idle: Idle connections, latest used last.
        busy: Connections in use or being made.
        lost_by: Why the last connection that could have been kept was not.
        opened: New connections by reason, of all pools together.
    """

    def __init__(
        self,
        server: types.Server,
        max_size: int,
        opened: collections.Counter[str],
    ) -> None:
        self.server = server
        self.max_size = max_size
        self.opened = opened
        self.lost_by = Reason.FIRST
        self.idle: list[Link] = []
        self.busy = 0
        self.closed = False
        self.loop = asyncio.get_running_loop()

    async def acquire(self, fresh: bool = False) -> Link:
        """Returns a connection for one exchange.

        Args:
            fresh: Whether a new connection is made in any case.

        Raises:
            PoolFullError: All connections are in use.
            OSError: A new connection failed; `TimeoutError` is one of these.
        """
        while self.idle and not fresh:
            link = self.idle.pop()
            self.busy += 1
            expired = link.expires <= self.loop.time()
            if not expired and await self._resume(link):
                return link
            self.discard(
                link, Reason.IDLE_TOO_LONG if expired else Reason.CLOSED
            )
        if self.busy + len(self.idle) >= self.max_size:
            raise PoolFullError
        self.opened[self._reason(fresh).value] += 1
        self.busy += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                opened = await connection.ClientConnection.open(
                    self.server.host, self.server.port, HEAD_BYTES, None, ""
                )
        except BaseException:
            self.busy -= 1
            raise
        return Link(opened)

    def has_idle(self) -> bool:
        """Tells whether an idle connection can be used."""
        now = self.loop.time()
        return any(link.expires > now for link in self.idle)

    def release(self, link: Link) -> None:
        """Takes a connection back after a whole answer."""
        if link.connection.ready_again():
            self.put_idle(link)
        else:
            self.discard(link, Reason.CLOSED)

    def put_idle(self, link: Link) -> None:
        """Takes a connection back that is ready for another exchange."""
        if self.closed:
            self.discard(link)
            return
        link.connection.watch_idle()
        self.busy -= 1
        link.reused = True
        link.expires = self.loop.time() + link.idle_s
        self.idle.append(link)

    def discard(self, link: Link, reason: Reason = Reason.GIVEN_UP) -> None:
        """Closes a connection that was acquired."""
        self.lost_by = reason
        self.busy -= 1
        link.connection.close()

    def drop_idle(self) -> None:
        """Closes idle connections: one of them was found dead."""
        while self.idle:
            self.idle.pop().connection.close()

    def expire(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        kept = []
        for link in self.idle:
            if link.expires > now:
                kept.append(link)
            else:
                self.lost_by = Reason.IDLE_TOO_LONG
                link.connection.close()
        self.idle = kept

    def close(self) -> None:
        """Closes idle connections; those in use close when released."""
        self.closed = True
        self.drop_idle()

    def _reason(self, fresh: bool) -> Reason:
        """Returns why a connection is opened now."""
        if fresh:
            return Reason.WANTED_NEW
        return Reason.IN_USE if self.busy else self.lost_by

    async def _resume(self, link: Link) -> bool:
        try:
            return await link.connection.resume()
        except BaseException:
            self.discard(link)
            raise


def idle_time(keep_alive: str) -> float | None:
    """Returns the idle time that a `Keep-Alive` field allows, or None."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return None
