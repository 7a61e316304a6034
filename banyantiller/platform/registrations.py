"""Decodes what servers write of themselves into the platform's store."""

from typing import Any, TypedDict

import msgspec

from banyantiller.gateway import types

LEAVING = "draining"


class RegistrationFields(TypedDict):
    """What a server writes of itself."""

    service: str
    address: str
    zone: str
    # Requests executed at once; connections have a limit of their own.
    maxConcurrency: int
    state: str
    # Slow for so long after its start; it takes requests all the same.
    warmupLeftS: float


def read_server(name: str, value: dict[str, Any]) -> types.Server:
    """Decodes a registration.

    Args:
        name: Name of the object, which is the instance.
        value: Its content.

    Raises:
        ValueError: It can't be read whole; the message names the place.
    """
    fields = msgspec.convert(value, RegistrationFields)
    host, _, port = fields["address"].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address: '{fields['address']}' is not HOST:PORT")
    return types.Server(
        instance=name,
        service=fields["service"],
        host=host,
        port=int(port),
        zone=fields["zone"],
        slots=max(1, fields["maxConcurrency"]),
        leaving=fields["state"] == LEAVING,
        warmup_s=fields["warmupLeftS"],
    )
