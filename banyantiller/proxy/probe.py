"""A probe: one cheap request that asks a server for its load."""

from typing import TYPE_CHECKING

import h11

from banyantiller.errors import ErrorKind
from banyantiller.proxy import backend, headers, timers
from banyantiller.proxy import pool as pools
from banyantiller.routing.types import LoadReport

if TYPE_CHECKING:
    from banyantiller.proxy import driver as drivers

PROBE_TIMEOUT_S = 2.0
USER_AGENT = (b"User-Agent", b"banyantiller-probe")


class Probe:
    """Sends one probe; `Borrower` of the pool, `Exchange` of the connection.

    Attributes:
        report: Load that the answer told, if any.
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
        self.timer = timers.LazyTimer(driver.loop, self._expired)

    def start(self) -> None:
        """Asks for a connection and starts the timer."""
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

    def connect_failed(self, kind: ErrorKind) -> None:  # noqa: ARG002
        """The probe failed."""
        self._fail()

    def informational_received(self, event: h11.InformationalResponse) -> None:
        """Has no meaning for a probe."""

    def head_received(self, event: h11.Response) -> None:
        """Reads the load."""
        load_reader = self.driver.load_reader
        value = headers.get(
            headers.raw_fields(event.headers), load_reader.header
        )
        if value is not None:
            self.report = load_reader.read(value, "probe")

    def data_received(self, data: bytes) -> None:
        """The body of a probe's answer is dropped."""

    def end_received(self, event: h11.EndOfMessage) -> None:  # noqa: ARG002
        """Passes the load on."""
        self.timer.stop()
        self.is_waiting = False
        if self.report is None:
            self.driver.probe_failed(self.server)
        else:
            self.driver.probe_succeeded(self.server, self.report)

    def connection_failed(self, kind: ErrorKind) -> None:  # noqa: ARG002
        """The probe failed."""
        self._fail()

    def flush(self) -> None:
        """Nothing is passed on."""

    def set_writable(self, now: bool) -> None:
        """A probe has no body."""

    def _expired(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self._fail()

    def _fail(self) -> None:
        self.timer.stop()
        if self.is_waiting:
            self.is_waiting = False
            self.driver.probe_failed(self.server)
