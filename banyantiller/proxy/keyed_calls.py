"""Requests with an idempotency key: claim, run at most once, record."""

import enum
import hashlib
import re
from typing import TYPE_CHECKING

import structlog

from banyantiller.bundle import options
from banyantiller.claims.types import (
    ClaimOutcome,
    ClaimRequest,
    Denied,
    Finished,
    Granted,
)
from banyantiller.errors import ErrorKind, Failure
from banyantiller.proxy import guard, headers, matching, responses

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls

log = structlog.get_logger("banyantiller.proxy")

MAX_RECORDED_BODY_BYTES = 16384
KEY_PATTERN = re.compile(rb"[\x21-\x7e]{1,255}")


class ClaimState(enum.Enum):
    """Progress of the claim on a key."""

    WAITING = enum.auto()
    CLAIMING = enum.auto()
    GRANTED = enum.auto()
    SETTLED = enum.auto()


def read_key(
    service: options.Service, fields: list[headers.Field]
) -> str | Failure:
    """Reads the idempotency key of a non-idempotent request.

    Returns:
        The key, empty if there is none, or the failure to respond with.
    """
    values = headers.get_all(fields, headers.wire_name(service.key_header))
    if not values:
        if service.key_required:
            detail = f"This request needs the header {service.key_header}."
            return Failure(ErrorKind.KEY_MISSING, detail)
        return ""
    if len(values) > 1 or not KEY_PATTERN.fullmatch(values[0]):
        detail = (
            f"{service.key_header} must be one value of 1 to 255 visible"
            " ASCII characters."
        )
        return Failure(ErrorKind.KEY_MALFORMED, detail)
    return values[0].decode("ascii")


class KeyedCall:
    """Claims the key of a call and settles the claim when the call ends.

    The claim waits for the request body, which is part of the fingerprint. Only
    the start of a body that exceeds the retry buffer is included.

    Attributes:
        state: Progress of the claim.
        request: The claim request, once the body has arrived.
        nonce: Identifies the claim once granted.
    """

    def __init__(self, call: "calls.Call", key: str) -> None:
        self.call = call
        self.key = key
        self.state = ClaimState.WAITING
        self.request: ClaimRequest | None = None
        self.nonce = ""
        self.status = 0
        self.fields: list[headers.Field] = []
        self.body: bytearray | None = bytearray()
        self.is_complete = False

    def start_claim(self) -> None:
        """Starts the claim once the body is complete or over the limit."""
        if self.state is ClaimState.WAITING and not self.call.is_finished:
            self.state = ClaimState.CLAIMING
            self.request = self._request()
            self.call.proxy.spawn(self._claim())

    def record_head(self, status: int, fields: list[headers.Field]) -> None:
        """Records the head of the relayed response."""
        self.status = status
        self.fields = fields

    def record_data(self, data: bytes) -> None:
        """Records a part of the relayed response."""
        if self.body is None:
            return
        self.body += data
        if len(self.body) > MAX_RECORDED_BODY_BYTES:
            self.body = None

    def record_end(self) -> None:
        """Records that the relayed response is complete."""
        self.is_complete = True

    def settle(self, may_have_run: bool) -> None:
        """Settles the claim when the call ends.

        Args:
            may_have_run: Whether an ended attempt may have run the request.
        """
        if self.state is not ClaimState.GRANTED:
            return
        self.state = ClaimState.SETTLED
        claims = self.call.proxy.claims
        if self.status:
            body = bytes(self.body or b"") if self.is_complete else None
            if self.body is None:
                body = None
            record = responses.to_record(self.status, self.fields, body)
            done = claims.finish(self.request, self.nonce, record)
        elif may_have_run:
            done = claims.mark_unknown(self.request, self.nonce)
        else:
            done = claims.release(self.request, self.nonce)
        self.call.proxy.spawn(done)

    def _request(self) -> ClaimRequest:
        call = self.call
        # The network decides how a body is split into chunks, so the
        # fingerprint of a long one must not depend on the chunks.
        body = b"".join(call.body.chunks)[: call.body.limit + 1]
        head = b"%b\n%b\n" % (call.request.method, call.target)
        return ClaimRequest(
            call.service.name,
            self.key,
            hashlib.sha256(head + body).hexdigest(),
            call.service.key_retention_s,
            matching.normalize_host(call.host),
        )

    async def _claim(self) -> None:
        try:
            outcome = await self.call.proxy.claims.claim(
                self.request, self.call.deadline
            )
        except Exception:
            log.exception("proxy: unexpected error while claiming a key.")
            outcome = Denied(Failure(ErrorKind.CLAIM_UNAVAILABLE))
        if not guard.run(self._handle_outcome, outcome):
            self.call.fail_internally()

    def _handle_outcome(self, outcome: ClaimOutcome) -> None:
        call = self.call
        if isinstance(outcome, Granted):
            self.nonce = outcome.nonce
            self.state = ClaimState.GRANTED
            if call.is_finished:
                self.settle(may_have_run=False)
            else:
                call.driver.submit(call)
            return
        self.state = ClaimState.SETTLED
        if call.is_finished:
            return
        if isinstance(outcome, Denied):
            call.refuse(outcome.failure)
        elif isinstance(outcome, Finished):
            self._replay_response(outcome)

    def _replay_response(self, outcome: Finished) -> None:
        if outcome.response.body is None:
            detail = "The request was run before; its answer was not kept."
            self.call.refuse(Failure(ErrorKind.KEY_ALREADY_RUN, detail))
            return
        response = responses.from_record(outcome.response, self.call.request_id)
        self.call.respond(response, None)
