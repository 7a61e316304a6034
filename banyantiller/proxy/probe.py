"""Probes: small requests that query a server for its load."""

from typing import TYPE_CHECKING

import h11

from banyantiller.errors import ErrorKind
from banyantiller.proxy import backend, headers, timers
from banyantiller.proxy import pool as pools
from banyantiller.routing.types import LoadReport

if TYPE_CHECKING:
    from banyantiller.proxy import driver as drivers

PROBE_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 65536
USER_AGENT = (b"User-Agent", b"banyantiller-probe")


class Probe:
    """Sends a probe; `Borrower` of the pool, `Exchange` of the connection.

    Attributes:
        report: Load reported by the response, or None.
        body_bytes: Bytes of the response body so far.
    """

    def __init__(
        self, driver: "drivers.ServiceDriver", server: str, pool: pools.Pool
    ) -> None:
        self.driver = driver
        self.server = server
        self.pool = pool
        self.requires_proven = False
        self.is_waiting = True
        self.connection: backend.BackendConnection | None = None
        self.report: LoadReport | None = None
        self.body_bytes = 0
        self.timer = timers.LazyTimer(driver.loop, self._expired)

    def start(self) -> None:
        """Acquires a connection and starts the timer."""
        self.timer.set_lazily(self.driver.loop.time() + PROBE_TIMEOUT_S)
        self.pool.acquire(self)

    def connected(self, connection: backend.BackendConnection) -> None:
        """Sends the probe."""
        self.connection = connection
        service = self.driver.service
        host = service.hosts[0] if service.hosts else self.pool.address.host
        request = h11.Request(
            method="GET",
            target=service.measuring.path,
            headers=[(b"Host", host.encode("ascii")), USER_AGENT],
        )
        connection.start_exchange(self, request)
        connection.send_end(headers.END)
        connection.flush()

    def connect_failed(self, error_kind: ErrorKind) -> None:  # noqa: ARG002
        """Fails the probe."""
        self._fail()

    def informational_received(self, event: h11.InformationalResponse) -> None:
        """Ignores informational responses."""

    def head_received(self, event: h11.Response) -> None:
        """Reads the load report."""
        load_reader = self.driver.load_reader
        value = headers.get(
            headers.raw_fields(event.headers), load_reader.header
        )
        if value is not None:
            self.report = load_reader.read(value, "probe")

    def data_received(self, data: bytes) -> None:
        """Discards the response body, which may not be large."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            self._expired()

    def end_received(self, event: h11.EndOfMessage) -> None:  # noqa: ARG002
        """Reports the load to the driver."""
        self.timer.stop()
        self.is_waiting = False
        if self.report is None:
            self.driver.probe_failed(self.server)
        else:
            self.driver.probe_succeeded(self.server, self.report)

    def connection_failed(self, error_kind: ErrorKind) -> None:  # noqa: ARG002
        """Fails the probe."""
        self._fail()

    def flush(self) -> None:
        """Does nothing, as no data is forwarded."""

    def set_writable(self, writable: bool) -> None:
        """Does nothing, as a probe has no body."""

    def _expired(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self._fail()

    def _fail(self) -> None:
        self.timer.stop()
        if self.is_waiting:
            self.is_waiting = False
            self.driver.probe_failed(self.server)
