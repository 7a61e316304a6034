"""Connections to a backend server."""

import asyncio
import collections
import functools
import ssl
from collections.abc import Callable
from typing import NamedTuple, Protocol

import structlog

from banyantiller.config.defaults import BackendSettings
from banyantiller.errors import ErrorKind
from banyantiller.proxy import backend, guard, timers

log = structlog.get_logger("banyantiller.proxy")

# A reused connection without a response for so long makes idle ones suspect.
UNRESPONSIVE_S = 0.25


class Address(NamedTuple):
    """The address of a backend server."""

    host: str
    port: int


class Borrower(Protocol):
    """A user that needs a connection.

    Attributes:
        requires_proven: Whether only a new connection, or one that had a
            response recently, is acceptable.
        is_waiting: False once the borrower has given up.
    """

    requires_proven: bool
    is_waiting: bool

    def connected(self, connection: backend.BackendConnection) -> None:
        """Receives the connection."""

    def connect_failed(self, error_kind: ErrorKind) -> None:
        """Called when no connection could be established."""


class ReachabilityCheck:
    """Opens a new connection only to check that a server accepts it."""

    requires_proven = True
    is_waiting = True

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool

    def connected(self, connection: backend.BackendConnection) -> None:
        """Returns the connection, as the server is reachable."""
        self.pool.checking_reachable = False
        self.pool.release(connection)

    def connect_failed(self, error_kind: ErrorKind) -> None:  # noqa: ARG002
        """Ends the check; the pool reports a refusal itself."""
        self.pool.checking_reachable = False


def _ignore_refusal() -> None:
    pass


