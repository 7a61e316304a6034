"""The stored form of a claim, and the outcome that it gives a repeated request.

Each key has one object, whose state is one of `State`. Only the daemon that
holds the nonce moves it out of `CLAIMED`, except that any daemon fences a
claim before it reports the outcome as unknown. A claim with an unknown outcome
can therefore never be granted again.
"""

import base64
import enum
import hashlib
from typing import Any, NamedTuple

import msgspec

from banyantiller.claims import types
from banyantiller.errors import ErrorKind, Failure
from banyantiller.store import interface

OBJECT_KIND = "keyclaims"
EXPIRY_LABEL = "expires"
EXPIRY_BUCKET_S = 60
MAX_RESPONSE_BYTES = 16384
IN_PROGRESS_RETRY_S = 1.0


class State(enum.StrEnum):
    """State of a key.

    Attributes:
        CLAIMED: One daemon may send the request or has sent it.
        DONE: The request was run and its response was received.
        UNKNOWN: The request was sent and may or may not have been run; or it
            was not sent, but its outcome was reported as unknown.
        FENCED: Its daemon did not settle it in time, and a peer reports its
            outcome as unknown.
        RELEASED: It was certainly not sent; the key may be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    FENCED = "fenced"
    RELEASED = "released"


# States in which the daemon that holds the claim may still send the request.
SENDABLE_STATES = (State.CLAIMED, State.FENCED)


class StoredResponse(NamedTuple):
    """JSON form of a recorded response.

    Attributes:
        status: Status code.
        headers: Pairs of name and value.
        body: Body in base64, or None if it was too large to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str | None


class Record(NamedTuple):
    """Content of a claim object; times are wall-clock seconds.

    Attributes:
        service: Service under whose options the key was claimed.
        fingerprint: Digest of the request that the key was claimed for.
        nonce: Identifies the claim that last wrote the record.
        daemon: Daemon that last wrote the record.
        state: State of the key.
        claimed_at: When the key was first claimed.
        answer_by: When the caller of the claim stops waiting.
        expires_at: When the claim may be deleted.
        answer: The stored response of a finished request.
        host: Host of the request that the key was claimed for.
    """

    service: str
    fingerprint: str
    nonce: str
    daemon: str
    state: State
    claimed_at: float
    answer_by: float
    expires_at: float
    answer: StoredResponse | None = None
    host: str = ""


def object_name(deployment: str, request: types.ClaimRequest) -> str:
    """Returns the name of the object that holds a request's key.

    The name depends on the key only. If it included the service, a request
    could run twice when a bundle moves its path to another service.
    """
    return _object_name(deployment, "", request.key)


def legacy_object_name(deployment: str, request: types.ClaimRequest) -> str:
    """Returns the object name that earlier versions used for a key."""
    return _object_name(deployment, request.service, request.key)


def _object_name(deployment: str, service: str, key: str) -> str:
    text = f"{service}\0{key}"
    digest = hashlib.sha256(text.encode("utf-8", "surrogateescape"))
    return f"{deployment}-{digest.hexdigest()[:40]}"


