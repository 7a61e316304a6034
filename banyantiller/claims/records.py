"""How a claim is kept in the object API, and what it tells a repeated caller.

One object holds one key. Its state is one of `State`; only the daemon that
holds the nonce moves it out of `CLAIMED`, but for the fence of one that tells
a caller that the outcome is unknown. So a claim whose outcome nobody knows can
never be granted again.
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
        CLAIMED: One daemon may send the request, or sent it.
        DONE: The request was run and its answer was seen.
        UNKNOWN: It was sent, and nobody can tell whether it was run; or it
            was not sent, but callers were told that its outcome is unknown.
        FENCED: Its daemon did not end it in time, and another one tells
            callers that the outcome is unknown.
        RELEASED: It was certainly not sent; the key may be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    FENCED = "fenced"
    RELEASED = "released"


# States in which a claim's daemon may still send the request.
SENDABLE_STATES = (State.CLAIMED, State.FENCED)


class StoredResponse(NamedTuple):
    """JSON form of a recorded answer.

    Attributes:
        status: Status code.
        headers: Pairs of name and value.
        body: Body in base64, or None if it was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str | None


class Record(NamedTuple):
    """Content of one claim object; times are wall-clock seconds.

    Attributes:
        service: Service under whose options the key was claimed.
        fingerprint: Digest of the request that the key stands for.
        nonce: Names the claim that wrote the record last.
        daemon: Daemon that wrote it last.
        state: State of the key.
        claimed_at: When the key was claimed first.
        answer_by: When the caller of the claim stops waiting.
        expires_at: When the key may be forgotten.
        answer: The recorded answer of a finished request.
        host: Host of the request that the key stands for.
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

    The key alone names it: a name that holds the service lets a request run
    twice when a bundle gives its path to another service.
    """
    return _object_name(deployment, "", request.key)


def legacy_object_name(deployment: str, request: types.ClaimRequest) -> str:
    """Returns the name under which earlier versions kept a key."""
    return _object_name(deployment, request.service, request.key)


def _object_name(deployment: str, service: str, key: str) -> str:
    text = f"{service}\0{key}"
    digest = hashlib.sha256(text.encode("utf-8", "surrogateescape"))
    return f"{deployment}-{digest.hexdigest()[:40]}"


def expiry_labels(deployment: str, expires_at: float) -> dict[str, str]:
    """Returns the labels by which the sweeper finds expired claims."""
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
    """Reads a record, or None when the object holds something else."""
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
    """Returns what is kept of an response; a large body is dropped."""
    size = len(response.body or b"")
    size += sum(len(name) + len(value) for name, value in response.headers)
    if response.body is None or size > MAX_RESPONSE_BYTES:
        return StoredResponse(response.status, (), None)
    body = base64.b64encode(response.body).decode("ascii")
    return StoredResponse(response.status, tuple(response.headers), body)


def from_stored_response(
    stored: StoredResponse,
) -> types.RecordedResponse | None:
    """Returns the answer to repeat, or None if it was not kept whole."""
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
    """Tells whether a request is the one that a key stands for.

    It has the same digest, and the same service or the same host: a service may
    have several hosts, and a bundle may give a path to another service.

    Args:
        request: The present request.
        fingerprint: Digest of the request that the key stands for.
        service: Service of that request.
        host: Host of that request.
    """
    is_same_target = request.service == service or request.host == host
    return request.fingerprint == fingerprint and is_same_target


def evaluate(
    record: Record | None, request: types.ClaimRequest, wall: float
) -> types.ClaimOutcome | None:
    """Tells what a caller gets whose key has a record already.

    The clock decides only between two answers that are both safe: "in
    progress" and "outcome unknown". It never makes a key claimable. Whoever
    says "outcome unknown" of a claim that `needs_fence` must fence it first.

    Args:
        record: The record, or None when it could not be understood.
        request: The present request.
        wall: Wall-clock seconds now.

    Returns:
        The outcome, or None when the key was released and may be claimed.
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
    """Tells what a caller gets who repeats the request of a key.

    Args:
        record: The record; it is not released.
        wall: Wall-clock seconds now.
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
    """Tells whether an outcome could still be undone by a late release."""
    is_unknown = (
        isinstance(outcome, types.Denied)
        and outcome.failure.kind is ErrorKind.KEY_OUTCOME_UNKNOWN
    )
    return is_unknown and record is not None and record.state == State.CLAIMED


def to_fenced(record: Record) -> Record:
    """Returns a claimed record as one that no release can undo."""
    return record._replace(state=State.FENCED)


def _evaluate_done(record: Record) -> types.ClaimOutcome:
    answer = from_stored_response(record.answer) if record.answer else None
    if answer is not None:
        return types.Finished(answer)
    return deny(
        ErrorKind.KEY_ALREADY_RUN,
        "A request with this key was run; its answer was not kept.",
    )
