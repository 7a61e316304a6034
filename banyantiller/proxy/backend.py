"""One connection to a backend server: h11 as the client."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import h11
import structlog

from banyantiller.errors import ErrorKind
from banyantiller.proxy import buffers, codec, guard, watchdog

log = structlog.get_logger("banyantiller.proxy")

HEAD_TOO_LARGE_HINT = 431

END_OF_STREAM = b""


class Exchange(Protocol):
    """Who uses a connection for one request and its answer."""

    def informational(self, event: h11.InformationalResponse) -> None:
        """Takes an informational answer."""

    def head(self, event: h11.Response) -> None:
        """Takes the answer head."""

    def data(self, data: bytes) -> None:
        """Takes a part of the answer body."""

    def end(self, event: h11.EndOfMessage) -> None:
        """Takes the end of the answer."""

    def failed(self, kind: ErrorKind) -> None:
        """The connection broke before the end of the answer."""

    def flush(self) -> None:
        """All that was read at once has been passed on."""

    def writable(self, now: bool) -> None:
        """The connection takes more, or must not be given more."""


class Home(Protocol):
    """The pool that a connection belongs to."""

    def give_back(self, connection: "BackendConnection") -> None:
        """Takes a connection that can be used again."""

    def lost(self, connection: "BackendConnection") -> None:
        """Forgets a connection that is closing."""


class BackendConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads its answer.

    Attributes:
        exchange: The present user, or None while idle.
        last_answer: Loop time of the last whole answer, or of the connect.
        reused: Whether an earlier exchange used the connection.
        heard: Whether any byte came since the exchange began.
        wrote: Whether any byte was written since the exchange began.
        paused: Whether the transport's write buffer is full.
    """

    def __init__(
        self,
        home: Home,
        loop: asyncio.AbstractEventLoop,
        max_head_bytes: int,
        silence_s: float,
    ) -> None:
        self.home = home
        self.loop = loop
        self.max_head_bytes = max_head_bytes
        self.silence_s = silence_s
        self.http = codec.Connection(
            h11.CLIENT, max_incomplete_event_size=max_head_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.out: list[bytes] = []
        self.last_answer = loop.time()
        self.reused = False
        self.heard = False
        self.wrote = False
        self.paused = False
        self.gone = False
        self.pumping = False
        self.head_bytes = 0
        self.watch = watchdog.Watchdog(loop, self._silent)

    # Called by the transport.

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(
            buffers.HIGH_WATER_BYTES, buffers.LOW_WATER_BYTES
        )

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Lends the shared buffer for one read."""
        return buffers.SHARED

    def buffer_updated(self, nbytes: int) -> None:
        """Parses what was read and passes it on."""
        self.heard = True
        self.head_bytes += nbytes
        self.http.receive_data(buffers.SHARED[:nbytes])
        self.pump()

    def eof_received(self) -> bool:
        """Parses the end of the stream; the transport then closes."""
        if not self.gone:
            self.http.receive_data(END_OF_STREAM)
            self.pump()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Tells the exchange, if one is running."""
        self._fail(ErrorKind.CONNECTION_LOST)
        self._leave()

    def pause_writing(self) -> None:
        """Tells the exchange to give no more."""
        self.paused = True
        if self.exchange is not None:
            self.exchange.writable(False)

    def resume_writing(self) -> None:
        """Tells the exchange to go on."""
        self.paused = False
        if self.exchange is not None:
            self.exchange.writable(True)

    # Called by the exchange.

    def begin(self, exchange: Exchange, request: h11.Request) -> None:
        """Starts an exchange with a request head; call `flush` to send."""
        self.exchange = exchange
        self.heard = False
        self.head_bytes = 0
        self.wrote = False
        self.out.append(self.http.send(request))
        self.watch.set(self.loop.time() + self.silence_s)

    def send_data(self, data: bytes) -> None:
        """Adds a part of the request body."""
        self.out.append(self.http.send(h11.Data(data=data)))

    def send_end(self, event: h11.EndOfMessage) -> None:
        """Adds the end of the request body."""
        data = self.http.send(event)
        if data:
            self.out.append(data)

    def flush(self) -> None:
        """Writes what was added, all at once."""
        if self.out and not self.gone:
            out = self.out
            self.out = []
            self.wrote = True
            if self.watch.due != watchdog.NEVER:
                self.watch.due = self.loop.time() + self.silence_s
            self.transport.write(out[0] if len(out) == 1 else b"".join(out))

    def pause_reading(self) -> None:
        """Stops reading the answer; silence is not counted meanwhile."""
        if not self.gone:
            self.transport.pause_reading()
            self.watch.due = watchdog.NEVER

    def resume_reading(self) -> None:
        """Reads on."""
        if not self.gone:
            self.transport.resume_reading()
            self.watch.set(self.loop.time() + self.silence_s)

    def abort(self) -> None:
        """Closes at once; the exchange is not told."""
        self.exchange = None
        if not self.gone:
            self.transport.abort()
            self._leave()

    def usable(self) -> bool:
        """Tells whether the transport still takes a request."""
        return not self.gone and not self.transport.is_closing()

    # Within.

    def pump(self) -> None:
        """Passes on every event that the bytes read so far contain."""
        if self.pumping:
            return
        self.pumping = True
        exchange = self.exchange
        try:
            self._pass_on()
        except h11.RemoteProtocolError as error:
            self._malformed(error)
        except Exception:
            log.exception("proxy: an answer could not be handled.")
            self._fail(ErrorKind.INTERNAL)
            self.abort()
        finally:
            self.pumping = False
        if exchange is not None:
            exchange.flush()

    def _pass_on(self) -> None:
        while not self.gone:
            if self.exchange is None:
                # An idle connection has nothing to say but that it closes.
                self.abort()
                return
            event = self.http.next_event()
            kind = type(event)
            if kind is h11.Data:
                self.exchange.data(event.data)
            elif kind is h11.EndOfMessage:
                self._ended(event)
                return
            elif kind is h11.Response:
                self._head(event)
            elif kind is h11.InformationalResponse:
                self.exchange.informational(event)
                self.head_bytes = 0
            else:
                self._wait()
                return

    def _head(self, event: h11.Response) -> None:
        if self.head_bytes > self.max_head_bytes:
            size = sum(
                len(n) + len(v) + 4 for n, v in event.headers.raw_items()
            )
            if size > self.max_head_bytes:
                self._fail(ErrorKind.BACKEND_HEAD_TOO_LARGE)
                self.abort()
                return
        self.exchange.head(event)

    def _wait(self) -> None:
        if self.http.their_state is h11.CLOSED:
            self._fail(ErrorKind.CONNECTION_LOST)
            self.abort()
        elif self.watch.due != watchdog.NEVER:
            self.watch.due = self.loop.time() + self.silence_s

    def _ended(self, event: h11.EndOfMessage) -> None:
        exchange = self.exchange
        self.exchange = None
        self.watch.due = watchdog.NEVER
        self.last_answer = self.loop.time()
        # First the connection, then the exchange, whose end may start a call
        # that waits for a connection.
        if not guard.run(self._go_home):
            guard.run(self.abort)
        guard.run(exchange.end, event)

    def _go_home(self) -> None:
        if self._can_reuse():
            self.http.start_next_cycle()
            self.reused = True
            self.home.give_back(self)
        else:
            self.abort()

    def _can_reuse(self) -> bool:
        http = self.http
        return (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and http.trailing_data == (b"", False)
            and not self.paused
            and not self.out
        )

    def _malformed(self, error: h11.RemoteProtocolError) -> None:
        ended = self.http.trailing_data[1]
        if error.error_status_hint == HEAD_TOO_LARGE_HINT:
            kind = ErrorKind.BACKEND_HEAD_TOO_LARGE
        elif ended and not self.heard:
            kind = ErrorKind.CONNECTION_LOST
        elif ended:
            kind = ErrorKind.BACKEND_INCOMPLETE
        else:
            kind = ErrorKind.BACKEND_MALFORMED
        self._fail(kind)
        self.abort()

    def _silent(self) -> None:
        self._fail(ErrorKind.BACKEND_TIMEOUT)
        self.abort()

    def _fail(self, kind: ErrorKind) -> None:
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            guard.run(exchange.failed, kind)
            exchange.flush()

    def _leave(self) -> None:
        if self.gone:
            return
        self.gone = True
        self.out.clear()
        self.watch.stop()
        self.home.lost(self)


ConnectionFactory = Callable[[Home], BackendConnection]
