"""The operator that changes bundles, and its access to the audit trail."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from banyantiller.config.defaults import TrustedKey

AuditRecorder = Callable[[str, dict[str, Any]], Awaitable[str]]
"""Records an action and its details; returns the failure, or an empty text."""


class Operator(NamedTuple):
    """An operator with the keys, audit trail and clock that its actions use.

    Attributes:
        name: Name of the operator in the trusted keys.
        private: Private key as 64 hex digits.
        trusted: Keys of all operators.
        audit: Records an action in the audit trail before it takes place.
        wall: Returns wall-clock time in seconds.
    """

    name: str
    private: str
    trusted: tuple[TrustedKey, ...]
    audit: AuditRecorder
    wall: Callable[[], float]
