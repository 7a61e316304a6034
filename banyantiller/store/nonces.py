"""Unique texts that identify one write to the object API."""

import secrets
from collections.abc import Callable

NonceSource = Callable[[], str]


def random_64_bits() -> str:
    """Returns 64 random bits, unique over all daemons and restarts."""
    return secrets.token_hex(8)


def random_128_bits() -> str:
    """Returns 128 random bits, unique over all daemons and restarts."""
    return secrets.token_hex(16)