class Pool:
    """Lends connections to a server and keeps idle ones.

    Attributes:
        limit: Maximum number of connections, including idle and connecting.
        open_connections: Established connections.
        connect_tasks: Tasks that establish connections.
        idle: Idle connections, most recently used last.
        waiting_borrowers: Borrowers that wait because of the limit.
        retired: Whether the server was removed, so that connections are not
            kept.
        checking_reachable: Whether a reachability check is running.
        on_refused: Called when the server's machine refuses a connection.
    """

    def __init__(
        self,
        address: Address,
        settings: BackendSettings,
        tls: ssl.SSLContext | None,
        limit: int,
    ) -> None:
        self.address = address
        self.settings = settings
        self.tls = tls
        self.limit = limit
        self.loop = asyncio.get_running_loop()
        self.open_connections: set[backend.BackendConnection] = set()
        self.idle: list[backend.BackendConnection] = []
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.waiting_borrowers: collections.deque[Borrower] = (
            collections.deque()
        )
        self.retired = False
        self.checking_reachable = False
        self.on_refused: Callable[[], None] = _ignore_refusal
        self.timer = timers.LazyTimer(self.loop, self._close_expired)

    def acquire(self, borrower: Borrower) -> None:
        """Lends a connection now or later, most recently used first."""
        connection = self._take_idle(borrower.requires_proven)
        if connection is not None:
            borrower.connected(connection)
        elif self._has_room():
            self._connect(borrower)
        else:
            self.waiting_borrowers.append(borrower)

    def check_reachable(self) -> None:
        """Opens a new connection to check that the server is reachable."""
        if self.retired or self.checking_reachable or not self._has_room():
            return
        self.checking_reachable = True
        self._connect(ReachabilityCheck(self))

    def release(self, connection: backend.BackendConnection) -> None:
        """Lends a returned connection to a waiting borrower, or keeps it."""
        if self.retired or len(self.open_connections) > self.limit:
            connection.abort()
            return
        borrower = self._next_waiting()
        if borrower is not None:
            borrower.connected(connection)
            return
        self.idle.append(connection)
        if self.timer.due == timers.NEVER:
            self.timer.set_lazily(
                self.loop.time() + self.settings.idle_timeout_s
            )

    def connection_closed(self, connection: backend.BackendConnection) -> None:
        """Removes a closed connection and serves waiting borrowers."""
        self.open_connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self._serve_waiting()

    def close_stale_idle(self, since: float) -> None:
        """Closes idle connections without a response later than `since`.

        Called when a connection was found dead or unresponsive. Whatever lost
        its state may have lost the state of other old connections too, while
        new connections work.
        """
        for connection in list(self.idle):
            if connection.last_response_at <= since:
                connection.abort()

    def set_limit(self, limit: int) -> None:
        """Changes the limit; closes idle connections above it."""
        self.limit = limit
        while self.idle and len(self.open_connections) > limit:
            self.idle[0].abort()
        self._serve_waiting()

    def reject_waiting(self) -> None:
        """Fails waiting borrowers, so that they are routed elsewhere."""
        while (borrower := self._next_waiting()) is not None:
            borrower.connect_failed(ErrorKind.NO_SERVER)

    def retire(self) -> None:
        """Closes idle connections; busy ones close after their response."""
        self.retired = True
        self.timer.stop()
        for connection in list(self.idle):
            connection.abort()

    def close(self) -> None:
        """Closes all connections at once."""
        self.retire()
        for task in self.connect_tasks:
            task.cancel()
        for connection in list(self.open_connections):
            connection.abort()

    async def open_connection(self) -> backend.BackendConnection:
        """Opens a connection.

        Raises:
            OSError: The connection could not be established.
        """
        factory = functools.partial(
            backend.BackendConnection,
            self,
            self.loop,
            self.settings.max_head_bytes,
            self.settings.silence_s,
        )
        if self.tls is None:
            _, connection = await self.loop.create_connection(
                factory, self.address.host, self.address.port
            )
            return connection
        files = self.settings.tls
        _, connection = await self.loop.create_connection(
            factory,
            self.address.host,
            self.address.port,
            ssl=self.tls,
            server_hostname=files.server_name or self.address.host,
        )
        return connection

    def _take_idle(
        self, requires_proven: bool
    ) -> backend.BackendConnection | None:
        now = self.loop.time()
        age = (
            self.settings.proven_s
            if requires_proven
            else self.settings.idle_timeout_s
        )
        while self.idle:
            connection = self.idle[-1]
            if connection.last_response_at + age < now:
                return None
            self.idle.pop()
            if connection.is_usable():
                return connection
        return None

    def _has_room(self) -> bool:
        if len(self.open_connections) + len(self.connect_tasks) < self.limit:
            return True
        if not self.idle:
            return False
        self.idle[0].abort()
        return True

    def _next_waiting(self) -> Borrower | None:
        while self.waiting_borrowers:
            borrower = self.waiting_borrowers.popleft()
            if borrower.is_waiting:
                return borrower
        return None

    def _serve_waiting(self) -> None:
        while self.waiting_borrowers and (
            len(self.open_connections) + len(self.connect_tasks) < self.limit
        ):
            borrower = self._next_waiting()
            if borrower is not None:
                self._connect(borrower)

    def _connect(self, borrower: Borrower) -> None:
        task = self.loop.create_task(self._connect_borrower(borrower))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def _connect_borrower(self, borrower: Borrower) -> None:
        error_kind = ErrorKind.CONNECT_FAILED
        connection = None
        try:
            async with asyncio.timeout(self.settings.connect_timeout_s):
                connection = await self.open_connection()
        except TimeoutError:
            error_kind = ErrorKind.CONNECT_TIMEOUT
        except ssl.SSLError:
            error_kind = ErrorKind.TLS_FAILED
        except ConnectionRefusedError:
            guard.run(self.on_refused)
        except OSError:
            pass
        except Exception:
            log.exception("proxy: unexpected error while connecting.")
            error_kind = ErrorKind.INTERNAL
        self.connect_tasks.discard(asyncio.current_task())
        if connection is None:
            if borrower.is_waiting:
                borrower.connect_failed(error_kind)
            self._serve_waiting()
            return
        self._on_connected(borrower, connection)

    def _on_connected(
        self, borrower: Borrower, connection: backend.BackendConnection
    ) -> None:
        if connection.closed:
            if borrower.is_waiting:
                borrower.connect_failed(ErrorKind.CONNECT_FAILED)
            return
        self.open_connections.add(connection)
        if borrower.is_waiting:
            borrower.connected(connection)
        else:
            self.release(connection)

    def _close_expired(self) -> None:
        now = self.loop.time()
        idle_timeout_s = self.settings.idle_timeout_s
        for connection in list(self.idle):
            # Uses the sum of the timer below, to avoid a rounding difference.
            if connection.last_response_at + idle_timeout_s <= now:
                connection.abort()
        if self.idle:
            oldest = min(item.last_response_at for item in self.idle)
            self.timer.set_lazily(oldest + idle_timeout_s)
