"""Finds entries of a document that daemons accept but can't use as meant."""

import math
from collections.abc import Iterator

from banyantiller.gateway import types

ROUTES = "routes"
SERVICES = "services"
ORGANISATIONS = "organisations"
# Attempts that fewer requests than this share get to, within the retry budget,
# have no effect.
MIN_SHARE_AT_ATTEMPT = 0.001
# Characters that end the host in the header field of a request.
HOST_ENDS = frozenset(":/?#@[] ")


def find_warnings(
    document: types.Document, retry_ratio: float
) -> list[types.DocumentFinding]:
    """Returns what is probably not meant in a document, in its order.

    Args:
        document: The document.
        retry_ratio: Retries per request that the settings of daemons allow.
    """
    checks = (
        _unreachable_routes(document),
        _times(document),
        _attempts(document, retry_ratio),
        _weights(document),
        _services(document),
        _organisations(document),
    )
    return [finding for check in checks for finding in check]


def max_useful_attempts(retry_ratio: float) -> float:
    """Returns the attempts of a request that a retry budget can pay for.

    Attempts fail independently with the probability p at which the budget is
    just enough for all of them, p / (1 - p) = ratio. The attempt n is needed by
    p ** (n - 1) of the requests.
    """
    if retry_ratio <= 0:
        return 1
    failed = retry_ratio / (1 + retry_ratio)
    return 1 + math.floor(math.log(MIN_SHARE_AT_ATTEMPT) / math.log(failed))


def _route(index: int, field: str, message: str) -> types.DocumentFinding:
    return types.DocumentFinding(ROUTES, index, field, message)


def _unreachable_routes(
    document: types.Document,
) -> Iterator[types.DocumentFinding]:
    first: dict[tuple[str, str], int] = {}
    names: dict[str, int] = {}
    for index, route in enumerate(document.routes):
        other = first.setdefault((route.host, route.prefix), index)
        if other != index:
            yield _route(
                index,
                "prefix",
                f"The route never matches: [{other}] has the same host and"
                " path and comes first.",
            )
        if not route.prefix.startswith("/") or set("?#") & set(route.prefix):
            yield _route(
                index,
                "prefix",
                "The route never matches: a path begins with '/', and has"
                " neither '?' nor '#'.",
            )
        elif not route.prefix.endswith("/"):
            yield _route(
                index,
                "prefix",
                "The path does not end with '/': the route also matches"
                f" '{route.prefix}x'.",
            )
        if not _can_be_sent(route.host):
            yield _route(
                index, "host", f"No caller can send the host '{route.host}'."
            )
        other = names.setdefault(route.name, index)
        if other != index:
            yield _route(
                index,
                "name",
                f"[{other}] has the same name; logs and metrics do not"
                " distinguish them.",
            )


def _can_be_sent(host: str) -> bool:
    """Returns whether the host of a request, without a port, can be this."""
    printable = host.isascii() and host.isprintable()
    return bool(host) and printable and not HOST_ENDS & set(host)


def _times(document: types.Document) -> Iterator[types.DocumentFinding]:
    for index, route in enumerate(document.routes):
        if route.timeout_s <= 0:
            yield _route(index, "timeout_s", "Every request fails: no time.")
        elif route.timeout_s < route.objective_s:
            yield _route(
                index,
                "timeout_s",
                f"The time-out of {route.timeout_s:g} s is below the latency"
                f" objective of {route.objective_s:g} s.",
            )
        if route.objective_s <= 0:
            yield _route(
                index, "objective_s", "No response meets the latency objective."
            )
    for field in types.CallerLimits._fields:
        if getattr(document.limits, field) <= 0:
            yield types.DocumentFinding(
                "limits", None, field, "Every request exceeds the limit."
            )


def _attempts(
    document: types.Document, retry_ratio: float
) -> Iterator[types.DocumentFinding]:
    most = max_useful_attempts(retry_ratio)
    for index, route in enumerate(document.routes):
        if route.max_attempts < 1:
            yield _route(
                index, "max_attempts", "No request is sent to a server."
            )
        elif route.max_attempts > most:
            yield _route(
                index,
                "max_attempts",
                f"The retry budget of {retry_ratio:g} retries per request has"
                f" room for {most} attempts of a request at most.",
            )


def _weights(document: types.Document) -> Iterator[types.DocumentFinding]:
    for index, route in enumerate(document.routes):
        parts = route.weighted_services
        weights = [part.weight for part in parts]
        if min(weights) < 0:
            yield _route(
                index, "weighted_services", "A weight is negative; it counts"
                " as none.",
            )  # fmt: skip
        elif not sum(weights):
            yield _route(
                index,
                "weighted_services",
                f"No service has a weight; '{parts[0].service}' gets all"
                " requests.",
            )
        if len({part.service for part in parts}) < len(parts):
            yield _route(index, "weighted_services", "A service occurs twice.")


def _services(document: types.Document) -> Iterator[types.DocumentFinding]:
    used = {
        part.service
        for route in document.routes
        for part in route.weighted_services
    }
    for index, (name, service) in enumerate(document.services.items()):

        def found(
            field: str, message: str, index: int = index
        ) -> types.DocumentFinding:
            return types.DocumentFinding(SERVICES, index, field, message)

        if name not in used:
            yield found("name", f"No route leads to the service '{name}'.")
        if service.max_connections < 1:
            yield found("max_connections", "Servers accept no connection.")
        if service.cold_per_s <= 0:
            yield found("cold_per_s", "A cold server gets no requests.")
        if not service.health_path.startswith("/"):
            yield found("health_path", "The path does not begin with '/'.")


def _organisations(
    document: types.Document,
) -> Iterator[types.DocumentFinding]:
    if document.organisations is None:
        for index, route in enumerate(document.routes):
            if route.public:
                yield _route(
                    index,
                    "public",
                    "The field has no effect: without organisations, no route"
                    " needs a key.",
                )
        return
    for index, one in enumerate(document.organisations):
        if not one.key_digests:
            yield types.DocumentFinding(
                ORGANISATIONS, index, "key_digests",
                f"No caller belongs to '{one.name}': it has no keys.",
            )  # fmt: skip
        if one.per_s is not None and one.burst < 1:
            yield types.DocumentFinding(
                ORGANISATIONS, index, "burst",
                "The burst is below one request; each relay grants one"
                " nonetheless.",
            )  # fmt: skip
        if one.per_s is None and one.burst:
            yield types.DocumentFinding(
                ORGANISATIONS, index, "burst",
                "The burst has no effect without a rate.",
            )  # fmt: skip
