"""Requests to claim an idempotency key and their outcomes."""

import dataclasses
from typing import NamedTuple, Protocol

from banyantiller.errors import Failure


class ClaimRequest(NamedTuple):
    """Asks for the right to run a keyed request.

    Attributes:
        service: Name of the service under the bundle in force. It is no part
            of what names the claim, as another bundle may give the request
            to another service.
        key: Idempotency key as the caller sent it.
        fingerprint: Hex digest of method, target and body, so that a key
            used for another request is told apart.
        retention_s: How long the key is remembered, in seconds.
        host: Host that the request is for, in lower case, without a port.
    """

    service: str
    key: str
    fingerprint: str
    retention_s: float
    host: str = ""


class RecordedResponse(NamedTuple):
    """What is kept of a finished request for callers that repeat it.

    Attributes:
        status: Status code.
        headers: End-to-end headers as sent.
        body: Body if it was small enough to keep, else None.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """This daemon, and no other, may send the request once.

    Attributes:
        nonce: Token that names this claim to `finish` and `release`.
    """

    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request was run before; the answer is repeated."""

    response: RecordedResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request may not be sent; `failure` tells the caller why."""

    failure: Failure


ClaimOutcome = Granted | Finished | Denied


class Claims(Protocol):
    """Arbitrates idempotency keys over all daemons."""

    async def claim(
        self, request: ClaimRequest, deadline: float
    ) -> ClaimOutcome:
        """Claims a key; settles a lost answer by reading back.

        Args:
            request: What is claimed.
            deadline: Loop time after which the claim must not be granted.

        Returns:
            `Granted` to at most one caller for each key.
        """

    async def finish(
        self, request: ClaimRequest, nonce: str, response: RecordedResponse
    ) -> None:
        """Records that the request was run, and its answer."""

    async def release(self, request: ClaimRequest, nonce: str) -> None:
        """Gives a claim back; only when no byte reached a server."""

    async def mark_unknown(self, request: ClaimRequest, nonce: str) -> None:
        """Records that nobody can tell whether the request was run."""
