"""Decodes the operators' document from the platform's store."""

import math
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import access_keys, types

# Types of a route whose requests may be retried; any other type forbids it.
REPEATABLE = frozenset(("safe", "download"))
# Type of a route whose responses are large.
LARGE_RESPONSES = "download"


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
    # Whether requests need no key; nothing else is public about the route.
    public: bool


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


class OrganisationFields(TypedDict):
    """One organisation, without its keys; see `hide_keys`."""

    name: str
    keyDigests: list[str]
    # Takes precedence over the priority of the route.
    priority: NotRequired[int]
    # Over all daemons; 0 is no limit.
    ratePerS: NotRequired[float]
    # Requests beyond the rate, not a rate of its own.
    burst: NotRequired[float]


class DocumentFields(TypedDict):
    """The document."""

    version: int
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields
    # Without this field callers need no keys; an empty list admits nobody.
    tenants: NotRequired[list[OrganisationFields]]


def hide_keys(value: Any) -> Any:
    """Replaces the keys in a document by their digests.

    A document whose keys are hidden already is returned as it is. A malformed
    part is dropped instead of copied, since it may contain keys;
    `read_document` then rejects the document.
    """
    if not isinstance(value, dict) or "tenants" not in value:
        return value
    organisations = value["tenants"]
    if isinstance(organisations, list):
        organisations = [_hide_keys_of(one) for one in organisations]
    else:
        organisations = None
    return value | {"tenants": organisations}


def _hide_keys_of(fields: Any) -> Any:
    if not isinstance(fields, dict):
        return None
    shown = {name: value for name, value in fields.items() if name != "apiKeys"}
    if "apiKeys" not in fields and "keyDigests" in fields:
        return fields
    keys = fields.get("apiKeys", [])
    readable = isinstance(keys, list) and all(
        isinstance(key, str) for key in keys
    )
    if not readable:
        return shown | {"keyDigests": None}
    return shown | {
        "keyDigests": [access_keys.digest(key.encode()) for key in keys]
    }


def read_document(value: dict[str, Any]) -> types.Document:
    """Decodes a document.

    Raises:
        ValueError: It is malformed; the message names the place.
    """
    fields = msgspec.convert(hide_keys(value), DocumentFields)
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
        _read_organisations(fields),
    )


def _read_organisations(
    fields: DocumentFields,
) -> tuple[types.Organisation, ...] | None:
    """Returns the organisations, or None if callers need no keys.

    Raises:
        ValueError: Two organisations have the same name or share a key, which
            would make a request belong to either.
    """
    if "tenants" not in fields:
        return None
    holders: dict[str, int] = {}
    names: set[str] = set()
    found = []
    for index, item in enumerate(fields["tenants"]):
        place = f"tenants[{index}]"
        if not item["name"].isascii() or not item["name"].isprintable():
            raise ValueError(f"{place}: the name can't be sent in a header")
        if not item["name"] or item["name"] in names:
            raise ValueError(f"{place}: the name is empty or used twice")
        names.add(item["name"])
        for key_digest in item["keyDigests"]:
            other = holders.setdefault(key_digest, index)
            if other != index:
                raise ValueError(f"{place}: it shares a key with [{other}]")
        found.append(_read_organisation(item, place))
    return tuple(found)


def _read_organisation(
    fields: OrganisationFields, place: str
) -> types.Organisation:
    per_s = fields.get("ratePerS", 0.0)
    burst = fields.get("burst", 0.0)
    if not 0 <= per_s < math.inf or not 0 <= burst < math.inf:
        raise ValueError(f"{place}: an allowance is negative or infinite")
    return types.Organisation(
        fields["name"],
        tuple(fields["keyDigests"]),
        fields.get("priority"),
        per_s or None,
        burst,
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
            fields["routeType"] in REPEATABLE,
            fields["timeoutS"],
            fields["targetLatencyS"],
            fields["priority"],
            fields["maxAttempts"],
            _read_parts(fields),
            fields.get("public", False),
            fields["routeType"] == LARGE_RESPONSES,
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
