"""Time to take a bundle, over its size and over the part that changed."""

import asyncio
import statistics
import time
from collections.abc import Callable
from typing import Any

from banyantiller.bundle import canonical, options
from bench import bundles, slopes_memory
from bench.slopes_fit import Line, fit

SERVICES = (15, 30, 60, 120)
CHANGED = (1, 4, 16, 64)
RUNS = 30


def measure() -> tuple[list[Line], dict[str, float]]:
    """Measures all sizes.

    Returns:
        The lines, and single figures.
    """
    rows = [bundles.measure(count, RUNS) for count in SERVICES]
    apply = [(n, asyncio.run(_apply_ms(n))) for n in SERVICES]
    changed = [(n, _changed_ms(n)) for n in CHANGED]

    def column(name: str) -> list[tuple[int, float]]:
        return [(row["services"], row[name]) for row in rows]

    both = [
        (row["services"], row["decode_ms"] + row["verify_ms"]) for row in rows
    ]
    lines = [
        fit(
            "manifest and signatures (bytes)",
            "services",
            column("accepted_bytes"),
        ),
        fit("decoding and verifying a manifest (ms)", "services", both),
        fit(
            "putting a bundle in force in the data path (ms)",
            "services of ten servers",
            apply,
        ),
        fit(
            "decoding changed parts (ms)",
            "changed services of ten servers",
            changed,
        ),
    ]
    return lines, {"part_bytes": rows[-1]["part_bytes"]}


async def _apply_ms(count: int) -> float:
    """Measures `Proxy.apply` when one service of a bundle changed."""
    services = [bundles.service(n) for n in range(count)]
    proxy = slopes_memory.make_proxy(options.Bundle(tuple(services)))
    version = 1

    def apply() -> None:
        nonlocal version
        version += 1
        services[0] = services[0]._replace(deadline_s=10 + version / 100)
        proxy.apply(options.Bundle(tuple(services)), version, 0.0)

    return _median_ms(apply)


def _changed_ms(count: int) -> float:
    bundle = options.Bundle(tuple(bundles.service(n) for n in range(count)))
    parts = list(canonical.split(bundle).values())

    def decode() -> None:
        for part, data in parts:
            canonical.decode_part(data, part)

    return _median_ms(decode)


def _median_ms(body: Callable[[], Any]) -> float:
    times = []
    for _ in range(RUNS):
        started = time.process_time()
        body()
        times.append(time.process_time() - started)
    return statistics.median(times) * 1000
