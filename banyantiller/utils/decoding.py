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


def is_number(text: str) -> bool:
    """Returns whether a text consists of ASCII digits, which `int` reads.

    `str.isdigit` also holds for characters such as a superscript two.
    """
    return text.isascii() and text.isdigit()


def describe_error(error: Exception) -> str:
    """Returns the message of a decoding error for the log."""
    return str(error) or type(error).__name__
