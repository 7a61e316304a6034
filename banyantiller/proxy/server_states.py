"""The states of a service's servers, as passed to the routing."""

from collections.abc import Container

from banyantiller.bundle import options
from banyantiller.routing import types


def of_service(
    service: options.Service, leaving: Container[str]
) -> tuple[types.ServerState, ...]:
    """Returns the state of each server.

    Servers of an evacuated zone get no new calls, like those that leave.

    Args:
        service: The service.
        leaving: Names of its servers that leave.
    """
    return tuple(
        types.ServerState(
            server.name,
            server.zone,
            server.slots or service.slots,
            server.group,
            server.name in leaving or server.zone in service.evacuated_zones,
        )
        for server in service.servers
    )
