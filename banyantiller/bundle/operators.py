"""Who changes bundles, and what is needed to act and to be recorded."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from banyantiller.config.defaults import TrustedKey

AuditRecorder = Callable[[str, dict[str, Any]], Awaitable[str]]
"""Records an action and its particulars; returns why it failed, or ""."""


class Operator(NamedTuple):
    """Who acts, and what is needed to act and to be recorded.

    Attributes:
        name: Name in the trusted keys.
        private: Private key as 64 hex digits.
        trusted: Keys of all operators.
        audit: Records an action in the audit trail before it is done.
        wall: Returns wall-clock seconds.
    """

    name: str
    private: str
    trusted: tuple[TrustedKey, ...]
    audit: AuditRecorder
    wall: Callable[[], float]
