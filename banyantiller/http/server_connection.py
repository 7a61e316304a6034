"""One server connection: reads requests and answers them in order."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import h11
import structlog

from banyantiller.http import messages
from banyantiller.utils import framing

log = structlog.get_logger("banyantiller.http")

BODILESS = (204, 304)
LINGER_S = 1.0


class CutError(Exception):
    """Raised by a handler or a streamed body to cut the connection.

    Attributes:
        raw: Bytes to write before the connection is cut.
    """

    def __init__(self, raw: bytes = b"") -> None:
        super().__init__("The connection is cut.")
        self.raw = raw


class RequestRefusedError(Exception):
    """A request that gets an error response and closes the connection.

    Attributes:
        status: Status code of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ServerConnection:
    """Serves one connection until either side closes it.

    Attributes:
        received_early: Bytes that arrived while a request was being answered.
        stopping: Whether the connection closes after its next response.
        idle: Task that waits for the first byte of a request, or None.
        steps: Counts the parts that are parsed.
        meter: Framing of the request body that is being read, or None.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Callable[[messages.Request], Awaitable[messages.Response]],
        limits: messages.Limits,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.handler = handler
        self.limits = limits
        self.codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self.received_early = b""
        self.stopping = False
        self.idle: asyncio.Task[h11.Event | None] | None = None
        self.steps = framing.StepCounter()
        self.meter: framing.FramingMeter | None = None

    async def run(self) -> None:
        """Answers requests in order."""
        try:
            while True:
                request = await self._read_request()
                if request is None or not await self._answer(request):
                    return
        except RequestRefusedError as error:
            await self._refuse(error)
        except CutError as cut:
            self.writer.write(cut.raw)
            await self._close()
        except (OSError, h11.LocalProtocolError):
            pass

    def stop_reading(self) -> None:
        """Closes the connection, at once if no request byte has arrived."""
        self.stopping = True
        if self.idle is not None:
            self.idle.cancel()

    async def _read_request(self) -> messages.Request | None:
        """Reads a complete request; returns None if the caller has closed."""
        head = await self._read_head()
        if head is None:
            return None
        try:
            async with asyncio.timeout(self.limits.body_s):
                body = await self._read_body()
        except TimeoutError:
            raise RequestRefusedError(408, "the body came too late") from None
        return messages.Request(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            messages.decode_headers(head.headers),
            body,
        )

    async def _read_head(self) -> h11.Request | None:
        if not await self._wait_for_byte():
            return None
        try:
            async with asyncio.timeout(self.limits.head_s):
                return await self._next_event()
        except TimeoutError:
            raise RequestRefusedError(408, "the head came too late") from None

    async def _wait_for_byte(self) -> bool:
        """Waits for the first byte of a request; returns False without one."""
        if self.received_early or self.codec.trailing_data[0]:
            return True
        self.idle = asyncio.ensure_future(self.reader.read(messages.READ_BYTES))
        try:
            await asyncio.wait([self.idle], timeout=self.limits.idle_s)
            if not self.idle.done() or self.idle.cancelled():
                return False
            self.received_early = self.idle.result()
            return bool(self.received_early)
        finally:
            self.idle.cancel()
            self.idle = None

    async def _read_body(self) -> bytes:
        body = bytearray()
        self.meter = framing.FramingMeter(self.codec)
        if self.codec.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self.writer.write(self.codec.send(continue_response))
        while isinstance(event := await self._next_event(), h11.Data):
            self.meter.content += len(event.data)
            if self.meter.content > self.limits.body_bytes:
                raise RequestRefusedError(413, "the body is too large")
            body += event.data
        self.meter = None
        return bytes(body)

    async def _next_event(self) -> h11.Event | None:
        """Returns the next event, or None if the caller has closed."""
        while True:
            if self.steps.ends_step():
                self._check_framing()
                await asyncio.sleep(0)
            try:
                event = self.codec.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRefusedError(
                    error.error_status_hint, str(error)
                ) from error
            if event is not h11.NEED_DATA:
                closed = event is h11.PAUSED or isinstance(
                    event, h11.ConnectionClosed
                )
                return None if closed else event
            data = self.received_early or await self.reader.read(
                messages.READ_BYTES
            )
            self.received_early = b""
            self._check_framing()
            if self.meter is not None:
                self.meter.received += len(data)
            self.codec.receive_data(data)

    def _check_framing(self) -> None:
        if self.meter is not None and self.meter.is_excessive():
            raise RequestRefusedError(400, "the body has too much framing")

    async def _answer(self, request: messages.Request) -> bool:
        """Answers a request unless the caller disconnects meanwhile.

        Returns:
            Whether the connection can be reused.
        """
        answering = asyncio.ensure_future(self._respond(request))
        watching = asyncio.ensure_future(self._watch_caller())
        try:
            await asyncio.wait(
                (answering, watching), return_when=asyncio.FIRST_COMPLETED
            )
            if not answering.done() and not watching.result():
                return False
            return await answering
        finally:
            answering.cancel()
            watching.cancel()
            await asyncio.gather(answering, watching, return_exceptions=True)

    async def _watch_caller(self) -> bool:
        """Returns True when the caller sends more, False when it closes."""
        try:
            data = await self.reader.read(messages.READ_BYTES)
        except OSError:
            return False
        self.received_early += data
        return bool(data)

    async def _respond(self, request: messages.Request) -> bool:
        try:
            response = await self.handler(request)
        except CutError:
            raise
        except Exception:
            log.exception("http: a handler failed.", target=request.target)
            response = messages.Response(500, body=b"internal error\n")
        await self._send(request.method, response)
        if self.codec.our_state is h11.MUST_CLOSE:
            await self._close()
            return False
        self.codec.start_next_cycle()
        return True

    async def _send(self, method: str, response: messages.Response) -> None:
        head = self._build_head(response)
        self.writer.write(self.codec.send(head))
        if method == "HEAD" or response.status in BODILESS:
            pass
        elif isinstance(response.body, bytes):
            self.writer.write(self.codec.send(h11.Data(data=response.body)))
        else:
            async for chunk in response.body:
                self.writer.write(self.codec.send(h11.Data(data=chunk)))
                await self.writer.drain()
        self.writer.write(self.codec.send(h11.EndOfMessage()))
        await self.writer.drain()

    def _build_head(self, response: messages.Response) -> h11.Response:
        headers = messages.encode_headers(response.headers)
        sized = response.header("content-length") != ""
        if isinstance(response.body, bytes) and not sized:
            if response.status not in BODILESS:
                length = str(len(response.body)).encode()
                headers.append((b"content-length", length))
        elif not sized:
            headers.append((b"transfer-encoding", b"chunked"))
        if self.stopping:
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=response.status, headers=headers)

    async def _refuse(self, error: RequestRefusedError) -> None:
        if self.codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{error}\n".encode()
        headers = (("connection", "close"), ("content-type", "text/plain"))
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            await self._send(
                "GET", messages.Response(error.status, headers, body)
            )
            await self._linger()
            await self._close()

    async def _linger(self) -> None:
        """Discards what the caller still sends, so that it reads the response.

        Closing with unread bytes would reset the connection. What is over the
        limit stays unread: by then the caller has had time for the response.
        """
        discarded = 0
        if self.writer.can_write_eof():
            self.writer.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                while data := await self.reader.read(messages.READ_BYTES):
                    discarded += len(data)
                    if discarded > framing.MAX_DISCARDED_BYTES:
                        await asyncio.sleep(LINGER_S)

    async def _close(self) -> None:
        """Closes the connection after the written bytes have been sent."""
        self.writer.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.limits.body_s):
                await self.writer.wait_closed()
