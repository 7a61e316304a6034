"""A connection from a caller, with h11 in the server role."""

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Any

import h11
import structlog

from banyantiller.errors import ErrorKind, Failure
from banyantiller.proxy import buffers, caller_timer, codec, headers, responses
from banyantiller.utils import framing

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls
    from banyantiller.proxy import proxy as proxies

log = structlog.get_logger("banyantiller.proxy")

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests in sequence and writes their responses in order.

    Attributes:
        call: The current call, or None.
        head_started_at: Loop time of the first byte of the current head.
        reading_paused: Whether reading is paused, because the body cannot be
            forwarded yet (`body_paused`) or enough pipelined data is buffered
            (`pipeline_paused`).
        write_paused: Whether the transport's write buffer is full.
        processing: Whether events are being processed; writes are queued
            until the end.
        step_due: Whether received data waits until other tasks have run.
        meter: Framing of the request body that is being read.
        discarded: Bytes received after the last response.
        closing: Whether no further response is sent.
        closed: Whether the connection is closed.
    """

    def __init__(self, proxy: "proxies.Proxy") -> None:
        self.proxy = proxy
        self.loop = proxy.loop
        self.limits = proxy.settings.callers
        self.http = codec.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_head_bytes
        )
        self.transport: Any = None
        self.call: calls.Call | None = None
        self.pending_writes: list[bytes] = []
        self.head_started_at = 0.0
        self.head_bytes = 0
        self.pipelined_bytes = 0
        self.write_paused = False
        self.reading_paused = False
        self.body_paused = False
        self.pipeline_paused = False
        self.step_due = False
        self.discarded = 0
        self.meter = framing.FramingMeter(self.http)
        self.processing = False
        self.closing = False
        self.closed = False
        self.timer = caller_timer.CallerTimer(self)

    # Called by the transport.

    def connection_made(self, transport: Any) -> None:
        """Stores the transport; rejects connections above the limit."""
        self.transport = transport
        transport.set_write_buffer_limits(
            buffers.HIGH_WATER_BYTES, buffers.LOW_WATER_BYTES
        )
        self.head_started_at = self.loop.time()
        self.timer.wait_for_request()
        if not self.proxy.add_connection(self):
            detail = "Too many connections."
            self.proxy.reject(self, Failure(ErrorKind.QUEUE_FULL, detail, 1.0))

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Returns the shared read buffer."""
        return buffers.SHARED

    def buffer_updated(self, nbytes: int) -> None:
        """Parses what was read and handles the events."""
        if self.closing:
            self._discard(nbytes)
            return
        if self.call is None:
            if self.head_bytes == 0:
                self.head_started_at = self.loop.time()
            self.head_bytes += nbytes
            if self.write_paused:
                self._pause_pipeline(True)
        elif self.http.their_state is h11.DONE:
            self._count_pipelined(nbytes)
        self.meter.received += nbytes
        self.http.receive_data(buffers.SHARED[:nbytes])
        self.process_events()

    def eof_received(self) -> bool:
        """Ends the call; a half-closed connection counts as closed."""
        self._end_call()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancels the current call."""
        self.closed = True
        self._end_call()
        self.timer.stop()
        self.proxy.remove_connection(self)

    def pause_writing(self) -> None:
        """Pauses reading the response while the caller reads slowly."""
        self.write_paused = True
        if not self.closing:
            self.timer.wait_for_write()
        if self.call is not None:
            self.call.set_caller_writable(False)

    def resume_writing(self) -> None:
        """Resumes once the caller has caught up."""
        self.write_paused = False
        if not self.closing:
            self.timer.update()
        if self.call is not None:
            self.call.set_caller_writable(True)
        elif self.head_bytes:
            self.loop.call_soon(self._resume_pipeline)

    # Called by the call.

    def send_informational(
        self, status: int, fields: list[headers.Field]
    ) -> None:
        """Queues an informational response."""
        event = h11.InformationalResponse(
            status_code=status, headers=headers.ValidatedHeaders(fields)
        )
        self.pending_writes.append(self.http.send(event))
        if not self.processing:
            self.flush()

    def send_head(
        self,
        status: int,
        reason: bytes,
        fields: list[headers.Field],
        request_incomplete: bool,
    ) -> None:
        """Queues a response head.

        Args:
            status: Status code.
            reason: Reason phrase.
            fields: Header fields.
            request_incomplete: Whether the request body is incomplete, so that
                the connection can't be reused.
        """
        if request_incomplete or self.proxy.draining:
            fields = [*fields, headers.CLOSE]
        if self.timer.wait is caller_timer.WaitState.BODY:
            self.timer.wait_for_response()
        event = h11.Response(
            status_code=status,
            headers=headers.ValidatedHeaders(fields),
            reason=reason,
        )
        self.pending_writes.append(self.http.send(event))

    def send_data(self, data: bytes) -> None:
        """Queues a part of a response body."""
        self.pending_writes.append(self.http.send(h11.Data(data=data)))

    def send_end(self, event: h11.EndOfMessage) -> None:
        """Queues the end of a response; HTTP/1.0 has no trailers."""
        if event.headers and self.http.their_http_version < b"1.1":
            event = headers.END
        data = self.http.send(event)
        if data:
            self.pending_writes.append(data)

    def send_local_response(
        self, response: responses.LocalResponse, request_incomplete: bool
    ) -> None:
        """Queues a complete response generated by this daemon."""
        fields = headers.raw_fields(headers.validate(response.fields))
        self.send_head(response.status, b"", fields, request_incomplete)
        is_head = self.call and self.call.request.method == b"HEAD"
        if response.body and not is_head:
            self.send_data(response.body)
        self.send_end(headers.END)

    def response_done(self) -> None:
        """Writes the response; starts the next request or closes."""
        self.call = None
        self.flush()
        if self.closed or self.closing:
            return
        http = self.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            self._start_next_cycle()
        else:
            self.close_gracefully()

    def flush(self) -> None:
        """Writes all queued data at once."""
        if self.pending_writes and not self.closed:
            chunks = self.pending_writes
            self.pending_writes = []
            self.transport.write(
                chunks[0] if len(chunks) == 1 else b"".join(chunks)
            )

    def pause_body(self, paused: bool) -> None:
        """Pauses or resumes reading the body of the current request."""
        self.body_paused = paused
        self._update_reading()

    def reset(self) -> None:
        """Resets the connection, so that the response is seen as incomplete."""
        self.call = None
        if self.closed:
            return
        self.flush()
        self.closing = True
        raw = self.transport.get_extra_info("socket")
        if isinstance(raw, asyncio.trsock.TransportSocket):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def close_gracefully(self) -> None:
        """Closes after all written data has been sent."""
        if self.closing or self.closed:
            return
        self.closing = True
        self.timer.wait_for_close()
        if self._is_all_read():
            self.transport.close()
            return
        if self.reading_paused:
            self.transport.resume_reading()
        if self.transport.can_write_eof():
            try:
                self.transport.write_eof()
            except OSError:
                # The caller has reset the connection.
                self.transport.abort()

    def close_now(self) -> None:
        """Closes at once; the caller of a running call counts as gone."""
        self._end_call()
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Closes unless a request is running or arriving."""
        if self.call is None and self.head_bytes == 0:
            self.close_gracefully()

    # Internal.

    def process_events(self) -> None:
        """Handles every event in the bytes read so far."""
        if self.processing or self.closing or self.closed:
            return
        if self.write_paused and self.call is None:
            # The next request waits until the caller reads earlier responses.
            return
        self.processing = True
        try:
            self._handle_events()
        except h11.RemoteProtocolError as error:
            self._handle_protocol_error(error)
        except Exception:
            log.exception("proxy: unexpected error while handling a request.")
            self._fail_internally()
        finally:
            self.processing = False
        if self.call is not None:
            self.call.flush()
        self.flush()
        if not self.closing and not self.write_paused:
            self.timer.update()

    def _handle_events(self) -> None:
        next_event = self.http.next_event
        parts = 0
        while not self.closing:
            if parts == framing.PARTS_PER_STEP:
                self._handle_later()
                return
            parts += 1
            event = next_event()
            event_type = type(event)
            if event_type is h11.Request:
                self._handle_request(event)
            elif event_type is h11.Data:
                self.meter.content += len(event.data)
                if self.call is not None:
                    self.call.body_data(event.data)
            elif event_type is h11.EndOfMessage:
                if self.call is not None:
                    self.call.body_end(event)
                if self.call is not None:
                    return
            else:
                self._check_framing()
                return

    def _discard(self, nbytes: int) -> None:
        """Counts what the caller sends after the last response."""
        self.discarded += nbytes
        if self.discarded > framing.MAX_DISCARDED_BYTES and not self.closed:
            self.transport.pause_reading()

    def _handle_later(self) -> None:
        """Lets other tasks run before the rest of the data is handled."""
        self._check_framing()
        if not self.step_due and not self.closing:
            self.step_due = True
            self._update_reading()
            self.loop.call_soon(self._resume_events)

    def _resume_events(self) -> None:
        self.step_due = False
        self.process_events()
        self._update_reading()

    def _check_framing(self) -> None:
        if self.call is None or self.http.their_state is not h11.SEND_BODY:
            return
        if self.meter.is_excessive():
            detail = "The body has too much framing."
            self.call.fail(Failure(ErrorKind.BODY_MALFORMED, detail))

    def _handle_request(self, event: h11.Request) -> None:
        self.meter = framing.FramingMeter(self.http)
        limit = self.limits.max_head_bytes
        if self.head_bytes > limit:
            size = sum(
                len(n) + len(v) + 4 for n, v in event.headers.raw_items()
            )
            if size + len(event.target) > limit:
                self.proxy.reject(self, Failure(ErrorKind.HEAD_TOO_LARGE))
                return
        self.proxy.start_call(self, event)

    def _handle_protocol_error(self, error: h11.RemoteProtocolError) -> None:
        if self.call is not None:
            self.call.fail(Failure(ErrorKind.BODY_MALFORMED, str(error)))
        else:
            self.proxy.reject(self, _head_failure(error))

    def _fail_internally(self) -> None:
        if self.call is not None:
            self.call.fail_internally()
        else:
            self.transport.abort()

    def _start_next_cycle(self) -> None:
        self.http.start_next_cycle()
        self.head_bytes = len(self.http.trailing_data[0])
        self.head_started_at = self.loop.time()
        self.pipelined_bytes = self.head_bytes
        self.body_paused = False
        self._pause_pipeline(self.head_bytes > self.limits.max_head_bytes)
        if self.proxy.refusing and not self.head_bytes:
            self.close_gracefully()
        elif self.processing:
            return
        elif self.head_bytes:
            self.loop.call_soon(self.process_events)
        elif not self.write_paused:
            self.timer.wait_for_request()

    def _is_all_read(self) -> bool:
        # Closing with unread data would reset the connection and lose the
        # response in transit.
        ended = self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return (
            ended and not self.reading_paused and not self.http.trailing_data[0]
        )

    def _pause_pipeline(self, paused: bool) -> None:
        self.pipeline_paused = paused
        self._update_reading()

    def _update_reading(self) -> None:
        paused = self.body_paused or self.pipeline_paused or self.step_due
        if paused == self.reading_paused or self.closed or self.closing:
            return
        self.reading_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if not self.write_paused and not self.processing:
            self.timer.update()

    def _resume_pipeline(self) -> None:
        self.process_events()
        if self.call is None and not self.write_paused:
            self._pause_pipeline(False)

    def _count_pipelined(self, nbytes: int) -> None:
        self.pipelined_bytes += nbytes
        if self.pipelined_bytes > self.limits.max_head_bytes:
            self._pause_pipeline(True)

    def _end_call(self) -> None:
        call = self.call
        self.call = None
        if call is not None:
            call.disconnected()


def _head_failure(error: h11.RemoteProtocolError) -> Failure:
    detail = str(error)
    if error.error_status_hint == 431:
        return Failure(ErrorKind.HEAD_TOO_LARGE)
    if "Content-Length" in detail:
        return Failure(ErrorKind.AMBIGUOUS_LENGTH, detail)
    if error.error_status_hint == 501:
        return Failure(ErrorKind.METHOD_UNSUPPORTED, detail)
    return Failure(ErrorKind.MALFORMED_REQUEST, detail)
