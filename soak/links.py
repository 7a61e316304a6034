"""A relay on the loopback address that treats connections badly on demand."""

import asyncio
import dataclasses
import socket
import struct

from soak import partitions

BLOCK_BYTES = 65536
# How often a waiting connection tries its target: a daemon that listens before
# it loads does so for 0.3 s.
AGAIN_S = 0.05
# With this option a closed connection is reset at the other side.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Trouble:
    """What a link does to the connections that pass through it.

    Attributes:
        delay_s: How much later bytes arrive, in seconds.
        held_in: Whether bytes towards the target wait until this ends.
        held_out: Whether bytes from the target wait until this ends.
        refused: Whether new connections are reset.
        waiting: Whether new connections, and what was sent on them, wait until
            the target listens.
    """

    delay_s: float = 0.0
    held_in: bool = False
    held_out: bool = False
    refused: bool = False
    waiting: bool = False


class Link:
    """Takes connections on a port of its own and passes them on.

    Attributes:
        port: Port on which it listens.
        target: Port to which connections go, or 0 for none.
        trouble: What it does to them.
        changed: Set when the trouble changes; replaced after it.
        tasks: Connections that pass through it.
        sources: Address of the other side by connection.
        partitioned: One of `partitions.CHOICES` by address of the other side.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.port = 0
        self.target = 0
        self.trouble = Trouble()
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.sources: dict[asyncio.Task[None], str] = {}
        self.partitioned: dict[str, str] = {}

    @classmethod
    async def to(cls, address: str, target: int) -> "Link":
        """Returns a link to a port, listening."""
        link = cls(address)
        link.target = target
        link.server = await asyncio.start_server(link._serve, address, 0)
        link.port = link.server.sockets[0].getsockname()[1]
        return link

    def set(self, trouble: Trouble) -> None:
        """Begins or ends trouble."""
        self.trouble = trouble
        self.changed.set()
        self.changed = asyncio.Event()

    def reset(self) -> None:
        """Resets all connections."""
        for task in list(self.tasks):
            task.cancel()

    def partition(self, source: str, choice: str) -> None:
        """Partitions the connections from an address, open and new ones."""
        self.partitioned[source] = choice
        if choice == partitions.RESET:
            for task, other in list(self.sources.items()):
                if other == source:
                    task.cancel()

    def end_partition(self, source: str) -> None:
        """Ends the partition of the connections from an address."""
        self.partitioned.pop(source, None)
        self.set(self.trouble)

    def shut(self) -> None:
        """Refuses new connections, as a machine without a server does."""
        if self.server is not None:
            self.server.close()
        self.server = None

    async def open(self) -> None:
        """Listens again on its port; nothing if it does."""
        if self.server is None:
            self.server = await asyncio.start_server(
                self._serve, self.address, self.port
            )

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        source = writer.get_extra_info("peername")[0]
        self.sources[task] = source
        far = None
        try:
            refused = self.partitioned.get(source) in partitions.REFUSING
            if refused or self.trouble.refused or not self.target:
                _reset(writer)
                return
            far_reader, far = await self._connect(source)
            await self._relay(reader, writer, far_reader, far, source)
        except (OSError, asyncio.CancelledError):
            _reset(writer)
            if far is not None:
                _reset(far)
        finally:
            self.tasks.discard(task)
            del self.sources[task]
            writer.transport.abort()
            if far is not None:
                far.transport.abort()

    async def _connect(
        self, source: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects on from the same address, by which servers tell senders."""
        local = {} if source == self.address else {"local_addr": (source, 0)}
        while True:
            try:
                return await asyncio.open_connection(
                    self.address, self.target, **local
                )
            except OSError:
                if not self.trouble.waiting:
                    raise
            await asyncio.sleep(AGAIN_S)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far_reader: asyncio.StreamReader,
        far: asyncio.StreamWriter,
        source: str,
    ) -> None:
        """Passes bytes both ways until one side is gone."""
        inward = asyncio.ensure_future(self._pump(reader, far, True, source))
        outward = asyncio.ensure_future(
            self._pump(far_reader, writer, False, source)
        )
        both = {inward, outward}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            # What was sent before the end still arrives, as the bytes of a
            # closed connection do.
            if outward.done() and outward.exception():
                _reset(writer)
            elif outward.done():
                await _flush(writer)
        finally:
            for task in both:
                task.cancel()
            await asyncio.gather(*both, return_exceptions=True)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        inward: bool,
        source: str,
    ) -> None:
        while data := await reader.read(BLOCK_BYTES):
            await asyncio.sleep(self.trouble.delay_s)
            while self._is_held(inward, source):
                await self.changed.wait()
            writer.write(data)
            await writer.drain()

    def _is_held(self, inward: bool, source: str) -> bool:
        if self.partitioned.get(source) == partitions.SILENT:
            return True
        return self.trouble.held_in if inward else self.trouble.held_out


def _reset(writer: asyncio.StreamWriter) -> None:
    """Lets the closing of a connection reset it."""
    found = writer.get_extra_info("socket")
    if found is not None and not writer.transport.is_closing():
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


async def _flush(writer: asyncio.StreamWriter) -> None:
    """Lets a connection's last bytes out and closes it in order."""
    writer.close()
    await writer.wait_closed()
