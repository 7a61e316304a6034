"""Limits how deep the values in objects of the store are nested.

Decoders and encoders are recursive and fail on deep values, at depths that
vary with the calls around them. One deep value would then fail a whole page of
objects, or be read by one daemon and fail at the next.

What is too deep is replaced by null, since the same object may have fields that
are read and one that nobody reads.
"""

import re
from typing import Any

# Documents and registrations have less than ten levels.
MAX_DEPTH = 64
# A string without an end extends to the end of the text. If it did not match,
# each quote in it would be tried as another start, in quadratic time.
TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[\[\]{}]', re.DOTALL)
OPENING = (b"[", b"{")
CLOSING = (b"]", b"}")
CONTAINERS = frozenset((dict, list))


def cut_deep_values(value: Any) -> Any:
    """Replaces arrays and objects that are nested too deep, in place."""
    level = [value] if type(value) in CONTAINERS else []
    for _ in range(MAX_DEPTH - 1):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if type(outer) is dict else outer)
            if type(inner) in CONTAINERS
        ]
        if not level:
            return value
    for outer in level:
        keys = list(outer) if type(outer) is dict else range(len(outer))
        for key in keys:
            if type(outer[key]) in CONTAINERS:
                outer[key] = None
    return value


def cut_deep_text(text: bytes, level: int) -> bytes:
    """Replaces arrays and objects that are nested too deep in a JSON text.

    Used where a decoder fails on the depth. The time is linear, whatever the
    text.

    Args:
        text: JSON text, possibly malformed.
        level: Number of arrays and objects around the values whose depth
            counts.
    """
    limit = level + MAX_DEPTH
    kept = []
    kept_until = 0
    start = 0
    depth = 0
    for token in TOKENS.finditer(text):
        if token[0] in OPENING:
            depth += 1
            if depth == limit + 1:
                start = token.start()
        elif token[0] in CLOSING:
            if depth == limit + 1:
                kept += (text[kept_until:start], b"null")
                kept_until = token.end()
            depth -= 1
    # A deep value without an end would fail the decoder as well.
    end = start if depth > limit else len(text)
    return b"".join((*kept, text[kept_until:end]))
