"""Requests to claim an idempotency key and their outcomes."""

import dataclasses
from typing import NamedTuple, Protocol

from banyantiller.errors import Failure


class ClaimRequest(NamedTuple):
    """A request for the right to run a keyed request.

    Attributes:
        service: Name of the service under the bundle in force. It does not
            identify the claim, as another bundle may route the request to
            another service.
        key: Idempotency key as the caller sent it.
        fingerprint: Hex digest of method, target and body, which detects a
            key that is reused for another request.
        retention_s: How long the outcome is retained, in seconds.
        host: Host that the request is for, in lower case, without a port.
    """

    service: str
    key: str
    fingerprint: str
    retention_s: float
    host: str = ""


class RecordedResponse(NamedTuple):
    """The response of a finished request, to replay to repeated requests.

    Attributes:
        status: Status code.
        headers: End-to-end headers as sent.
        body: Body, or None if it was too large to record.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Only this daemon may send the request, and only once.

    Attributes:
        nonce: Token that identifies the claim to `finish`, `release` and
            `mark_unknown`.
    """

    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request was run before; its response is replayed."""

    response: RecordedResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request must not be sent; `failure` is reported to the caller."""

    failure: Failure


ClaimOutcome = Granted | Finished | Denied


class Claims(Protocol):
    """Grants each idempotency key to one daemon of the fleet."""

    async def claim(
        self, request: ClaimRequest, deadline: float
    ) -> ClaimOutcome:
        """Claims a key; reads the object back if a response is lost.

        Args:
            request: The request whose key is claimed.
            deadline: Loop time after which the claim must not be granted.

        Returns:
            The outcome; at most one caller per key gets `Granted`.
        """

    async def finish(
        self, request: ClaimRequest, nonce: str, response: RecordedResponse
    ) -> None:
        """Records that the request was run, with its response."""

    async def release(self, request: ClaimRequest, nonce: str) -> None:
        """Releases a claim; allowed only if no byte reached a server."""

    async def mark_unknown(self, request: ClaimRequest, nonce: str) -> None:
        """Records that it is unknown whether the request was run."""
