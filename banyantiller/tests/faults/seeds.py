"""How many random runs a test makes, and with which seeds.

Without settings a test makes a fixed number of runs with fixed seeds. With
`BANYANTILLER_FUZZ_SECONDS` set, each test goes on for that time with new
seeds, which begin at `BANYANTILLER_FUZZ_SEED`, or at random.
"""

import os
import secrets
import time
from collections.abc import Iterator

import hypothesis

SECONDS = "BANYANTILLER_FUZZ_SECONDS"
SEED = "BANYANTILLER_FUZZ_SEED"
SEED_BITS = 48
MANY = 1_000_000


def seeds(count: int) -> Iterator[int]:
    """Yields the seeds of one test; a failing test names its seed."""
    seconds = float(os.environ.get(SECONDS, "0"))
    if not seconds:
        yield from range(count)
        return
    first = int(os.environ.get(SEED) or secrets.randbits(SEED_BITS))
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        yield first
        first += 1


def settings(examples: int) -> hypothesis.settings:
    """Returns settings of Hypothesis with a bounded number of examples."""
    is_long = bool(os.environ.get(SECONDS))
    return hypothesis.settings(
        max_examples=MANY if is_long else examples,
        derandomize=not is_long,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
