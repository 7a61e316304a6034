"""Decodes the operators' document from the platform's store."""

import math
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import types

# Type of a route whose requests may be retried; any other type forbids it.
REPEATABLE = "safe"


class PartFields(TypedDict):
    """One service of a route with split traffic."""

    service: str
    weight: float


class RouteFields(TypedDict, total=False):
    """One route."""

    name: str
    hostname: str
    pathPrefix: str
    # Despite its name, states whether requests are idempotent.
    routeType: str
    timeoutS: float
    # Objective for the whole response; exceeding it does not end a request.
    targetLatencyS: float
    priority: int
    # Maximum servers that one request is sent to, including the first.
    maxAttempts: int
    service: str
    trafficSplit: list[PartFields]


class ServiceFields(TypedDict):
    """One service."""

    name: str
    healthPath: str
    # Per server and for all callers together, not per service.
    maxConns: int
    # Rate for one cold server, from all daemons together.
    warmupPerS: NotRequired[float]


class LimitFields(TypedDict):
    """Limits for callers."""

    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutS: float
    idleTimeoutS: float


class DocumentFields(TypedDict):
    """The document."""

    version: int
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields


def read_document(value: dict[str, Any]) -> types.Document:
    """Decodes a document.

    Raises:
        ValueError: It is malformed; the message names the place.
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
    for part in route.weighted_services:
        if part.service not in services:
            raise ValueError(f"{place}: no service is named '{part.service}'")
    return route


def _read_parts(fields: RouteFields) -> tuple[types.WeightedService, ...]:
    split = fields.get("trafficSplit")
    if split:
        return tuple(
            types.WeightedService(p["service"], p["weight"]) for p in split
        )
    return (types.WeightedService(fields["service"], 1.0),)
