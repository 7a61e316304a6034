"""Runs a stand-in as a process on the loopback address."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from banyantiller.http import messages, server

ADDRESS = "127.0.0.1"
LIMITS = messages.Limits(connections=2000, body_bytes=64 << 20)


async def run(
    handler: server.Handler,
    port: int,
    drain: Callable[[server.HttpServer], Awaitable[None]] | None = None,
) -> None:
    """Serves until SIGTERM or SIGINT.

    The first line on standard output is JSON with the address and the port.

    Args:
        handler: Answers requests.
        port: Port; 0 lets the system choose.
        drain: Called when told to end, before the server is closed.
    """
    ending = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    listener = server.HttpServer(handler, LIMITS)
    bound = await listener.start(ADDRESS, port)
    print(json.dumps(bound._asdict()), flush=True)
    await ending.wait()
    if drain is not None:
        await drain(listener)
    await listener.close()
