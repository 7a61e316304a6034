"""Decodes the registrations that servers write to the platform's store."""

import socket
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import types

LEAVING = "draining"
# A registration with another state was not written by a server.
STATES = frozenset(("ready", LEAVING))


class RegistrationFields(TypedDict):
    """Registration of one server."""

    service: str
    address: str
    zone: str
    # Concurrent requests; connections have a separate limit.
    maxConcurrency: int
    state: str
    # Remaining warm-up time; the server is slow but accepts requests.
    warmupLeftS: float
    # Start as Unix time in milliseconds, not an age; servers of earlier
    # releases omit it.
    born: NotRequired[int]


def read_server(name: str, value: dict[str, Any]) -> types.Server:
    """Decodes a registration.

    Args:
        name: Name of the object, which is the instance.
        value: Content of the object.

    Raises:
        ValueError: It is malformed; the message names the place.
    """
    fields = msgspec.convert(value, RegistrationFields)
    host, port = _parse_address(fields["address"])
    if fields["state"] not in STATES:
        raise ValueError(f"state: '{fields['state']}' is not known")
    if fields["maxConcurrency"] < 1:
        raise ValueError("maxConcurrency: the value is below 1")
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
        raise ValueError(f"address: '{text}' is not an IPv4 address and a port")
    return host, number
