"""Memory of what a daemon holds: `python -m bench.slopes_memory KIND N`.

The process builds N of a kind and prints its resident memory in KB. The
bench runs it anew for each N, so that nothing is left of the last one.
"""

import asyncio
import gc
import pathlib
import subprocess
import sys
from collections.abc import Callable

from banyantiller.bundle import options
from banyantiller.claims import outcome_cache, types
from banyantiller.config import defaults
from banyantiller.kernel import core
from banyantiller.membership import messages
from banyantiller.proxy.proxy import Proxy
from banyantiller.routing import adaptive
from bench import bundles, overhead, overhead_roles
from bench.fleet_processes import resident_mb
from bench.slopes_fit import Line, fit

KB = 1024
COUNTS: dict[str, tuple[int, ...]] = {
    "servers": (10, 300, 600, 1200),
    "services": (1, 30, 60, 120),
    "peers": (0, 500, 1000, 2000),
    "claims": (0, 2000, 5000, 10000),
}
CONNECTIONS = (0, 200, 500, 1000)
REPEATS = 3
NAMES = {
    "servers": ("memory (KB)", "backend servers, in services of ten"),
    "services": ("memory (KB)", "services of one server"),
    "peers": ("memory (KB)", "peers in the member table"),
    "claims": ("memory (KB)", "remembered claims with answers of 400 bytes"),
}


def build_servers(count: int) -> object:
    """Puts a bundle with that many servers in force."""
    each = 10
    services = tuple(bundles.service(n) for n in range(count // each))
    return make_proxy(options.Bundle(services))


def build_services(count: int) -> object:
    """Puts a bundle with that many services of one server in force."""
    services = tuple(
        item._replace(servers=item.servers[:1])
        for item in (bundles.service(n) for n in range(count))
    )
    return make_proxy(options.Bundle(services))


def build_peers(count: int) -> object:
    """Makes a table of that many members."""
    return {
        f"daemon-{n}": messages.MemberEntry(
            f"daemon-{n}",
            1_700_000_000_000 + n,
            0,
            n + 300,
            f"10.0.0.{n}",
            7000,
            f"zone-{n % 6}",
            n,
        )
        for n in range(count)
    }


def build_claims(count: int) -> object:
    """Remembers that many finished keys."""
    keys = outcome_cache.OutcomeCache(max_bytes=1 << 30)
    for n in range(count):
        body = bytes(400)
        answer = types.RecordedResponse(
            200, (("content-type", "application/json"),), body
        )
        keys.put(f"fleet.{n:064d}", f"{n:064x}", types.Finished(answer), 1e12)
    return keys


BUILD: dict[str, Callable[[int], object]] = {
    "servers": build_servers,
    "services": build_services,
    "peers": build_peers,
    "claims": build_claims,
}


def make_proxy(bundle: options.Bundle) -> Proxy:
    """Makes a data path that does not listen, with a bundle in force."""
    nowhere = defaults.Endpoint(overhead_roles.ADDRESS, 1)
    settings = defaults.Settings(
        deployment="bench",
        daemon="daemon-1",
        zone="zone-0",
        callers=defaults.CallerSettings(nowhere),
        admin=nowhere,
        peers=defaults.PeerSettings(nowhere),
        object_api=defaults.ObjectApiSettings(nowhere),
    )
    proxy = Proxy.from_settings(
        settings,
        core.Kernel(),
        adaptive.create,
        overhead_roles.NoClaims(),
        lambda _: lambda _: False,
        lambda: 0.0,
        seed=1,
    )
    proxy.apply(bundle, 1, 0.0)
    return proxy


def measure() -> list[Line]:
    """Measures every kind, each count in processes of its own."""
    lines = []
    for kind, counts in COUNTS.items():
        points = [
            (n, _in_process(kind, n)) for n in counts for _ in range(REPEATS)
        ]
        lines.append(fit(*NAMES[kind], points))
    points = asyncio.run(_connections())
    lines.append(fit("memory (KB)", "open connections of callers", points))
    return lines


def _in_process(kind: str, count: int) -> float:
    command = [sys.executable, "-m", "bench.slopes_memory", kind, str(count)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(done.stdout)


async def _connections() -> list[tuple[int, float]]:
    """Opens connections to a data path; each has made one call."""
    backend = overhead.Role("backend")
    proxy = overhead.Role("proxy", *map(str, backend.ports))
    process = pathlib.Path("/proc") / str(proxy.process.pid)
    points = []
    path = overhead.Path(proxy.ports)
    try:
        await _call_all(path, 20)
        base = len(path.free)
        for count in CONNECTIONS:
            await _call_all(path, base + count)
            points.append((count, resident_mb(process) * KB))
    finally:
        proxy.stop()
        backend.stop()
    return points


async def _call_all(path: overhead.Path, count: int) -> None:
    """Opens connections up to a number and calls once on each new one."""
    for _ in range(count - len(path.free)):
        held, path.free = path.free, []
        await path.open(1)
        path.call()
        for _ in range(500):
            if path.free:
                break
            await asyncio.sleep(0.002)
        path.free = held + path.free
    await asyncio.sleep(0.2)


async def _build(kind: str, count: int) -> None:
    held = BUILD[kind](count)
    gc.collect()
    print(resident_mb(pathlib.Path("/proc/self")) * KB)
    del held


if __name__ == "__main__":
    asyncio.run(_build(sys.argv[1], int(sys.argv[2])))
