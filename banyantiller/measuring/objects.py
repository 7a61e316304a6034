"""Permits as stored in the object API, and the writes that change them."""

from typing import Any, NamedTuple

import msgspec


class Permit(NamedTuple):
    """One permit as stored in the object API.

    Attributes:
        nonce: Identifies the write that acquired the permit.
        lasts_s: Time from that write until another daemon may acquire it.
    """

    nonce: str
    lasts_s: float


class TakeWrite(NamedTuple):
    """A conditional update that acquires permits.

    Attributes:
        value: New value of the object.
        indexes: Indexes of the permits that it acquires.
        uses: Probes that each of them allows.
        use_s: Time within which the probes must be sent.
    """

    value: dict[str, Any]
    indexes: tuple[int, ...]
    uses: int
    use_s: float


class ResetWrite(NamedTuple):
    """A write of new permits, which no daemon may use until they expire.

    Attributes:
        value: New value of the object.
    """

    value: dict[str, Any]


class YieldRequest(NamedTuple):
    """A write that asks the last holders to leave the permits to other daemons.

    Attributes:
        value: New value of the object.
    """

    value: dict[str, Any]


Write = TakeWrite | ResetWrite | YieldRequest


def read_permits(value: dict[str, Any]) -> list[Permit] | None:
    """Decodes the permits of an object; None if they are malformed."""
    try:
        return msgspec.convert(value.get("permits"), list[Permit])
    except msgspec.ValidationError:
        return None


def to_value(permits: list[Permit], waiting: bool = False) -> dict[str, Any]:
    """Returns the value of an object with these permits."""
    return {"permits": [list(p) for p in permits], "waiting": waiting}
