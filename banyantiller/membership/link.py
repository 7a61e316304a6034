"""One established link to a peer: a bounded outbox, a writer and a reader."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
import websockets
from websockets.asyncio.connection import Connection

from banyantiller.membership import messages

log = structlog.get_logger("banyantiller.membership")

MOST_QUEUED_MESSAGES = 1024
MOST_QUEUED_BYTES = 1_500_000
SMALL_FRAME = 126
MEDIUM_FRAME = 65536
MASK_BYTES = 4

CLOSE_NORMAL = 1000
CLOSE_LEAVING = 1001
CLEAN_CODES = (CLOSE_NORMAL, CLOSE_LEAVING)


class Traffic:
    """Counts what travels on all links of a daemon.

    Attributes:
        bytes_in: Bytes of received frames, without TCP and IP headers.
        bytes_out: Bytes of sent frames, without TCP and IP headers.
        messages_in: Messages received.
        messages_out: Messages sent.
        dropped: Messages that a full outbox refused.
    """

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0
        self.dropped = 0


def frame_size(length: int, masked: bool) -> int:
    """Returns the bytes of a WebSocket frame with a payload of `length`."""
    if length < SMALL_FRAME:
        head = 2
    elif length < MEDIUM_FRAME:
        head = 4
    else:
        head = 10
    return head + length + (MASK_BYTES if masked else 0)


class Link:
    """A link whose handshake is done.

    Attributes:
        hello: The peer's `Hello`.
        dialed: Whether this daemon opened the link.
        last_heard: Loop time of the last message from the peer.
        sequence: Number of heartbeats sent.
        send: Writes the bytes of one message.
        code: Close code, or None while open or if lost.
    """

    def __init__(
        self,
        websocket: Connection,
        hello: messages.Hello,
        dialed: bool,
        traffic: Traffic,
        now: float,
    ) -> None:
        self.websocket = websocket
        self.hello = hello
        self.dialed = dialed
        self.traffic = traffic
        self.opened = now
        self.last_heard = now
        self.sequence = 0
        self.code: int | None = None
        self.send: Callable[[bytes], Awaitable[None]] = websocket.send
        self.outbox: collections.deque[bytes] = collections.deque()
        self.queued_bytes = 0
        self.waiting = asyncio.Event()

    @property
    def daemon(self) -> str:
        """Name of the peer."""
        return self.hello.daemon

    def post(self, message: Any) -> bool:
        """Queues a message; False if the outbox is full."""
        return self.post_bytes(messages.encode(message))

    def post_bytes(self, data: bytes) -> bool:
        """Queues an encoded message; False if the outbox is full."""
        full = (
            len(self.outbox) >= MOST_QUEUED_MESSAGES
            or self.queued_bytes + len(data) > MOST_QUEUED_BYTES
        )
        if full or self.code is not None:
            self.traffic.dropped += 1
            return False
        self.outbox.append(data)
        self.queued_bytes += len(data)
        self.waiting.set()
        return True

    async def run(self, receive: Callable[[Any], None]) -> None:
        """Writes and reads until the link ends.

        Args:
            receive: Called with each decoded message.
        """
        writer = asyncio.create_task(self._write())
        try:
            await self._read(receive)
        except (websockets.ConnectionClosed, OSError):
            pass
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            received = self.websocket.close_code
            if self.code is None and received in CLEAN_CODES:
                self.code = received

    def abort(self) -> None:
        """Ends the link without waiting for the peer."""
        self.websocket.transport.abort()

    async def close(self, code: int, reason: str = "") -> None:
        """Sends what is queued, then closes with a code."""
        if self.code is not None:
            return
        while self.outbox and self.websocket.close_code is None:
            await self._write_next()
        self.code = code
        await self.websocket.close(code, reason)

    async def _read(self, receive: Callable[[Any], None]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await self.websocket.recv(decode=False)
            self.last_heard = loop.time()
            self.traffic.messages_in += 1
            self.traffic.bytes_in += frame_size(len(data), not self.dialed)
            try:
                message = messages.decode(data)
            except messages.MessageError as error:
                log.warning(
                    "membership: a peer sent a malformed message.",
                    peer=self.daemon,
                    error=str(error),
                )
                self.abort()
                return
            if message is not None:
                receive(message)

    async def _write(self) -> None:
        try:
            while True:
                await self.waiting.wait()
                self.waiting.clear()
                while self.outbox:
                    await self._write_next()
        except (websockets.ConnectionClosed, OSError):
            self.abort()

    async def _write_next(self) -> None:
        data = self.outbox.popleft()
        self.queued_bytes -= len(data)
        await self.send(data)
        self.traffic.messages_out += 1
        self.traffic.bytes_out += frame_size(len(data), self.dialed)
