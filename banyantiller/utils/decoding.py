"""Decodes messages that another process sent."""

from typing import Any

import msgspec


class UnreadableError(ValueError):
    """A message can't be decoded."""


def from_json(data: bytes | str, message_type: Any) -> Any:
    """Decodes JSON.

    Raises:
        UnreadableError: It is malformed, of another type, or nested too deep.
    """
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise UnreadableError(str(error)) from error


def from_msgpack(data: bytes, message_type: Any) -> Any:
    """Decodes MessagePack.

    Raises:
        UnreadableError: It is malformed, of another type, or nested too deep.
    """
    try:
        return msgspec.msgpack.decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise UnreadableError(str(error)) from error


def describe_error(error: Exception) -> str:
    """Returns the message of a decoding error for the log."""
    return str(error) or type(error).__name__
