"""One attempt to send a call to one backend server."""

import enum
from typing import TYPE_CHECKING

import h11

from banyantiller.bundle.options import NOT_RUN_STATUS
from banyantiller.errors import ErrorKind, Ran
from banyantiller.proxy import backend, guard, headers
from banyantiller.proxy import pool as pools
from banyantiller.routing.types import AttemptResult, Start
from banyantiller.utils import decimals

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls
    from banyantiller.proxy import driver as drivers


class Stage(enum.Enum):
    """The progress of an attempt."""

    CONNECTING = enum.auto()
    SENT = enum.auto()
    HEAD_RECEIVED = enum.auto()
    RELAYING = enum.auto()
    ENDED = enum.auto()


# Stages in which the dispatcher accepted the head and expects the end.
ACCEPTED_STAGES = (Stage.HEAD_RECEIVED, Stage.RELAYING)


class Attempt:
    """Sends a call on a connection and relays the response.

    Implements `Borrower` for the pool and `Exchange` for the connection.

    Attributes:
        requires_proven: Whether a reused connection must have served recently.
        is_waiting: False once the attempt needs no connection any more.
        stage: Progress of the attempt.
        connection: The connection, or None before one is assigned.
        response: The response head, or None before it arrives.
        fields: Header fields of the response head.
        started_at: Loop time at which the request was sent.
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
        self.requires_proven = not call.idempotent
        self.is_waiting = True
        self.stage = Stage.CONNECTING
        self.connection: backend.BackendConnection | None = None
        self.response: h11.Response | None = None
        self.fields: list[headers.Field] = []
        self.started_at = 0.0

    @property
    def streaming(self) -> bool:
        """Whether the request body is forwarded as it arrives."""
        return self.connection is not None and self.stage is not Stage.ENDED

    # Called by the pool.

    def connected(self, connection: backend.BackendConnection) -> None:
        """Sends what has been received of the request."""
        if not self.call.body.is_buffered:
            connection.owner.release(connection)
            self._report_failure(ErrorKind.INTERNAL, Ran.NO)
            return
        self.stage = Stage.SENT
        self.connection = connection
        self.started_at = self.driver.loop.time()
        self.call.last_attempt = self
        if not guard.run(self._send):
            self.fail_internally()

    def connect_failed(self, error_kind: ErrorKind) -> None:
        """Reports a failure before any byte was written."""
        self._report_failure(error_kind, Ran.NO)

    # Called by the connection.

    def informational_received(self, event: h11.InformationalResponse) -> None:
        """Relays an informational response."""
        self.call.relay_informational(event)

    def head_received(self, event: h11.Response) -> None:
        """Reports the response head to the dispatcher, which decides on it."""
        self.response = event
        self.fields = headers.raw_fields(event.headers)
        load_reader = self.driver.load_reader
        value = headers.get(self.fields, load_reader.header)
        report = None if value is None else load_reader.read(value, "answer")
        not_run = self._is_reported_not_run(event)
        result = AttemptResult(
            ok=not not_run,
            ran=Ran.NO if not_run else Ran.YES,
            error=ErrorKind.BACKEND_SHED if not_run else None,
            status=event.status_code,
            report=report,
            retry_after_s=self._retry_after() if not_run else None,
            replayable=self.call.body.is_buffered,
        )
        if not_run:
            self.stage = Stage.ENDED
            self.call.shed_attempts += 1
        else:
            self.stage = Stage.HEAD_RECEIVED
            # If anything fails from here on, the server has run the request.
            self.call.may_have_run = True
        self.driver.handle_result(self, result)

    def data_received(self, data: bytes) -> None:
        """Relays a part of the response body."""
        if self.stage is Stage.RELAYING:
            self.call.relay_data(data)

    def end_received(self, event: h11.EndOfMessage) -> None:
        """Relays the end of the response; the server's slot is free."""
        self.driver.record_response(self)
        if self.stage is Stage.RELAYING:
            self.stage = Stage.ENDED
            if not guard.run(self.call.relay_end, event):
                self.call.fail_internally()
            self.driver.attempt_done(self)

    def connection_failed(self, error_kind: ErrorKind) -> None:
        """Reports a broken connection, or aborts the relayed response."""
        guard.run(self._close_stale_idle)
        if (
            error_kind is ErrorKind.CONNECTION_LOST
            and self.connection.has_written
        ):
            guard.run(self.driver.record_loss, self, True)
        if self.stage in ACCEPTED_STAGES:
            self.stage = Stage.ENDED
            guard.run(self.driver.attempt_done, self)
            if not guard.run(self.call.relay_failed, error_kind):
                self.call.fail_internally()
        elif self.stage is Stage.SENT:
            has_written = self.connection.has_written
            self._report_failure(
                error_kind, Ran.UNKNOWN if has_written else Ran.NO
            )

    def flush(self) -> None:
        """Flushes the caller's connection."""
        self.call.caller.flush()

    def set_writable(self, writable: bool) -> None:  # noqa: ARG002
        """Pauses or resumes reading the request body."""
        self.call.update_body_reading()

    # Called by the driver.

    def relay(self) -> None:
        """Starts to relay the response."""
        self.stage = Stage.RELAYING
        self.call.relay_head(self)

    def fail_internally(self) -> None:
        """Ends the attempt, and a relayed call, after an internal error."""
        stage = self.stage
        self.stage = Stage.ENDED
        self.is_waiting = False
        has_written = (
            self.connection is not None and self.connection.has_written
        )
        if self.connection is not None:
            guard.run(self.connection.abort)
        if stage in ACCEPTED_STAGES:
            guard.run(self.driver.attempt_done, self)
            self.call.fail_internally()
        elif stage is not Stage.ENDED:
            ran = Ran.UNKNOWN if has_written else Ran.NO
            self._report_failure(ErrorKind.INTERNAL, ran)

    def cancel(self) -> None:
        """Cancels the attempt; a closed connection stops the server's work."""
        if self.stage is Stage.ENDED:
            return
        sent = self.stage is not Stage.CONNECTING
        self.stage = Stage.ENDED
        self.is_waiting = False
        if not sent:
            return
        if self.connection.has_written:
            self.call.may_have_run = True
            self.call.sent_attempts += 1
            self.driver.record_loss(self, False)
        now = self.driver.loop.time()
        if now - self.started_at >= pools.UNRESPONSIVE_S:
            self._close_stale_idle()
        self.connection.abort()

    # Internal.

    def _send(self) -> None:
        self.connection.start_exchange(self, self.call.build_backend_request())
        self.call.send_buffered_body(self)

    def _is_reported_not_run(self, event: h11.Response) -> bool:
        if event.status_code != NOT_RUN_STATUS:
            return False
        name = headers.wire_name(self.call.service.not_run_header)
        return headers.get(self.fields, name) is not None

    def _retry_after(self) -> float | None:
        value = headers.get(self.fields, b"retry-after")
        if value is None:
            return None
        try:
            return decimals.parse(value.decode("latin-1"))
        except ValueError:
            return None

    def _close_stale_idle(self) -> None:
        if not self.connection.has_received and self.connection.is_reused:
            self.pool.close_stale_idle(self.started_at)

    def _report_failure(self, error_kind: ErrorKind, ran: Ran) -> None:
        self.stage = Stage.ENDED
        self.is_waiting = False
        replayable = self.call.body.is_buffered and (
            ran is Ran.NO or self.driver.should_retry(self)
        )
        result = AttemptResult(
            ok=False, ran=ran, error=error_kind, replayable=replayable
        )
        self.driver.handle_result(self, result)
