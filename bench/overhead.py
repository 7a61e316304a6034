"""Latency and processor time that the daemon's data path adds to a call.

    python -m bench.overhead [--seconds N] [--rates 100,200] [--whole] [--json]

Three kinds of processes run on the loopback interface: a backend process
with ten servers, a process with the daemon's data path and its routing, and
this one, which makes the load. The load is open: calls are sent at random
times of a fixed rate whether or not earlier ones were answered, each one in
turn directly or through the proxy, so that both meet the same conditions.
Latency counts from the moment of sending. The last line of the output is one
JSON object. With `--whole` a real daemon takes the place of the data path.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import selectors
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from bench import overhead_roles, overhead_whole

DEFAULT_SECONDS = 60.0
RATES = (100, 200, 400, 800, 1200, 1600)
STATED_RATE = 200
WARM_UP_S = 3.0
LOST_AFTER_S = 5.0
CONNECTIONS = 128
BODY = b"x" * 120
QUANTILES = (0.5, 0.9, 0.99, 0.999)
REQUEST = (
    b"POST /records/17?part=2 HTTP/1.1\r\nHost: registry.example\r\n"
    b"User-Agent: bench\r\nAccept: application/json\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
) % (len(BODY), BODY)


class Point(NamedTuple):
    """Figures at one load.

    Attributes:
        rate: Calls per second through the proxy; as many go directly.
        calls: Calls through the proxy that a server answered.
        refused: Calls through the proxy that it refused.
        unsent: Calls for which no connection was free in this process.
        lost: Sent calls of either kind without a whole answer.
        direct_ms: Quantiles of direct calls in milliseconds.
        proxied_ms: Quantiles of calls through the proxy.
        cpu_us: Processor time of the proxy for one call in microseconds.
        busy: Part of one core that the proxy used.
    """

    rate: int
    calls: int
    refused: int
    unsent: int
    lost: int
    direct_ms: list[float]
    proxied_ms: list[float]
    cpu_us: float
    busy: float

    def added_ms(self, index: int) -> float:
        """Difference of one quantile."""
        return self.proxied_ms[index] - self.direct_ms[index]


class Caller(asyncio.Protocol):
    """One keep-alive connection with at most one call on it."""

    def __init__(self, path: "Path") -> None:
        self.path = path
        self.transport: Any = None
        self.sent_at = 0.0
        self.got = 0
        self.need = 0
        self.refused = False

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport

    def call(self) -> None:
        """Sends one request."""
        self.got = 0
        self.need = 0
        self.sent_at = time.perf_counter()
        self.transport.write(REQUEST)

    def data_received(self, data: bytes) -> None:
        """Counts the answer and notes the latency at its end."""
        if not self.need:
            head, _, _ = data.partition(b"\r\n\r\n")
            self.refused = not data.startswith(b"HTTP/1.1 200")
            _, _, length = head.lower().partition(b"content-length: ")
            self.need = len(head) + 4 + int(length.split(b"\r\n")[0])
        self.got += len(data)
        if self.got >= self.need:
            self.path.ended(self, time.perf_counter() - self.sent_at)


class Path:
    """Connections along one path, direct or proxied."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        self.free: list[Caller] = []
        self.latencies: list[float] = []
        self.sent = 0
        self.unsent = 0
        self.refused = 0

    async def open(self, count: int) -> None:
        """Opens connections, spread over the ports."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            port = self.ports[number % len(self.ports)]
            _, caller = await loop.create_connection(
                lambda: Caller(self),
                overhead_roles.ADDRESS,
                port,
            )
            self.free.append(caller)

    def call(self) -> None:
        """Sends one request on the connection that was free longest."""
        if self.free:
            self.sent += 1
            self.free.pop(0).call()
        else:
            self.unsent += 1

    def ended(self, caller: Caller, latency: float) -> None:
        """Notes a whole answer; a refusal has no latency."""
        if caller.refused:
            self.refused += 1
        else:
            self.latencies.append(latency)
        self.free.append(caller)

    def waiting(self) -> int:
        """Returns the number of calls without a whole answer."""
        return self.sent - self.refused - len(self.latencies)

    def reset(self) -> None:
        """Forgets what was measured."""
        self.latencies.clear()
        self.sent = 0
        self.unsent = 0
        self.refused = 0


class Load:
    """Sends calls at random times of a rate, alternating between paths."""

    def __init__(self, direct: Path, proxied: Path, seed: int) -> None:
        self.paths = (direct, proxied)
        self.random = random.Random(seed)

    async def run(self, rate: int, seconds: float) -> None:
        """Sends for some time and waits for the last answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        due = loop.time()
        turn = 0
        while due < end:
            due += self.random.expovariate(2 * rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.paths[turn].call()
            turn = 1 - turn
        for _ in range(50):
            if not any(path.waiting() for path in self.paths):
                return
            await asyncio.sleep(LOST_AFTER_S / 50)


class Role:
    """A child process that says its ports and, when asked, its usage."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "bench.overhead_roles", *arguments]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.ports: list[int] = self._read()["ports"]

    def cpu_s(self) -> float:
        """Returns the processor time that the process has used."""
        self.process.stdin.write("usage\n")
        self.process.stdin.flush()
        return self._read()["cpu_s"]

    def stop(self) -> None:
        """Ends the process and waits for it."""
        self.process.stdin.close()
        self.process.wait(10)

    def _read(self) -> dict[str, Any]:
        return json.loads(self.process.stdout.readline())


Proxying = Role | overhead_whole.WholeDaemon


async def measure_point(
    load: Load, proxy: Proxying, rate: int, seconds: float
) -> Point:
    """Measures at one rate."""
    direct, proxied = load.paths
    await load.run(rate, WARM_UP_S)
    direct.reset()
    proxied.reset()
    before = proxy.cpu_s()
    begin = time.perf_counter()
    await load.run(rate, seconds)
    elapsed = time.perf_counter() - begin
    used = proxy.cpu_s() - before
    calls = len(proxied.latencies)
    return Point(
        rate=rate,
        calls=calls,
        refused=proxied.refused,
        unsent=direct.unsent + proxied.unsent,
        lost=direct.waiting() + proxied.waiting(),
        direct_ms=quantiles_ms(direct.latencies),
        proxied_ms=quantiles_ms(proxied.latencies),
        cpu_us=used / max(1, calls) * 1e6,
        busy=used / elapsed,
    )


async def measure(
    backend: Role, proxy: Proxying, rates: list[int], seconds: float
) -> list[Point]:
    """Measures at every rate, one after the other."""
    direct = Path(backend.ports)
    proxied = Path(proxy.ports)
    await direct.open(CONNECTIONS)
    await proxied.open(CONNECTIONS)
    load = Load(direct, proxied, seed=1)
    each = seconds / len(rates)
    return [await measure_point(load, proxy, rate, each) for rate in rates]


def quantiles_ms(latencies: list[float]) -> list[float]:
    """Returns `QUANTILES` in milliseconds, by nearest rank."""
    ordered = sorted(latencies) or [float("nan")]
    last = len(ordered) - 1
    return [ordered[round(q * last)] * 1e3 for q in QUANTILES]


def print_table(points: list[Point]) -> None:
    """Prints the curve over load."""
    print(
        "calls/s  calls refused unsent lost  direct p50/p99 ms"
        "  proxied p50/p99 ms"
        "  added p50/p99/p99.9 ms  cpu us/call  busy"
    )
    for point in points:
        print(
            f"{point.rate:7d} {point.calls:6d} {point.refused:7d}"
            f" {point.unsent:6d} {point.lost:4d}"
            f"   {point.direct_ms[0]:7.3f} /{point.direct_ms[2]:7.3f}"
            f"    {point.proxied_ms[0]:7.3f} /{point.proxied_ms[2]:7.3f}"
            f"   {point.added_ms(0):7.3f} /{point.added_ms(2):7.3f}"
            f" /{point.added_ms(3):7.3f}"
            f"  {point.cpu_us:11.0f}  {point.busy:4.0%}"
        )


def summary(points: list[Point], stated: int) -> dict[str, Any]:
    """Returns the object of the last line."""
    at = next(point for point in points if point.rate == stated)
    return {
        "added_p50_ms": round(at.added_ms(0), 3),
        "added_p99_ms": round(at.added_ms(2), 3),
        "calls_per_core_second": round(1e6 / at.cpu_us),
        "load_calls_per_second": stated,
        "lost": sum(point.lost for point in points),
        "curve": [
            {
                "calls_per_second": point.rate,
                "calls": point.calls,
                "refused": point.refused,
                "unsent": point.unsent,
                "added_p50_ms": round(point.added_ms(0), 3),
                "added_p99_ms": round(point.added_ms(2), 3),
                "cpu_us_per_call": round(point.cpu_us, 1),
                "busy": round(point.busy, 3),
            }
            for point in points
        ],
    }


@contextlib.asynccontextmanager
async def proxying(backend: Role, whole: bool) -> AsyncIterator[Proxying]:
    """Runs what proxies: a whole daemon, or its data path alone."""
    if whole:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            async with overhead_whole.running(path, backend.ports) as daemon:
                yield daemon
        return
    proxy = Role("proxy", *(str(port) for port in backend.ports))
    try:
        yield proxy
    finally:
        proxy.stop()


async def measure_all(
    backend: Role, rates: list[int], arguments: argparse.Namespace
) -> list[Point]:
    """Starts what proxies, measures at every rate and ends it."""
    async with proxying(backend, arguments.whole) as proxy:
        return await measure(backend, proxy, rates, arguments.seconds)


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Starts the processes, measures and ends them."""
    rates = [int(rate) for rate in arguments.rates.split(",")]
    backend = Role("backend")
    try:
        # Selecting, unlike polling, waits for less than a millisecond.
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(
                selectors.SelectSelector()
            )
        ) as runner:
            points = runner.run(measure_all(backend, rates, arguments))
    finally:
        backend.stop()
    print_table(points)
    stated = STATED_RATE if STATED_RATE in rates else rates[0]
    return summary(points, stated)


def main() -> None:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--rates", default=",".join(map(str, RATES)))
    parser.add_argument("--whole", action="store_true")
    parser.add_argument("--json", action="store_true")
    print(json.dumps(run(parser.parse_args())))


if __name__ == "__main__":
    main()
