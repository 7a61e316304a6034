"""One try of a call at one backend server."""

import enum
from typing import TYPE_CHECKING

import h11

from banyantiller.bundle.options import NOT_RUN_STATUS
from banyantiller.errors import ErrorKind, Ran
from banyantiller.proxy import backend, guard, headers
from banyantiller.proxy import pool as pools
from banyantiller.routing.types import AttemptResult, Start

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls
    from banyantiller.proxy import driver as drivers


class Stage(enum.Enum):
    """How far a try has come."""

    CONNECTING = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    RELAYING = enum.auto()
    OVER = enum.auto()


# The dispatcher took the answer head and waits for the end of the answer.
ACCEPTED = (Stage.ANSWERED, Stage.RELAYING)


class Attempt:
    """Sends a call on a connection and hands its answer on.

    It is the `Borrower` of the pool and the `Exchange` of the connection.

    Attributes:
        stage: How far it has come.
        connection: The connection, once there is one.
        response: The answer head, once it arrived.
        fields: Header fields of the answer head.
        began: Loop time at which the request was sent.
    """

    def __init__(
        self,
        driver: "drivers.ServiceDriver",
        call: "calls.Call",
        start: Start,
        pool: pools.Pool,
    ) -> None:
        self.driver = driver
        self.call = call
        self.attempt_id = start.attempt_id
        self.server = start.server
        self.pool = pool
        self.proven = not call.idempotent
        self.wanted = True
        self.stage = Stage.CONNECTING
        self.connection: backend.BackendConnection | None = None
        self.response: h11.Response | None = None
        self.fields: list[headers.Field] = []
        self.began = 0.0

    @property
    def streaming(self) -> bool:
        """Whether the request body goes to the connection as it comes."""
        return self.connection is not None and self.stage is not Stage.OVER

    # Called by the pool.

    def connected(self, connection: backend.BackendConnection) -> None:
        """Sends the request as far as it has been received."""
        if not self.call.body.kept:
            connection.home.give_back(connection)
            self._report_failure(ErrorKind.INTERNAL, Ran.NO)
            return
        self.stage = Stage.SENT
        self.connection = connection
        self.began = self.driver.loop.time()
        self.call.last = self
        if not guard.run(self._send):
            self.crash()

    def connect_failed(self, kind: ErrorKind) -> None:
        """Reports that not one byte was written."""
        self._report_failure(kind, Ran.NO)

    # Called by the connection.

    def informational(self, event: h11.InformationalResponse) -> None:
        """Passes an informational answer on."""
        self.call.informational(event)

    def head(self, event: h11.Response) -> None:
        """Reports the answer head; the dispatcher decides about it."""
        self.response = event
        self.fields = headers.received(event.headers)
        loads = self.driver.loads
        told = headers.get(self.fields, loads.header)
        report = None if told is None else loads.read(told, "answer")
        not_run = self._is_not_run(event)
        result = AttemptResult(
            ok=not not_run,
            ran=Ran.NO if not_run else Ran.YES,
            error=ErrorKind.BACKEND_SHED if not_run else None,
            status=event.status_code,
            report=report,
            retry_after_s=self._retry_after() if not_run else None,
            replayable=self.call.body.kept,
        )
        if not_run:
            self.stage = Stage.OVER
            self.call.shed += 1
        else:
            self.stage = Stage.ANSWERED
            # Whatever fails from here on, the server ran the request.
            self.call.maybe_ran = True
        self.driver.head(self, result)

    def data(self, data: bytes) -> None:
        """Relays a part of the answer body."""
        if self.stage is Stage.RELAYING:
            self.call.relay_data(data)

    def end(self, event: h11.EndOfMessage) -> None:
        """Relays the end of the answer; the slot is free."""
        self.driver.answered(self)
        if self.stage is Stage.RELAYING:
            self.stage = Stage.OVER
            if not guard.run(self.call.relay_end, event):
                self.call.crash()
            self.driver.done(self)

    def failed(self, kind: ErrorKind) -> None:
        """Reports a broken connection, or cuts the relayed answer."""
        guard.run(self._suspect_kin)
        if kind is ErrorKind.CONNECTION_LOST and self.connection.wrote:
            guard.run(self.driver.lost, self, True)
        if self.stage in ACCEPTED:
            self.stage = Stage.OVER
            guard.run(self.driver.done, self)
            if not guard.run(self.call.broke, kind):
                self.call.crash()
        elif self.stage is Stage.SENT:
            wrote = self.connection.wrote
            self._report_failure(kind, Ran.UNKNOWN if wrote else Ran.NO)

    def flush(self) -> None:
        """Lets the caller's connection write."""
        self.call.caller.flush()

    def writable(self, now: bool) -> None:  # noqa: ARG002
        """Stops or starts reading the request body."""
        self.call.regulate()

    # Called by the driver.

    def relay(self) -> None:
        """Starts to relay the answer."""
        self.stage = Stage.RELAYING
        self.call.relay_head(self)

    def crash(self) -> None:
        """Ends the try, and a relayed call, after a fault of our own."""
        stage = self.stage
        self.stage = Stage.OVER
        self.wanted = False
        wrote = self.connection is not None and self.connection.wrote
        if self.connection is not None:
            guard.run(self.connection.abort)
        if stage in ACCEPTED:
            guard.run(self.driver.done, self)
            self.call.crash()
        elif stage is not Stage.OVER:
            ran = Ran.UNKNOWN if wrote else Ran.NO
            self._report_failure(ErrorKind.INTERNAL, ran)

    def cancel(self) -> None:
        """Gives up; closing the connection cancels the server's work."""
        if self.stage is Stage.OVER:
            return
        sent = self.stage is not Stage.CONNECTING
        self.stage = Stage.OVER
        self.wanted = False
        if not sent:
            return
        if self.connection.wrote:
            self.call.maybe_ran = True
            self.call.tries += 1
            self.driver.lost(self, False)
        now = self.driver.loop.time()
        if now - self.began >= pools.SILENCE_SUSPECT_S:
            self._suspect_kin()
        self.connection.abort()

    # Within.

    def _send(self) -> None:
        self.connection.begin(self, self.call.backend_request())
        self.call.send_kept_body(self)

    def _is_not_run(self, event: h11.Response) -> bool:
        if event.status_code != NOT_RUN_STATUS:
            return False
        name = headers.wire_name(self.call.service.not_run_header)
        return headers.get(self.fields, name) is not None

    def _retry_after(self) -> float | None:
        value = headers.get(self.fields, b"retry-after")
        if value is None or not value.isdigit():
            return None
        return float(value)

    def _suspect_kin(self) -> None:
        if not self.connection.heard and self.connection.reused:
            self.pool.suspect(self.began)

    def _report_failure(self, kind: ErrorKind, ran: Ran) -> None:
        self.stage = Stage.OVER
        self.wanted = False
        replayable = self.call.body.kept and (
            ran is Ran.NO or self.driver.may_try_again(self)
        )
        result = AttemptResult(
            ok=False, ran=ran, error=kind, replayable=replayable
        )
        self.driver.head(self, result)
