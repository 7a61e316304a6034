"""How many random runs a test makes, and with which seeds.

Without settings a test makes a fixed number of runs with fixed seeds. With
`BANYANTILLER_FUZZ_SECONDS` set, each test goes on for that time with new
seeds, which begin at `BANYANTILLER_FUZZ_SEED`, or at random.
"""

import os
import secrets
import time
from collections.abc import Callable, Iterator
from typing import Any

import hypothesis
from hypothesis import strategies

SECONDS = "BANYANTILLER_FUZZ_SECONDS"
SEED = "BANYANTILLER_FUZZ_SEED"
SEED_BITS = 48


def is_long() -> bool:
    """Tells whether a long run with new seeds is asked for."""
    return bool(os.environ.get(SECONDS))


def seeds(count: int) -> Iterator[int]:
    """Yields the seeds of one test; a failing test names its seed."""
    if not is_long():
        yield from range(count)
        return
    first = int(os.environ.get(SEED) or secrets.randbits(SEED_BITS))
    end = time.monotonic() + float(os.environ[SECONDS])
    while time.monotonic() < end:
        yield first
        first += 1


def explore(
    check: Callable[..., None],
    examples: int,
    *values: strategies.SearchStrategy[Any],
) -> None:
    """Calls a check with many values, and shrinks those that fail it.

    Args:
        check: Raises an error if something is wrong.
        examples: Values to try for each seed.
        values: What the check is called with.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        derandomize=not is_long(),
        deadline=None,
        database=None,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )

    def tried(chosen: tuple[Any, ...]) -> None:
        check(*chosen)

    for seed in seeds(1):
        test = settings(hypothesis.given(strategies.tuples(*values))(tried))
        if is_long():
            test = hypothesis.seed(seed)(test)
        test()
