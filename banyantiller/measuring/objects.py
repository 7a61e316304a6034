"""How permits are kept in the object API, and the writes that change them."""

from typing import Any, NamedTuple

import msgspec


class Permit(NamedTuple):
    """One permit as it stands in the object API.

    Attributes:
        nonce: Names the take that wrote it.
        lasts_s: Time from the take until another daemon may use it.
    """

    nonce: str
    lasts_s: float


class TakeWrite(NamedTuple):
    """A conditional update that takes permits.

    Attributes:
        value: New value of the object.
        indexes: Permits that it takes.
        uses: Probes that each of them is good for.
        use_s: Time in which they have to be sent.
    """

    value: dict[str, Any]
    indexes: tuple[int, ...]
    uses: int
    use_s: float


class ResetWrite(NamedTuple):
    """A write of fresh permits, which nobody may use for their time.

    Attributes:
        value: New value of the object.
    """

    value: dict[str, Any]


class YieldRequest(NamedTuple):
    """A write that asks the last holders to leave the next turn to others.

    Attributes:
        value: New value of the object.
    """

    value: dict[str, Any]


Write = TakeWrite | ResetWrite | YieldRequest


def read_permits(value: dict[str, Any]) -> list[Permit] | None:
    """Reads the permits of an object, or None if they are not readable."""
    try:
        return msgspec.convert(value.get("permits"), list[Permit])
    except msgspec.ValidationError:
        return None


def to_value(permits: list[Permit], waiting: bool = False) -> dict[str, Any]:
    """Returns the value of an object with these permits."""
    return {"permits": [list(p) for p in permits], "waiting": waiting}
