"""Decodes what servers write of themselves into the platform's store."""

import socket
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import types

LEAVING = "draining"
# An entry with any other state was not written by a server.
STATES = frozenset(("ready", LEAVING))


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
    # Unix milliseconds of the start, not an age; servers of earlier releases
    # leave it out.
    born: NotRequired[int]


def read_server(name: str, value: dict[str, Any]) -> types.Server:
    """Decodes a registration.

    Args:
        name: Name of the object, which is the instance.
        value: Its content.

    Raises:
        ValueError: It can't be read whole; the message names the place.
    """
    fields = msgspec.convert(value, RegistrationFields)
    host, port = _parse_address(fields["address"])
    if fields["state"] not in STATES:
        raise ValueError(f"state: '{fields['state']}' is not known")
    if fields["maxConcurrency"] < 1:
        raise ValueError("maxConcurrency: it is below 1")
    return types.Server(
        instance=name,
        service=fields["service"],
        host=host,
        port=port,
        zone=fields["zone"],
        slots=fields["maxConcurrency"],
        leaving=fields["state"] == LEAVING,
        warmup_s=fields["warmupLeftS"],
        started_ms=fields.get("born", 0),
    )


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
        number = int(port)
    except (OSError, ValueError):
        number = 0
    if not 0 < number < 65536:
        raise ValueError(f"address: '{text}' is not an IP number and a port")
    return host, number
