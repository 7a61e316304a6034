"""Evaluates what servers state about themselves in their responses."""

import functools
from collections.abc import Callable
from typing import NamedTuple

from banyantiller.gateway import (
    exchange,
    server_backoffs,
    server_limits,
    servers,
    types,
)
from banyantiller.http import messages

Recorder = Callable[[types.Server, messages.Response, float], None]


class Recorders(NamedTuple):
    """Functions that evaluate a response.

    Each is called with the server, the head of its response, and the loop time
    at which the request or probe was sent.

    Attributes:
        to_request: Evaluates a response to a caller's request.
        to_probe: Evaluates a response to a health probe.
    """

    to_request: Recorder
    to_probe: Recorder


def recorders(
    wire: types.WireNames,
    table: servers.ServerTable,
    limits: server_limits.ServerLimits,
    backoffs: server_backoffs.ServerBackoffs,
) -> Recorders:
    """Returns the functions that pass responses on to these trackers."""

    def record(
        server: types.Server,
        response: messages.Response,
        sent_at: float,
        to_request: bool,
    ) -> None:
        if _is_from_another_server(server, response, wire):
            return
        limits.record_response(server, response.headers, sent_at, to_request)
        backoffs.record_response(server, response)
        if response.header(wire.leaving.decode()):
            table.record_leaving(server)

    return Recorders(
        functools.partial(record, to_request=True),
        functools.partial(record, to_request=False),
    )


def _is_from_another_server(
    server: types.Server, response: messages.Response, wire: types.WireNames
) -> bool:
    """Returns whether another server now responds at a server's address."""
    instance = response.header(wire.instance.decode())
    is_other = bool(instance) and instance != server.instance
    return is_other or response.status in exchange.NOT_RUN_STATUSES
