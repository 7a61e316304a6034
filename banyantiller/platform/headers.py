"""Header fields between callers, this program and the platform's servers."""

import re
from collections.abc import Sequence

from banyantiller.gateway import types

WIRE = types.WireNames(
    # One sending by a caller; a caller's retry has another.
    request_id=b"attempt-id",
    # Time left from now on, not a point in time.
    deadline_ms=b"deadline-ms",
    # Shows that the answer is a server's; it signs nothing.
    signature=b"upstream-signature",
    expected_instance=b"target-instance",
    instance=b"instance-id",
    load=b"upstream-load",
    not_run=b"not-executed",
    # Only in answers to questions for health; left out by a warm server.
    warmup_ms=b"warmup-ms",
    # Requests a second from all daemons together, not from one.
    limit=b"server-limit",
    # The key of a caller's organisation, in place of the usual field.
    caller=b"credential",
)

NORMAL_SLOWNESS_PERCENT = 100.0
# Digits on either side of the point; more are no figure of requests a second.
LIMIT = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)
MAX_SHOWN_CHARS = 20


def read_load(value: bytes) -> types.Load | None:
    """Decodes "running,waiting,slots[,slowness]", slowness in percent."""
    try:
        numbers = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(numbers) < 3 or min(numbers) < 0:
        return None
    slowness = numbers[3] / NORMAL_SLOWNESS_PERCENT if len(numbers) > 3 else 1.0
    return types.Load(numbers[0], numbers[1], numbers[2], slowness)


def read_limit(texts: Sequence[str]) -> float:
    """Decodes the requests a second that a server takes.

    Args:
        texts: Values of the field, one for each time that it occurs.

    Raises:
        ValueError: They are not one decimal number.
    """
    if len(set(texts)) != 1:
        raise ValueError("the field occurs twice")
    text = texts[0].strip()
    if not LIMIT.fullmatch(text):
        raise ValueError(f"'{text[:MAX_SHOWN_CHARS]}' is not a decimal number")
    return float(text)
