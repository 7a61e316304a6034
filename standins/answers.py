"""JSON answers that the stand-ins share."""

import json
from typing import Any

from banyantiller.http import messages

JSON_TYPE = ("content-type", "application/json")


class BadRequestError(ValueError):
    """A request to a stand-in's own paths is not valid."""


def to_json(
    status: int, value: Any, headers: messages.Headers = ()
) -> messages.Response:
    """Returns a JSON answer."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return messages.Response(status, (JSON_TYPE, *headers), body)


def read_object(body: bytes) -> dict[str, Any]:
    """Reads a JSON object.

    Raises:
        BadRequestError: It is something else.
    """
    try:
        found = json.loads(body or b"{}")
    except ValueError as error:
        raise BadRequestError(f"not JSON: {error}") from error
    if not isinstance(found, dict):
        raise BadRequestError("not a JSON object")
    return found


def apply_fields(target: Any, body: bytes) -> None:
    """Sets attributes of a dataclass from a JSON object.

    Raises:
        BadRequestError: A field is unknown or of another type.
    """
    changes = read_object(body)
    for name, value in changes.items():
        present = getattr(target, name, None)
        if present is None or name.startswith("_"):
            raise BadRequestError(f"no field named {name}")
        if isinstance(present, float) and isinstance(value, int):
            value = float(value)
        if type(value) is not type(present):
            raise BadRequestError(f"{name} is a {type(present).__name__}")
    for name, value in changes.items():
        setattr(target, name, value)
