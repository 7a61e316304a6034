"""A connection to a backend server, with h11 in the client role."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import h11
import structlog

from banyantiller.errors import ErrorKind
from banyantiller.proxy import buffers, codec, guard, timers
from banyantiller.utils import framing

log = structlog.get_logger("banyantiller.proxy")

HEAD_TOO_LARGE_HINT = 431

END_OF_STREAM = b""


class Exchange(Protocol):
    """The user of a connection for one request and its response."""

    def informational_received(self, event: h11.InformationalResponse) -> None:
        """Handles an informational response."""

    def head_received(self, event: h11.Response) -> None:
        """Handles the response head."""

    def data_received(self, data: bytes) -> None:
        """Handles a part of the response body."""

    def end_received(self, event: h11.EndOfMessage) -> None:
        """Handles the end of the response."""

    def connection_failed(self, error_kind: ErrorKind) -> None:
        """Handles a connection that broke before the end of the response."""

    def flush(self) -> None:
        """Called after all events of one read were handled."""

    def set_writable(self, writable: bool) -> None:
        """Called when the write buffer has drained or is full."""


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    def release(self, connection: "BackendConnection") -> None:
        """Accepts a connection that can be reused."""

    def connection_closed(self, connection: "BackendConnection") -> None:
        """Removes a closed connection."""


class BackendConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads its response.

    Attributes:
        exchange: The current user, or None while idle.
        last_response_at: Loop time of the last complete response, or of the
            connect.
        is_reused: Whether an earlier exchange used the connection.
        has_received: Whether any byte arrived since the exchange began.
        has_written: Whether any byte was written since the exchange began.
        write_paused: Whether the transport's write buffer is full.
        closed: Whether the connection is closed.
        reading_paused: Whether the exchange has paused reading.
        step_due: Whether received data waits until other tasks have run.
        informational: Informational responses of the exchange.
        meter: Framing of the response body that is being read, or None.
        timer: Fires when the server sends nothing for too long.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        max_head_bytes: int,
        inactivity_timeout_s: float,
    ) -> None:
        self.owner = owner
        self.loop = loop
        self.max_head_bytes = max_head_bytes
        self.inactivity_timeout_s = inactivity_timeout_s
        self.http = codec.Connection(
            h11.CLIENT, max_incomplete_event_size=max_head_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.pending_writes: list[bytes] = []
        self.last_response_at = loop.time()
        self.is_reused = False
        self.has_received = False
        self.has_written = False
        self.write_paused = False
        self.closed = False
        self.processing = False
        self.head_bytes = 0
        self.reading_paused = False
        self.step_due = False
        self.informational = 0
        self.meter: framing.FramingMeter | None = None
        self.timer = timers.LazyTimer(loop, self._on_inactivity)

    # Called by the transport.

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(
            buffers.HIGH_WATER_BYTES, buffers.LOW_WATER_BYTES
        )

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Returns the shared read buffer."""
        return buffers.SHARED

    def buffer_updated(self, nbytes: int) -> None:
        """Parses what was read and handles the events."""
        self.has_received = True
        self.head_bytes += nbytes
        if self.meter is not None:
            self.meter.received += nbytes
        self.http.receive_data(buffers.SHARED[:nbytes])
        self.process_events()

    def eof_received(self) -> bool:
        """Parses the end of the stream; the transport then closes."""
        if not self.closed:
            self.http.receive_data(END_OF_STREAM)
            self.process_events()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Fails the current exchange, if any."""
        self._fail_exchange(ErrorKind.CONNECTION_LOST)
        self._mark_closed()

    def pause_writing(self) -> None:
        """Tells the exchange to pause writing."""
        self.write_paused = True
        if self.exchange is not None:
            self.exchange.set_writable(False)

    def resume_writing(self) -> None:
        """Tells the exchange to resume writing."""
        self.write_paused = False
        if self.exchange is not None:
            self.exchange.set_writable(True)

    # Called by the exchange.

    def start_exchange(self, exchange: Exchange, request: h11.Request) -> None:
        """Starts an exchange with a request head; call `flush` to send it."""
        self.exchange = exchange
        self.has_received = False
        self.head_bytes = 0
        self.informational = 0
        self.meter = None
        self.has_written = False
        self.pending_writes.append(self.http.send(request))
        self.timer.set_lazily(self.loop.time() + self.inactivity_timeout_s)

    def send_data(self, data: bytes) -> None:
        """Queues a part of the request body."""
        self.pending_writes.append(self.http.send(h11.Data(data=data)))

    def send_end(self, event: h11.EndOfMessage) -> None:
        """Queues the end of the request body."""
        data = self.http.send(event)
        if data:
            self.pending_writes.append(data)

    def flush(self) -> None:
        """Writes all queued data at once."""
        if self.pending_writes and not self.closed:
            chunks = self.pending_writes
            self.pending_writes = []
            self.has_written = True
            if self.timer.due != timers.NEVER:
                self.timer.due = self.loop.time() + self.inactivity_timeout_s
            self.transport.write(
                chunks[0] if len(chunks) == 1 else b"".join(chunks)
            )

    def pause_reading(self) -> None:
        """Pauses reading the response; the inactivity timer stops meanwhile."""
        if not self.closed:
            self.reading_paused = True
            self.transport.pause_reading()
            self.timer.due = timers.NEVER

    def resume_reading(self) -> None:
        """Resumes reading."""
        if not self.closed:
            self.reading_paused = False
            if not self.step_due:
                self.transport.resume_reading()
            self.timer.set_lazily(self.loop.time() + self.inactivity_timeout_s)

    def abort(self) -> None:
        """Closes at once, without notifying the exchange."""
        self.exchange = None
        if not self.closed:
            self.transport.abort()
            self._mark_closed()

    def is_usable(self) -> bool:
        """Returns whether the connection can take a request."""
        return not self.closed and not self.transport.is_closing()

    # Internal.

    def process_events(self) -> None:
        """Handles every event in the bytes read so far."""
        if self.processing:
            return
        self.processing = True
        exchange = self.exchange
        try:
            self._handle_events()
        except h11.RemoteProtocolError as error:
            self._handle_protocol_error(error)
        except Exception:
            log.exception("proxy: unexpected error while handling a response.")
            self._fail_exchange(ErrorKind.INTERNAL)
            self.abort()
        finally:
            self.processing = False
        if exchange is not None:
            exchange.flush()

    def _handle_events(self) -> None:
        parts = 0
        while not self.closed:
            if self.exchange is None:
                # An idle server may only close the connection; anything else
                # leaves it unusable.
                self.abort()
                return
            if parts == framing.PARTS_PER_STEP:
                self._handle_later()
                return
            parts += 1
            event = self.http.next_event()
            event_type = type(event)
            if event_type is h11.Data:
                self.meter.content += len(event.data)
                self.exchange.data_received(event.data)
            elif event_type is h11.EndOfMessage:
                self._handle_end(event)
                return
            elif event_type is h11.Response:
                self._handle_head(event)
            elif event_type is h11.InformationalResponse:
                self._handle_informational(event)
            else:
                self._handle_need_data()
                return

    def _handle_later(self) -> None:
        """Lets other tasks run before the rest of the data is handled."""
        if self._is_framing_excessive():
            self._fail_malformed()
        elif not self.step_due:
            self.step_due = True
            self.transport.pause_reading()
            self.loop.call_soon(self._resume_events)

    def _resume_events(self) -> None:
        self.step_due = False
        if self.closed:
            return
        self.process_events()
        if not (self.closed or self.step_due or self.reading_paused):
            self.transport.resume_reading()

    def _is_framing_excessive(self) -> bool:
        return self.meter is not None and self.meter.is_excessive()

    def _fail_malformed(self) -> None:
        self._fail_exchange(ErrorKind.BACKEND_MALFORMED)
        self.abort()

    def _handle_informational(self, event: h11.InformationalResponse) -> None:
        self.informational += 1
        if self.informational > framing.MAX_INFORMATIONAL:
            self._fail_malformed()
            return
        self.exchange.informational_received(event)
        self.head_bytes = 0

    def _handle_head(self, event: h11.Response) -> None:
        if self.head_bytes > self.max_head_bytes:
            size = sum(
                len(n) + len(v) + 4 for n, v in event.headers.raw_items()
            )
            if size > self.max_head_bytes:
                self._fail_exchange(ErrorKind.BACKEND_HEAD_TOO_LARGE)
                self.abort()
                return
        self.meter = framing.FramingMeter(self.http)
        self.exchange.head_received(event)

    def _handle_need_data(self) -> None:
        if self._is_framing_excessive():
            self._fail_malformed()
        elif self.http.their_state is h11.CLOSED:
            self._fail_exchange(ErrorKind.CONNECTION_LOST)
            self.abort()
        elif self.timer.due != timers.NEVER:
            self.timer.due = self.loop.time() + self.inactivity_timeout_s

    def _handle_end(self, event: h11.EndOfMessage) -> None:
        exchange = self.exchange
        self.exchange = None
        self.timer.due = timers.NEVER
        self.last_response_at = self.loop.time()
        # The connection is released first, as the end of the exchange may
        # start a call that waits for a connection.
        if not guard.run(self._return_to_owner):
            guard.run(self.abort)
        guard.run(exchange.end_received, event)

    def _return_to_owner(self) -> None:
        if self._can_reuse():
            self.http.start_next_cycle()
            self.is_reused = True
            self.owner.release(self)
        else:
            self.abort()

    def _can_reuse(self) -> bool:
        http = self.http
        return (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and http.trailing_data == (b"", False)
            and not self.write_paused
            and not self.pending_writes
        )

    def _handle_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        ended = self.http.trailing_data[1]
        if error.error_status_hint == HEAD_TOO_LARGE_HINT:
            error_kind = ErrorKind.BACKEND_HEAD_TOO_LARGE
        elif ended and not self.has_received:
            error_kind = ErrorKind.CONNECTION_LOST
        elif ended:
            error_kind = ErrorKind.BACKEND_INCOMPLETE
        else:
            error_kind = ErrorKind.BACKEND_MALFORMED
        self._fail_exchange(error_kind)
        self.abort()

    def _on_inactivity(self) -> None:
        self._fail_exchange(ErrorKind.BACKEND_TIMEOUT)
        self.abort()

    def _fail_exchange(self, error_kind: ErrorKind) -> None:
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            guard.run(exchange.connection_failed, error_kind)
            exchange.flush()

    def _mark_closed(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.pending_writes.clear()
        self.timer.stop()
        self.owner.connection_closed(self)


ConnectionFactory = Callable[[ConnectionOwner], BackendConnection]
