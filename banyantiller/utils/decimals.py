"""Parses decimal numbers of header fields."""

import re

# More digits on either side of the point are no plausible rate or time.
DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)
MAX_SHOWN_CHARS = 20


def parse(text: str) -> float:
    """Returns a decimal number without sign and exponent.

    Args:
        text: The number; white space around it is ignored.

    Raises:
        ValueError: It is no such number.
    """
    stripped = text.strip()
    if not DECIMAL.fullmatch(stripped):
        shown = stripped[:MAX_SHOWN_CHARS]
        raise ValueError(f"'{shown}' is not a decimal number")
    return float(stripped)
