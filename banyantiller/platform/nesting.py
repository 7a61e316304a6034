"""Limits how deep the values in JSON texts of the store are nested.

Decoders and encoders are recursive and fail on deep values, at depths that
vary with the calls around them. One deep value would then fail a whole page of
objects, or be read by one daemon and fail at the next.
"""

import re

# Documents and registrations have less than ten levels.
MAX_DEPTH = 64
STRING = rb'"(?:[^"\\]|\\.)*"'
STRINGS = re.compile(STRING, re.DOTALL)
BRACKETS = re.compile(rb"[\[\]{}]")
TOKENS = re.compile(STRING + rb"|[\[\]{}]", re.DOTALL)
OPENING = (b"[", b"{")


def is_too_deep(text: bytes) -> bool:
    """Returns whether a JSON text is nested too deep."""
    if text.count(b"[") + text.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for bracket in BRACKETS.findall(STRINGS.sub(b"", text)):
        depth += 1 if bracket in OPENING else -1
        if depth > MAX_DEPTH:
            return True
    return False


def drop_deep_values(text: bytes, level: int) -> bytes:
    """Replaces values that are nested too deep by null.

    Args:
        text: JSON text.
        level: Number of arrays and objects around the values to replace.
    """
    kept = []
    kept_until = 0
    depth = deepest = start = 0
    for token in TOKENS.finditer(text):
        if token[0][:1] == b'"':
            continue
        if token[0] in OPENING:
            if depth == level:
                start = token.start()
                deepest = 0
            depth += 1
            deepest = max(deepest, depth - level)
            continue
        depth -= 1
        if depth == level and deepest > MAX_DEPTH:
            kept += (text[kept_until:start], b"null")
            kept_until = token.end()
    return b"".join((*kept, text[kept_until:]))
