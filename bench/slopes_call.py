"""Processor time of a call in a real daemon, over size and headers."""

import asyncio
import contextlib
from typing import NamedTuple

from bench import slopes_world
from bench.fleet_processes import Usage
from bench.slopes_fit import Line, fit
from standins import processes
from standins.demo import files

RATE = 300
CONNECTIONS = 6
SECONDS = 4.0
WARM_UP_S = 1.0
REQUEST_BYTES = (0, 1_000, 4_000, 16_000, 64_000)
ANSWER_BYTES = (400, 1_000, 4_000, 16_000, 64_000)
HEADERS = (0, 10, 20, 40)
SMALL_ANSWER = 400
READ_LIMIT = 1 << 20


class Shape(NamedTuple):
    """What each call of a measurement looks like."""

    request_bytes: int = 120
    answer_bytes: int = SMALL_ANSWER
    headers: int = 0


class Cost(NamedTuple):
    """Processor time of the daemon for one call, in microseconds."""

    cpu_us: float
    calls: int
    failed: int


async def measure() -> tuple[list[Line], dict[str, float]]:
    """Measures all shapes on one daemon.

    Returns:
        The lines, and single figures.
    """

    async def body(world: slopes_world.LoadWorld) -> list[Line]:
        idle_us_per_s = await _idle(world)

        async def cost(shape: Shape) -> float:
            return (await _cost(world, shape, idle_us_per_s)).cpu_us

        await cost(Shape())
        requests = [
            (n, await cost(Shape(request_bytes=n))) for n in REQUEST_BYTES
        ]
        answers = [(n, await cost(Shape(answer_bytes=n))) for n in ANSWER_BYTES]
        headers = [(n, await cost(Shape(headers=n))) for n in HEADERS]
        plain = await cost(Shape())
        lines = [
            fit(
                "processor time of a call (us)",
                "request body (bytes)",
                requests,
            ),
            fit(
                "processor time of a call (us)", "answer body (bytes)", answers
            ),
            fit(
                "processor time of a call (us)",
                "further header fields, each way",
                headers,
            ),
        ]
        return lines, {"call_cpu_us": round(plain, 1)}

    return await slopes_world.in_world(slopes_world.LoadWorld, 1, 1, body)


async def _idle(world: slopes_world.LoadWorld) -> float:
    before = await world.daemons[0].usage()
    await asyncio.sleep(SECONDS)
    after = await world.daemons[0].usage()
    return (after.cpu_s - before.cpu_s) / SECONDS * 1e6


async def _cost(
    world: slopes_world.LoadWorld, shape: Shape, idle_us_per_s: float
) -> Cost:
    slopes_world.set_answer(shape.answer_bytes, shape.headers)
    await _load(world.caller_port(), shape, WARM_UP_S)
    before: Usage = await world.daemons[0].usage()
    calls, failed = await _load(world.caller_port(), shape, SECONDS)
    after: Usage = await world.daemons[0].usage()
    if failed or not calls:
        raise processes.DemoError(f"{failed} of {calls} calls failed: {shape}.")
    used_us = (after.cpu_s - before.cpu_s) * 1e6 - idle_us_per_s * SECONDS
    return Cost(used_us / calls, calls, failed)


async def _load(port: int, shape: Shape, seconds: float) -> tuple[int, int]:
    """Sends calls at a fixed rate over a few connections."""
    results = await asyncio.gather(
        *(_caller(port, shape, seconds) for _ in range(CONNECTIONS))
    )
    return sum(r[0] for r in results), sum(r[1] for r in results)


async def _caller(port: int, shape: Shape, seconds: float) -> tuple[int, int]:
    reader, writer = await asyncio.open_connection(
        files.ADDRESS, port, limit=READ_LIMIT
    )
    request = _request(shape)
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    due = loop.time()
    calls = failed = 0
    with contextlib.closing(writer):
        while due < ends:
            due += CONNECTIONS / RATE
            await asyncio.sleep(max(0.0, due - loop.time()))
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(_field(head, b"content-length"))
            await reader.readexactly(length)
            calls += 1
            failed += not head.startswith(b"HTTP/1.1 200")
    return calls, failed


def _request(shape: Shape) -> bytes:
    fields = b"".join(
        b"X-Extra-%d: value-%d\r\n" % (n, n) for n in range(shape.headers)
    )
    return (
        b"GET /service-0/records/17 HTTP/1.1\r\nHost: registry.example\r\n"
        b"User-Agent: bench\r\nAccept: application/json\r\n%b"
        b"Content-Length: %d\r\n\r\n%b"
    ) % (fields, shape.request_bytes, b"x" * shape.request_bytes)


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(name + b":"):
            return line.partition(b":")[2].strip()
    raise processes.DemoError("An answer has no Content-Length.")
