"""Translates HTTP responses of the object API into outcomes of calls.

The outcome of a failed write is `Unavailable` only if the write certainly had
no effect, and `Unknown` otherwise.
"""

from banyantiller.http import outcomes
from banyantiller.store import interface, wire

# The API server returns these before it changes anything.
NO_EFFECT_STATUSES = frozenset(
    (400, 401, 402, 403, 405, 406, 411, 413, 414, 415, 422, 429, 431)
)


def describe_refusal(answer: outcomes.Answered) -> str:
    """Returns a short reason from an error response."""
    code = answer.response.status
    status = wire.decode_status(answer.body)
    detail = status.message or status.reason
    return f"status {code}: {detail[:200]}" if detail else f"status {code}"


def has_no_effect(answer: outcomes.Answered) -> bool:
    """Returns whether a failed write certainly had no effect.

    A 503 counts only if it is from the API server itself, with a Retry-After
    field; an intermediary may return one for a write that it has forwarded.
    """
    code = answer.response.status
    if code == 503 and answer.response.header("retry-after"):
        return wire.decode_status(answer.body).status == "Failure"
    return code in NO_EFFECT_STATUSES


def decode_read(
    kind: str, outcome: outcomes.Outcome
) -> interface.Found | interface.Missing | interface.Unavailable:
    """Returns the outcome of reading one object."""
    if not isinstance(outcome, outcomes.Answered):
        return interface.Unavailable(outcome.reason)
    if outcome.response.status == 404:
        return interface.Missing()
    if outcome.response.status != 200:
        return interface.Unavailable(describe_refusal(outcome))
    try:
        return interface.Found(wire.decode_object(kind, outcome.body))
    except wire.WireError as error:
        return interface.Unavailable(str(error))


def decode_write(
    sent_item: interface.StoredObject, outcome: outcomes.Outcome, verb: str
) -> interface.UpdateOutcome:
    """Returns the outcome of a write.

    Args:
        sent_item: The object that was sent.
        outcome: Outcome of the HTTP request.
        verb: "create", "update" or "delete".
    """
    if isinstance(outcome, outcomes.NotSent):
        return interface.Unavailable(outcome.reason)
    if isinstance(outcome, outcomes.Lost):
        return interface.Unknown(outcome.reason)
    code = outcome.response.status
    if code in (200, 201, 202):
        return _decode_written(sent_item, outcome, verb)
    if code == 409:
        return interface.Conflict()
    if code == 404:
        if verb == "create":
            return interface.Unavailable(describe_refusal(outcome))
        return interface.Missing()
    if has_no_effect(outcome):
        return interface.Unavailable(describe_refusal(outcome))
    return interface.Unknown(describe_refusal(outcome))


def _decode_written(
    sent_item: interface.StoredObject, answer: outcomes.Answered, verb: str
) -> interface.Found | interface.Unknown:
    try:
        item = wire.decode_object(sent_item.kind, answer.body)
    except wire.WireError as error:
        # The response to a delete is the object or just a status.
        status = wire.decode_status(answer.body).status
        if verb == "delete" and status == "Success":
            return interface.Found(sent_item)
        return interface.Unknown(str(error))
    if item.name != sent_item.name:
        return interface.Unknown("the response is about another object")
    return interface.Found(item)
