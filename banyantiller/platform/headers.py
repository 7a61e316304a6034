"""Header fields exchanged with callers and the platform's servers."""

from collections.abc import Sequence

from banyantiller.gateway import types
from banyantiller.utils import decimals

WIRE = types.WireNames(
    # Identifies one request of a caller; a retry by the caller has another.
    request_id=b"attempt-id",
    # Remaining time, not a point in time.
    deadline_ms=b"deadline-ms",
    # Shows that the response is from a server; not a cryptographic signature.
    signature=b"upstream-signature",
    expected_instance=b"target-instance",
    instance=b"instance-id",
    load=b"upstream-load",
    not_run=b"not-executed",
    # Only in responses to health probes; omitted by a warm server.
    warmup_ms=b"warmup-ms",
    # Requests per second from all daemons together, not per daemon.
    limit=b"server-limit",
    # Also while the registration does not say so yet, or if it never does.
    leaving=b"server-leaving",
    # Key of the caller's organisation, instead of the standard field.
    caller=b"credential",
    # Only towards servers; a caller's own value is not forwarded.
    organisation=b"tenant",
)

# In refusals of servers. A standard field, which the gateway sends to callers
# as well, so it is not among the platform's own names.
RETRY_AFTER = "retry-after"
NORMAL_SLOWNESS_PERCENT = 100.0


def read_load(value: bytes) -> types.Load | None:
    """Decodes "running,waiting,slots[,slowness]", with slowness in percent."""
    try:
        numbers = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(numbers) < 3 or min(numbers) < 0:
        return None
    slowness = numbers[3] / NORMAL_SLOWNESS_PERCENT if len(numbers) > 3 else 1.0
    return types.Load(numbers[0], numbers[1], numbers[2], slowness)


def read_limit(texts: Sequence[str]) -> float:
    """Decodes the rate limit of a server, in requests per second.

    Args:
        texts: Values of all occurrences of the field.

    Raises:
        ValueError: They are not one decimal number.
    """
    return _read_decimal(texts)


def read_retry_after(texts: Sequence[str]) -> float:
    """Decodes the time for which a server wants no requests, in seconds.

    The platform allows fractions of a second, and no dates.

    Args:
        texts: Values of all occurrences of the field.

    Raises:
        ValueError: They are not one decimal number.
    """
    return _read_decimal(texts)


def _read_decimal(texts: Sequence[str]) -> float:
    if len(set(texts)) != 1:
        raise ValueError("the field occurs with different values")
    return decimals.parse(texts[0])
