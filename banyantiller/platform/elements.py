"""Reads the elements of a JSON list one by one, since some may be malformed.

Objects of the store are written by many programs, some of which emit what is no
JSON, such as `NaN`. A decoder of the whole response rejects it for one of them.

The library's lenient decoder takes what has an obvious meaning: constants that
JSON lacks, which become null, and control characters in strings. An element
that it can't decode either has no known end, so reading stops there; the store
is asked for what comes after it.
"""

import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

SEPARATORS = re.compile(r"[\s,]*")


class Elements(NamedTuple):
    """Elements of a list.

    Attributes:
        texts: Each element as sound JSON, in their order. One that can't be
            decoded is replaced, or left out if there is no replacement.
        frame: The text around the elements; empty if reading stopped before
            the end of the list.
    """

    texts: list[bytes]
    frame: str


def read(
    text: str,
    field: str,
    replacement: Callable[[dict[str, Any]], dict[str, Any] | None],
) -> Elements:
    """Reads the elements of the list in a field.

    Args:
        text: JSON text of limited depth; elements may be malformed.
        field: Name of the field, the first of this name.
        replacement: Returns what stands for a malformed element, or None. It
            receives the first complete object inside the element, or an empty
            one.

    Raises:
        ValueError: There is no such field.
    """
    opening = re.search(rf'"{field}"\s*:\s*\[', text)
    if opening is None:
        raise ValueError(f"there is no list '{field}'")
    position = opening.end()
    texts: list[bytes] = []
    objects: list[dict[str, Any]] = []
    decoder = _lenient_decoder(objects)
    while True:
        position = SEPARATORS.match(text, position).end()
        if text.startswith("]", position):
            return Elements(texts, text[: opening.end()] + text[position:])
        objects.clear()
        try:
            value, end = decoder.raw_decode(text, position)
            sound = _to_sound_json(text[position:end], value)
        except ValueError:
            sound, end = None, -1
        if sound is None:
            stand_in = replacement(objects[0] if objects else {})
            sound = stand_in and msgspec.json.encode(stand_in)
        if sound is not None:
            texts.append(sound)
        if end < 0:
            return Elements(texts, "")
        position = end


def _lenient_decoder(objects: list[dict[str, Any]]) -> json.JSONDecoder:
    """Returns a decoder that adds each complete object to a list."""

    def add(fields: dict[str, Any]) -> dict[str, Any]:
        objects.append(fields)
        return fields

    return json.JSONDecoder(
        strict=False, parse_constant=lambda _: None, object_hook=add
    )


def _to_sound_json(text: str, value: Any) -> bytes | None:
    """Returns JSON that other daemons can decode, or None if there is none."""
    source = text.encode()
    try:
        msgspec.json.decode(source)
    except msgspec.DecodeError:
        try:
            return msgspec.json.encode(value)
        except (ValueError, OverflowError):
            return None
    return source