def expiry_labels(deployment: str, expires_at: float) -> dict[str, str]:
    """Returns the labels that the sweeper selects expired claims by."""
    bucket = int(expires_at // EXPIRY_BUCKET_S)
    return {"deployment": deployment, EXPIRY_LABEL: str(bucket)}


def to_value(record: Record) -> dict[str, Any]:
    """Returns the JSON value of a record."""
    answer = record.answer._asdict() if record.answer else None
    return {
        **record._asdict(),
        "state": record.state.value,
        "answer": msgspec.to_builtins(answer),
    }


def from_object(item: interface.StoredObject) -> Record | None:
    """Decodes a record; returns None if the object holds something else."""
    fields = {
        name: value
        for name, value in item.value.items()
        if name in Record._fields
    }
    answer = fields.get("answer")
    try:
        if answer is not None:
            ordered = [answer[name] for name in StoredResponse._fields]
            fields["answer"] = msgspec.convert(ordered, StoredResponse)
        row = [
            fields.get(name, Record._field_defaults.get(name))
            for name in Record._fields
        ]
        return msgspec.convert(row, Record)
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


def to_stored_response(response: types.RecordedResponse) -> StoredResponse:
    """Returns the stored form of a response, without a body that is large."""
    size = len(response.body or b"")
    size += sum(len(name) + len(value) for name, value in response.headers)
    if response.body is None or size > MAX_RESPONSE_BYTES:
        return StoredResponse(response.status, (), None)
    body = base64.b64encode(response.body).decode("ascii")
    return StoredResponse(response.status, tuple(response.headers), body)


def from_stored_response(
    stored: StoredResponse,
) -> types.RecordedResponse | None:
    """Returns the response to replay, or None if its body was not stored."""
    if stored.body is None:
        return None
    body = base64.b64decode(stored.body)
    return types.RecordedResponse(stored.status, stored.headers, body)


def deny(
    error_kind: ErrorKind, detail: str, retry_after: float | None = None
) -> types.Denied:
    """Returns a denial."""
    return types.Denied(Failure(error_kind, detail, retry_after))


def is_same_request(
    request: types.ClaimRequest, fingerprint: str, service: str, host: str
) -> bool:
    """Returns whether a request is the one that a key was claimed for.

    Its digest is equal, and its service or its host: a service may have
    several hosts, and a bundle may move a path to another service.

    Args:
        request: The current request.
        fingerprint: Digest of the request that the key was claimed for.
        service: Service of that request.
        host: Host of that request.
    """
    is_same_target = request.service == service or request.host == host
    return request.fingerprint == fingerprint and is_same_target


def evaluate(
    record: Record | None, request: types.ClaimRequest, wall: float
) -> types.ClaimOutcome | None:
    """Returns the outcome of a claim on a key that has a record.

    The clock decides only between two safe outcomes, "in progress" and
    "outcome unknown"; it never makes a key claimable. A claim for which
    `needs_fence` is true must be fenced before its outcome is reported.

    Args:
        record: The record, or None if it cannot be decoded.
        request: The current request.
        wall: Current wall-clock seconds.

    Returns:
        The outcome, or None if the key was released and may be claimed.
    """
    if record is None:
        return deny(
            ErrorKind.KEY_OUTCOME_UNKNOWN, "The key's record is not readable."
        )
    if record.state == State.RELEASED:
        return None
    if not is_same_request(
        request, record.fingerprint, record.service, record.host
    ):
        return deny(
            ErrorKind.KEY_REUSED, "The key was used for another request."
        )
    return evaluate_repeat(record, wall)


def evaluate_repeat(record: Record, wall: float) -> types.ClaimOutcome:
    """Returns the outcome for a request that repeats the one of a record.

    Args:
        record: The record; it is not released.
        wall: Current wall-clock seconds.
    """
    if record.state == State.DONE:
        return _evaluate_done(record)
    if record.state == State.CLAIMED and wall < record.answer_by:
        return deny(
            ErrorKind.KEY_IN_PROGRESS,
            "A request with this key is in progress.",
            IN_PROGRESS_RETRY_S,
        )
    return deny(
        ErrorKind.KEY_OUTCOME_UNKNOWN,
        "A request with this key may or may not have been run.",
    )


def needs_fence(record: Record | None, outcome: types.ClaimOutcome) -> bool:
    """Returns whether a late release could still reverse an outcome."""
    is_unknown = (
        isinstance(outcome, types.Denied)
        and outcome.failure.error_kind is ErrorKind.KEY_OUTCOME_UNKNOWN
    )
    return is_unknown and record is not None and record.state == State.CLAIMED


def to_fenced(record: Record) -> Record:
    """Returns the fenced form of a claimed record; no release frees its key."""
    return record._replace(state=State.FENCED)


def _evaluate_done(record: Record) -> types.ClaimOutcome:
    response = from_stored_response(record.answer) if record.answer else None
    if response is not None:
        return types.Finished(response)
    return deny(
        ErrorKind.KEY_ALREADY_RUN,
        "A request with this key was run; its answer was not kept.",
    )
