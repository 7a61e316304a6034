"""The processes of `bench.overhead` that answer and that proxy.

Each prints its ports as one JSON line, then its processor time for each line
that it reads, and ends with its input.
"""

import asyncio
import json
import resource
import sys
from typing import Any

from banyantiller.bundle import options
from banyantiller.config import defaults
from banyantiller.kernel import core
from banyantiller.proxy import gc_tuning
from banyantiller.proxy.proxy import Proxy
from banyantiller.routing import adaptive

ADDRESS = "127.0.0.1"
SERVERS = 10
SLOTS = 4
ANSWER_BYTES = 400
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"endpoint-load-metrics: TEXT named_metrics.in_flight=1\r\n"
    b"Content-Length: %d\r\n\r\n%b"
) % (ANSWER_BYTES, b"y" * ANSWER_BYTES)


class Backend(asyncio.Protocol):
    """Answers each request at once; requests come whole and alone."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.got = b""

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers when head and body are there."""
        self.got += data
        head, end, body = self.got.partition(b"\r\n\r\n")
        if not end:
            return
        _, _, length = head.lower().partition(b"content-length: ")
        if len(body) >= int(length.split(b"\r\n")[0] or b"0"):
            self.got = b""
            self.transport.write(ANSWER)


class NoClaims:
    """Claims are not used: the bench sends no keys."""


async def serve_backend() -> list[int]:
    """Listens as every backend server."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(SERVERS):
        server = await loop.create_server(Backend, ADDRESS, 0, backlog=1024)
        ports.append(server.sockets[0].getsockname()[1])
    return ports


async def serve_proxy(ports: list[int]) -> list[int]:
    """Listens as the data path of a daemon."""
    nowhere = defaults.Endpoint(ADDRESS, 1)
    settings = defaults.Settings(
        deployment="bench",
        daemon="daemon-1",
        zone="zone-a",
        callers=defaults.CallerSettings(defaults.Endpoint(ADDRESS, 0)),
        admin=nowhere,
        peers=defaults.PeerSettings(nowhere),
        object_api=defaults.ObjectApiSettings(nowhere),
    )
    proxy = Proxy.from_settings(
        settings,
        core.Kernel(),
        adaptive.create,
        NoClaims(),
        lambda _: lambda _: False,
        lambda: 0.0,
        seed=1,
    )
    servers = tuple(
        options.BackendServer(f"server-{port}", ADDRESS, port, "zone-a")
        for port in ports
    )
    service = options.Service(
        "registry",
        servers,
        slots=SLOTS,
        requests=(options.RequestRule(True, path="/records"),),
    )
    proxy.apply(options.Bundle((service,)), 1, 0.0)
    bound = await proxy.start()
    gc_tuning.tune()
    return [bound.port]


async def obey() -> None:
    """Answers each line of the input with the processor time used."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        usage = resource.getrusage(resource.RUSAGE_SELF)
        say({"cpu_s": usage.ru_utime + usage.ru_stime})


def say(message: dict[str, Any]) -> None:
    """Prints one line."""
    print(json.dumps(message), flush=True)


async def run(role: str, ports: list[int]) -> None:
    """Runs a role until the input ends."""
    if role == "backend":
        bound = await serve_backend()
    else:
        bound = await serve_proxy(ports)
    say({"ports": bound})
    await obey()


if __name__ == "__main__":
    import structlog

    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr)
    )
    asyncio.run(run(sys.argv[1], [int(port) for port in sys.argv[2:]]))
