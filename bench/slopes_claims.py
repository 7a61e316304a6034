"""Calls of the object API and processor time for keyed requests."""

import asyncio
import time

from banyantiller.claims import arbiter, types
from banyantiller.store import memory
from bench.slopes_fit import Line, fit, rounded

COUNTS = (200, 400, 800, 1600)
WRITES = ("create", "update", "delete")
ANSWER = types.RecordedResponse(
    200, (("content-type", "application/json"),), bytes(400)
)


async def measure() -> tuple[list[Line], dict[str, float]]:
    """Claims and finishes keys, each used once.

    Returns:
        The lines, and single figures.
    """
    writes, reads = [], []
    cpu_us = 0.0
    for count in COUNTS:
        store = memory.MemoryStore()
        started = time.process_time()
        await _use(store, count)
        cpu_us = (time.process_time() - started) / count * 1e6
        written = sum(store.calls[verb] for verb in WRITES)
        writes.append((count, float(written)))
        reads.append((count, float(sum(store.calls.values()) - written)))
    lines = [
        fit("writes to the object API", "keyed requests", writes),
        fit("reads of the object API", "keyed requests", reads),
    ]
    return lines, {"claim_cpu_us": rounded(cpu_us)}


async def _use(store: memory.MemoryStore, count: int) -> None:
    claims = arbiter.StoreClaims.from_settings(
        store, "bench", "daemon-1", time.time
    )
    loop = asyncio.get_running_loop()
    for number in range(count):
        request = types.ClaimRequest("desk", f"key-{number}", "f" * 64, 3600.0)
        outcome = await claims.claim(request, loop.time() + 5)
        if not isinstance(outcome, types.Granted):
            raise AssertionError(f"A fresh key was not granted: {outcome}.")
        await claims.finish(request, outcome.nonce, ANSWER)
