"""One client connection: writes requests and reads responses."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

import h11

from banyantiller.http import body_memory, messages
from banyantiller.utils import framing

if TYPE_CHECKING:
    import ssl


# Size of the parts in which a request is written. The rest of a longer one is
# not given to the transport yet, which would copy it.
WRITE_BYTES = 256 << 10
# Linger time of zero, with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionLostError(Exception):
    """The remote side closed the connection early or broke the protocol."""


class BodyTooLargeError(Exception):
    """A response body exceeds the limit."""


class ClientConnection:
    """A connection that carries one exchange at a time.

    Attributes:
        last_response_at: Loop time of the end of the last response, or None.
        idle_read: Read between exchanges that detects unsolicited bytes.
        has_unmatched_response: Whether a response to another request was read.
        meter: Framing of the response body that is being read, or None.
        steps: Counts the parts that are parsed.
        writing: Writes the rest of a long request, or None.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head_bytes: int,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.head_bytes = head_bytes
        self.codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=head_bytes
        )
        self.has_unmatched_response = False
        self.last_response_at: float | None = None
        self.idle_read: asyncio.Task[bytes] | None = None
        self.meter: framing.FramingMeter | None = None
        self.steps = framing.StepCounter()
        self.writing: asyncio.Task[None] | None = None

    @classmethod
    async def open(
        cls,
        address: str,
        port: int,
        head_bytes: int,
        tls: "ssl.SSLContext | None" = None,
        server_name: str = "",
        source: str = "",
    ) -> "ClientConnection":
        """Opens a connection.

        Args:
            address: IP number of the remote side.
            port: Its port.
            head_bytes: Maximum size of a response head, in bytes.
            tls: TLS context, or None for no TLS.
            server_name: Name that the certificate must have; empty for the
                address.
            source: IP number to connect from; empty for the system's choice.

        Raises:
            OSError: The connection or its TLS handshake failed.
        """
        name = (server_name or address) if tls else None
        reader, writer = await asyncio.open_connection(
            address,
            port,
            ssl=tls,
            server_hostname=name,
            local_addr=(source, 0) if source else None,
        )
        return cls(reader, writer, head_bytes)

    def abort_when_unresponsive(self, silence_s: int) -> None:
        """Makes the system abort a connection whose remote side is gone.

        `TCP_USER_TIMEOUT` limits unacknowledged data. On Linux it also decides
        when keep-alive probes give up, whatever their count, so that both are
        set to the same time.

        Args:
            silence_s: Time without an acknowledgement, in seconds; at least 2.
        """
        raw = self.writer.get_extra_info("socket")
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, silence_s - 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_s * 1000),
        )
        for level, name, value in options:
            raw.setsockopt(level, name, value)

    async def resume(self) -> bool:
        """Prepares an idle connection for reuse.

        Unsolicited bytes would be taken for the response to the next request.

        Returns:
            Whether the connection can be used.
        """
        if self.idle_read is None or self.idle_read.done():
            return False
        self.idle_read.cancel()
        await asyncio.wait([self.idle_read])
        is_unused = self.idle_read.cancelled()
        self.idle_read = None
        return is_unused and not self.writer.is_closing()

    async def send(self, request: messages.Request) -> None:
        """Writes a request and waits until the write buffer has drained.

        Raises:
            OSError: The connection failed.
        """
        self.write(request)
        if self.writing is not None:
            await asyncio.wait({self.writing})
        await self.writer.drain()

    def write(self, request: messages.Request) -> None:
        """Writes a request without waiting.

        The remote side may respond before it has received all of it.
        """
        parts = self._encode(request)
        if len(request.body) <= WRITE_BYTES:
            self.writer.writelines(parts)
        else:
            self.writing = asyncio.ensure_future(self._write_parts(parts))

    def expect_again(self, request: messages.Request) -> None:
        """Prepares to read another response to a request that was written.

        Called after a complete response that belongs to another request. The
        connection is not reused afterwards, since it may carry more responses
        to other requests.

        Raises:
            ConnectionLostError: The remote side has closed the connection.
        """
        trailing_data, closed = self.codec.trailing_data
        if closed and not trailing_data:
            raise ConnectionLostError("the connection was closed")
        self.codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self.head_bytes
        )
        self._encode(request)
        self.has_unmatched_response = True
        if trailing_data:
            self.codec.receive_data(trailing_data)

    async def read_head(self) -> messages.Response:
        """Reads the head of the final response, skipping informational ones.

        Raises:
            ConnectionLostError: The connection closed or sent invalid HTTP.
        """
        self.meter = None
        for _ in range(framing.MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.meter = framing.FramingMeter(self.codec)
                return messages.Response(
                    event.status_code, messages.decode_headers(event.headers)
                )
        raise ConnectionLostError("too many informational responses")

    async def read_chunk(self) -> bytes:
        """Reads a chunk of the response body; empty at its end.

        Raises:
            ConnectionLostError: The connection closed or sent invalid HTTP.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b""
            if isinstance(event, h11.Data) and event.data:
                self.meter.content += len(event.data)
                return bytes(event.data)

    async def read_body(
        self, max_bytes: int, memory: body_memory.BodyMemory | None = None
    ) -> bytes:
        """Reads the rest of the response body.

        Args:
            max_bytes: Maximum size.
            memory: Memory that it shares with other bodies, or None.

        Raises:
            ConnectionLostError: The connection closed or sent invalid HTTP.
            BodyTooLargeError: The body is longer than `max_bytes` bytes, or
                too large for the memory that is free.
        """
        # A memory of its own allows a body half of it, which is its limit.
        memory = memory or body_memory.BodyMemory(2 * max_bytes)
        body = bytearray()
        try:
            while chunk := await self.read_chunk():
                body += chunk
                memory.used += len(chunk)
                if len(body) > max_bytes:
                    raise BodyTooLargeError(f"a body is over {max_bytes} bytes")
                if not memory.allows(len(body)):
                    raise BodyTooLargeError("no memory is free for a body")
            return bytes(body)
        finally:
            memory.used -= len(body)

    def finish(self) -> bool:
        """Ends an exchange and watches the idle connection.

        Returns:
            Whether the connection can be reused.
        """
        if not self.ready_again():
            return False
        self.watch_idle()
        return True

    def watch_idle(
        self, on_unusable: Callable[[bool], None] | None = None
    ) -> None:
        """Starts to watch for unsolicited bytes until `resume` is called.

        The connection is closed at the first one: more may follow without end,
        and would be buffered.

        Args:
            on_unusable: Called once the connection was closed, with whether
                the remote side sent bytes.
        """
        self.idle_read = asyncio.ensure_future(self.reader.read(1))

        def close(read: asyncio.Task[bytes]) -> None:
            if read.cancelled():
                return
            self.close()
            has_received = read.exception() is None and bool(read.result())
            if on_unusable is not None:
                on_unusable(has_received)

        self.idle_read.add_done_callback(close)

    def ready_again(self) -> bool:
        """Ends an exchange; returns whether the connection can be reused."""
        if self.has_unmatched_response or self.codec.trailing_data[0]:
            return False
        is_writing = self.writing is not None and not self.writing.done()
        if is_writing or self.writer.transport.get_write_buffer_size():
            # The response arrived before the request was read completely.
            return False
        try:
            self.codec.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.last_response_at = asyncio.get_running_loop().time()
        return True

    def reset(self) -> None:
        """Aborts the connection and discards the bytes that were not received.

        On a link that passes nothing, a request would otherwise arrive when
        the link is back, long after it was given up.
        """
        raw = self.writer.get_extra_info("socket")
        if raw is not None and not self.writer.is_closing():
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Aborts the connection."""
        if self.idle_read is not None:
            self.idle_read.cancel()
        if self.writing is not None:
            self.writing.cancel()
        self.writer.transport.abort()

    async def _write_parts(self, parts: list[bytes]) -> None:
        """Writes a long request as fast as the remote side receives it."""
        try:
            for part in parts:
                view = memoryview(part)
                for start in range(0, len(view), WRITE_BYTES):
                    self.writer.write(bytes(view[start : start + WRITE_BYTES]))
                    await self.writer.drain()
        except OSError:
            # Reading the response reports how the connection ended.
            return

    def _encode(self, request: messages.Request) -> list[bytes]:
        """Returns the parts of a request; its body is not copied."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=messages.encode_headers(request.headers),
        )
        parts = [self.codec.send(head)]
        if request.body:
            data = h11.Data(data=request.body)
            parts += self.codec.send_with_data_passthrough(data)
        parts.append(self.codec.send(h11.EndOfMessage()))
        return [part for part in parts if part]

    async def _next_event(self) -> h11.Event:
        while True:
            if self.steps.ends_step():
                self._check_framing()
                await asyncio.sleep(0)
            try:
                event = self.codec.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLostError(f"not valid HTTP: {error}") from error
            if event is h11.NEED_DATA:
                self._check_framing()
                data = await self._read()
                if self.meter is not None:
                    self.meter.received += len(data)
                self.codec.receive_data(data)
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("the connection was closed")
            return event

    def _check_framing(self) -> None:
        if self.meter is not None and self.meter.is_excessive():
            raise ConnectionLostError("a body has too much framing")

    async def _read(self) -> bytes:
        try:
            data = await self.reader.read(messages.READ_BYTES)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        if not data and self.codec.their_state is h11.SEND_RESPONSE:
            raise ConnectionLostError("the connection was closed")
        return data
