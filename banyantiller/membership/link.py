"""An established link to a peer with a bounded outbox."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
import websockets
from websockets.asyncio.connection import Connection

from banyantiller.membership import messages

log = structlog.get_logger("banyantiller.membership")

MAX_QUEUED_MESSAGES = 1024
MAX_QUEUED_BYTES = 1_500_000
MIN_16_BIT_LENGTH = 126
MIN_64_BIT_LENGTH = 65536
MASK_BYTES = 4

CLOSE_NORMAL = 1000
CLOSE_LEAVING = 1001
CLEAN_CLOSE_CODES = (CLOSE_NORMAL, CLOSE_LEAVING)


class Traffic:
    """Traffic counters over all links of a daemon.

    The status page shows them under the names of the attributes.

    Attributes:
        bytes_in: Bytes of received frames, without TCP and IP headers.
        bytes_out: Bytes of sent frames, without TCP and IP headers.
        messages_in: Messages received.
        messages_out: Messages sent.
        dropped: Messages dropped because an outbox was full or a link had
            been closed.
    """

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0
        self.dropped = 0


def frame_size(length: int, masked: bool) -> int:
    """Returns the size of a WebSocket frame with `length` payload bytes."""
    if length < MIN_16_BIT_LENGTH:
        head = 2
    elif length < MIN_64_BIT_LENGTH:
        head = 4
    else:
        head = 10
    return head + length + (MASK_BYTES if masked else 0)


class Link:
    """A link after its handshake.

    Attributes:
        hello: The peer's `Hello`.
        dialed: Whether this daemon opened the link.
        opened_at: Loop time at which it was established.
        last_received_at: Loop time of the last message from the peer.
        heartbeat_sequence: Number of heartbeats sent.
        close_code: Code of a clean close; None while open or if the link
            was lost.
        send: Writes one encoded message.
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
        self.opened_at = now
        self.last_received_at = now
        self.heartbeat_sequence = 0
        self.close_code: int | None = None
        self.send: Callable[[bytes], Awaitable[None]] = websocket.send
        self.outbox: collections.deque[bytes] = collections.deque()
        self.queued_bytes = 0
        self.outbox_ready = asyncio.Event()

    @property
    def daemon(self) -> str:
        """Name of the peer."""
        return self.hello.daemon

    def enqueue(self, message: Any) -> bool:
        """Queues a message; False if the outbox is full or closed."""
        return self.enqueue_encoded(messages.encode(message))

    def enqueue_encoded(self, data: bytes) -> bool:
        """Queues an encoded message; False if it was dropped."""
        is_full = (
            len(self.outbox) >= MAX_QUEUED_MESSAGES
            or self.queued_bytes + len(data) > MAX_QUEUED_BYTES
        )
        if is_full or self.close_code is not None:
            self.traffic.dropped += 1
            return False
        self.outbox.append(data)
        self.queued_bytes += len(data)
        self.outbox_ready.set()
        return True

    async def run(self, on_message: Callable[[Any], None]) -> None:
        """Sends and receives until the link is closed or lost.

        Args:
            on_message: Called with each decoded message.
        """
        writer = asyncio.create_task(self._write())
        try:
            await self._read(on_message)
        except (websockets.ConnectionClosed, OSError):
            pass
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            peer_code = self.websocket.close_code
            if self.close_code is None and peer_code in CLEAN_CLOSE_CODES:
                self.close_code = peer_code

    def abort(self) -> None:
        """Drops the connection without a closing handshake."""
        self.websocket.transport.abort()

    async def close(self, code: int, reason: str = "") -> None:
        """Sends the queued messages, then closes with a code."""
        if self.close_code is not None:
            return
        while self.outbox and self.websocket.close_code is None:
            await self._write_next()
        self.close_code = code
        await self.websocket.close(code, reason)

    async def _read(self, on_message: Callable[[Any], None]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await self.websocket.recv(decode=False)
            self.last_received_at = loop.time()
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
                on_message(message)

    async def _write(self) -> None:
        try:
            while True:
                await self.outbox_ready.wait()
                self.outbox_ready.clear()
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
