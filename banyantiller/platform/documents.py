"""Decodes the operators' document as the platform's store holds it."""

import math
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import types

# A route that may be repeated; every other word means that it must not.
REPEATABLE = "safe"


class PartFields(TypedDict):
    """One service of a split route."""

    service: str
    weight: float


class RouteFields(TypedDict, total=False):
    """One route."""

    name: str
    hostname: str
    pathPrefix: str
    # Not the kind of a route but whether its requests are idempotent.
    routeType: str
    timeoutS: float
    # A goal for the whole answer; nothing ends when it passes.
    targetLatencyS: float
    priority: int
    # Servers that one request may be sent to, the first included.
    maxAttempts: int
    service: str
    trafficSplit: list[PartFields]


class ServiceFields(TypedDict):
    """One service."""

    name: str
    healthPath: str
    # For each server and all callers together, not for the service.
    maxConns: int
    # Of one cold server, from all daemons together.
    warmupPerS: NotRequired[float]


class LimitFields(TypedDict):
    """Limits for callers."""

    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutS: float
    idleTimeoutS: float


class DocumentFields(TypedDict):
    """The whole document."""

    version: int
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields


def read_document(value: dict[str, Any]) -> types.Document:
    """Decodes a document.

    Raises:
        ValueError: It can't be read whole; the message names the place.
    """
    fields = msgspec.convert(value, DocumentFields)
    services = {
        item["name"]: _read_service(item) for item in fields["services"]
    }
    routes = tuple(
        _read_route(item, f"routes[{index}]", services)
        for index, item in enumerate(fields["routes"])
    )
    limits = fields["limits"]
    return types.Document(
        fields["version"],
        routes,
        services,
        types.CallerLimits(
            limits["maxHeaderBytes"],
            limits["maxBodyBytes"],
            limits["headerTimeoutS"],
            limits["idleTimeoutS"],
        ),
    )


def _read_service(fields: ServiceFields) -> types.Service:
    return types.Service(
        fields["name"],
        fields["healthPath"],
        fields["maxConns"],
        fields.get("warmupPerS", math.inf),
    )


def _read_route(
    fields: RouteFields, place: str, services: dict[str, types.Service]
) -> types.Route:
    try:
        route = types.Route(
            fields["name"],
            fields["hostname"].lower(),
            fields["pathPrefix"],
            fields["routeType"] == REPEATABLE,
            fields["timeoutS"],
            fields["targetLatencyS"],
            fields["priority"],
            fields["maxAttempts"],
            _read_parts(fields),
        )
    except KeyError as error:
        raise ValueError(f"{place}: {error} is missing") from error
    for part in route.parts:
        if part.service not in services:
            raise ValueError(f"{place}: no service is named '{part.service}'")
    return route


def _read_parts(fields: RouteFields) -> tuple[types.Part, ...]:
    split = fields.get("trafficSplit")
    if split:
        return tuple(types.Part(p["service"], p["weight"]) for p in split)
    return (types.Part(fields["service"], 1.0),)
