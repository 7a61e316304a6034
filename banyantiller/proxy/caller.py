"""One connection from a caller: h11 as the server."""

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Any

import h11
import structlog

from banyantiller.errors import ErrorKind, Failure
from banyantiller.proxy import answers, buffers, codec, headers, patience

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls
    from banyantiller.proxy import proxy as proxies

log = structlog.get_logger("banyantiller.proxy")

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests one after the other and writes their answers in order.

    Attributes:
        call: The call whose answer is due, or None.
        head_began: Loop time of the first byte of the present head.
        held: Whether reading has stopped, because the body can't be passed
            on yet (`body_held`) or enough is read ahead (`ahead_held`).
        paused: Whether the transport's write buffer is full.
        pumping: Whether events are being passed on; writing waits for the end.
        closing: Whether nothing more will be answered.
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
        self.out: list[bytes] = []
        self.head_began = 0.0
        self.head_bytes = 0
        self.ahead_bytes = 0
        self.paused = False
        self.held = False
        self.body_held = False
        self.ahead_held = False
        self.pumping = False
        self.closing = False
        self.gone = False
        self.patience = patience.Patience(self)

    # Called by the transport.

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport, or refuses one connection too many."""
        self.transport = transport
        transport.set_write_buffer_limits(
            buffers.HIGH_WATER_BYTES, buffers.LOW_WATER_BYTES
        )
        self.head_began = self.loop.time()
        self.patience.idle()
        if not self.proxy.enter(self):
            detail = "Too many connections."
            self.proxy.reject(self, Failure(ErrorKind.QUEUE_FULL, detail, 1.0))

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Lends the shared buffer for one read."""
        return buffers.SHARED

    def buffer_updated(self, nbytes: int) -> None:
        """Parses what was read and acts on it."""
        if self.closing:
            return
        if self.call is None:
            if self.head_bytes == 0:
                self.head_began = self.loop.time()
            self.head_bytes += nbytes
            if self.paused:
                self._hold_ahead(True)
        elif self.http.their_state is h11.DONE:
            self._count_ahead(nbytes)
        self.http.receive_data(buffers.SHARED[:nbytes])
        self.pump()

    def eof_received(self) -> bool:
        """The caller left; a half-closed connection counts as closed."""
        self._caller_gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancels the running call."""
        self.gone = True
        self._caller_gone()
        self.patience.stop()
        self.proxy.leave(self)

    def pause_writing(self) -> None:
        """The caller reads slowly: stop reading its answer."""
        self.paused = True
        if not self.closing:
            self.patience.writing()
        if self.call is not None:
            self.call.caller_writable(False)

    def resume_writing(self) -> None:
        """The caller caught up."""
        self.paused = False
        if not self.closing:
            self.patience.reconsider()
        if self.call is not None:
            self.call.caller_writable(True)
        elif self.head_bytes:
            self.loop.call_soon(self._go_on)

    # Called by the call.

    def send_informational(
        self, status: int, fields: list[headers.Field]
    ) -> None:
        """Adds an informational answer."""
        event = h11.InformationalResponse(
            status_code=status, headers=headers.Checked(fields)
        )
        self.out.append(self.http.send(event))
        if not self.pumping:
            self.flush()

    def send_head(
        self,
        status: int,
        reason: bytes,
        fields: list[headers.Field],
        body_missing: bool,
    ) -> None:
        """Adds an answer head.

        Args:
            status: Status code.
            reason: Reason phrase.
            fields: Header fields.
            body_missing: Whether the request body is not complete, so that
                the connection can't be used again.
        """
        if body_missing or self.proxy.draining:
            fields = [*fields, headers.CLOSE]
        if self.patience.wait is patience.Wait.BODY:
            self.patience.answering()
        event = h11.Response(
            status_code=status, headers=headers.Checked(fields), reason=reason
        )
        self.out.append(self.http.send(event))

    def send_data(self, data: bytes) -> None:
        """Adds a part of an answer body."""
        self.out.append(self.http.send(h11.Data(data=data)))

    def send_end(self, event: h11.EndOfMessage) -> None:
        """Adds the end of an answer; HTTP/1.0 has no trailers."""
        if event.headers and self.http.their_http_version < b"1.1":
            event = headers.END
        data = self.http.send(event)
        if data:
            self.out.append(data)

    def send_own(self, answer: answers.OwnAnswer, body_missing: bool) -> None:
        """Adds a whole answer that no backend server gave."""
        fields = headers.received(headers.check(answer.fields))
        self.send_head(answer.status, b"", fields, body_missing)
        is_head = self.call and self.call.request.method == b"HEAD"
        if answer.body and not is_head:
            self.send_data(answer.body)
        self.send_end(headers.END)

    def answer_done(self) -> None:
        """Writes the answer; goes on with the next request or closes."""
        self.call = None
        self.flush()
        if self.gone or self.closing:
            return
        http = self.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            self._next_cycle()
        else:
            self.shut()

    def flush(self) -> None:
        """Writes what was added, all at once."""
        if self.out and not self.gone:
            out = self.out
            self.out = []
            self.transport.write(out[0] if len(out) == 1 else b"".join(out))

    def hold_reading(self, hold: bool) -> None:
        """Stops or starts reading the body of the present request."""
        self.body_held = hold
        self._regulate()

    def cut(self) -> None:
        """Breaks the connection so that the answer can't seem whole."""
        self.call = None
        if self.gone:
            return
        self.flush()
        self.closing = True
        raw = self.transport.get_extra_info("socket")
        if isinstance(raw, asyncio.trsock.TransportSocket):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def shut(self) -> None:
        """Closes after all that was written has been sent."""
        if self.closing or self.gone:
            return
        self.closing = True
        self.patience.lingering()
        if self._all_read():
            self.transport.close()
            return
        if self.held:
            self.transport.resume_reading()
        if self.transport.can_write_eof():
            try:
                self.transport.write_eof()
            except OSError:
                # The caller has reset the connection.
                self.transport.abort()

    def give_up(self) -> None:
        """Closes at once; a running call counts as left by its caller."""
        self._caller_gone()
        self.transport.abort()

    def shut_if_idle(self) -> None:
        """Closes unless a request is running or arriving."""
        if self.call is None and self.head_bytes == 0:
            self.shut()

    # Within.

    def pump(self) -> None:
        """Acts on every event that the bytes read so far contain."""
        if self.pumping or self.closing or self.gone:
            return
        if self.paused and self.call is None:
            # The next request waits until earlier answers are being read.
            return
        self.pumping = True
        try:
            self._act()
        except h11.RemoteProtocolError as error:
            self._malformed(error)
        except Exception:
            log.exception("proxy: a request could not be handled.")
            self._internal_error()
        finally:
            self.pumping = False
        if self.call is not None:
            self.call.flush()
        self.flush()
        if not self.closing and not self.paused:
            self.patience.reconsider()

    def _act(self) -> None:
        next_event = self.http.next_event
        while not self.closing:
            event = next_event()
            kind = type(event)
            if kind is h11.Request:
                self._request(event)
            elif kind is h11.Data:
                if self.call is not None:
                    self.call.body_data(event.data)
            elif kind is h11.EndOfMessage:
                if self.call is not None:
                    self.call.body_end(event)
                if self.call is not None:
                    return
            else:
                return

    def _request(self, event: h11.Request) -> None:
        limit = self.limits.max_head_bytes
        if self.head_bytes > limit:
            size = sum(
                len(n) + len(v) + 4 for n, v in event.headers.raw_items()
            )
            if size + len(event.target) > limit:
                self.proxy.reject(self, Failure(ErrorKind.HEAD_TOO_LARGE))
                return
        self.proxy.begin(self, event)

    def _malformed(self, error: h11.RemoteProtocolError) -> None:
        if self.call is not None:
            self.call.fail(Failure(ErrorKind.BODY_MALFORMED, str(error)))
        else:
            self.proxy.reject(self, _head_failure(error))

    def _internal_error(self) -> None:
        if self.call is not None:
            self.call.crash()
        else:
            self.transport.abort()

    def _next_cycle(self) -> None:
        self.http.start_next_cycle()
        self.head_bytes = len(self.http.trailing_data[0])
        self.head_began = self.loop.time()
        self.ahead_bytes = self.head_bytes
        self.body_held = False
        self._hold_ahead(self.head_bytes > self.limits.max_head_bytes)
        if self.proxy.refusing and not self.head_bytes:
            self.shut()
        elif self.pumping:
            return
        elif self.head_bytes:
            self.loop.call_soon(self.pump)
        elif not self.paused:
            self.patience.idle()

    def _all_read(self) -> bool:
        # Closing with bytes unread would reset the connection, and the
        # answer on its way would be lost.
        ended = self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return ended and not self.held and not self.http.trailing_data[0]

    def _hold_ahead(self, hold: bool) -> None:
        self.ahead_held = hold
        self._regulate()

    def _regulate(self) -> None:
        hold = self.body_held or self.ahead_held
        if hold == self.held or self.gone or self.closing:
            return
        self.held = hold
        if hold:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        if not self.paused and not self.pumping:
            self.patience.reconsider()

    def _go_on(self) -> None:
        self.pump()
        if self.call is None and not self.paused:
            self._hold_ahead(False)

    def _count_ahead(self, nbytes: int) -> None:
        self.ahead_bytes += nbytes
        if self.ahead_bytes > self.limits.max_head_bytes:
            self._hold_ahead(True)

    def _caller_gone(self) -> None:
        call = self.call
        self.call = None
        if call is not None:
            call.caller_gone()


def _head_failure(error: h11.RemoteProtocolError) -> Failure:
    detail = str(error)
    if error.error_status_hint == 431:
        return Failure(ErrorKind.HEAD_TOO_LARGE)
    if "Content-Length" in detail:
        return Failure(ErrorKind.AMBIGUOUS_LENGTH, detail)
    if error.error_status_hint == 501:
        return Failure(ErrorKind.METHOD_UNSUPPORTED, detail)
    return Failure(ErrorKind.MALFORMED_REQUEST, detail)
