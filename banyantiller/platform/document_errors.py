"""Finds all errors of a document at once, with their paths.

`documents.read_document` stops at the first one, as a daemon only has to refuse
the document.
"""

import re
from collections.abc import Iterator
from typing import Any, get_type_hints

import msgspec

from banyantiller.config import problems
from banyantiller.gateway import document_checks, types
from banyantiller.platform import documents

# Fields of routes without which a document is refused.
ROUTE_FIELDS = (
    "name", "hostname", "pathPrefix", "routeType", "timeoutS",
    "targetLatencyS", "priority", "maxAttempts",
)  # fmt: skip
# Fields of the document by the names of their parts and fields.
FIELDS = {
    (document_checks.ROUTES, ""): "routes",
    (document_checks.SERVICES, ""): "services",
    (document_checks.ORGANISATIONS, ""): "tenants",
    ("limits", ""): "limits",
    (document_checks.ROUTES, "host"): "hostname",
    (document_checks.ROUTES, "prefix"): "pathPrefix",
    (document_checks.ROUTES, "idempotent"): "routeType",
    (document_checks.ROUTES, "large_responses"): "routeType",
    (document_checks.ROUTES, "timeout_s"): "timeoutS",
    (document_checks.ROUTES, "objective_s"): "targetLatencyS",
    (document_checks.ROUTES, "max_attempts"): "maxAttempts",
    (document_checks.ROUTES, "weighted_services"): "trafficSplit",
    (document_checks.SERVICES, "health_path"): "healthPath",
    (document_checks.SERVICES, "max_connections"): "maxConns",
    (document_checks.SERVICES, "cold_per_s"): "warmupPerS",
    (document_checks.ORGANISATIONS, "key_digests"): "apiKeys",
    (document_checks.ORGANISATIONS, "per_s"): "ratePerS",
    ("limits", "head_bytes"): "maxHeaderBytes",
    ("limits", "body_bytes"): "maxBodyBytes",
    ("limits", "head_timeout_s"): "headerTimeoutS",
    ("limits", "idle_timeout_s"): "idleTimeoutS",
}
# Fields of the document that hold lists of entries.
LISTS = ("services", "routes", "tenants")
PLACE = re.compile(r" - at `\$([^`]*)`$")

Problem = types.DocumentProblem


def field_name(part: str, field: str) -> str:
    """Returns the platform's name of a part of a document, or of a field."""
    return FIELDS.get((part, field), field)


def find_problems(value: Any) -> list[Problem]:
    """Returns all errors of a document, and names that are probably misspelt.

    A document with an error of these is refused by daemons, except for two
    services with the same name, of which daemons use the last one.
    """
    if not isinstance(value, dict):
        return [Problem("", "The document is not an object.")]
    hidden = documents.hide_keys(value)
    found = [
        *_read_fields(hidden, documents.DocumentFields, "", lists=True),
        *_find_in_lists(hidden),
    ]
    if all(one.warning for one in found):
        try:
            documents.read_document(value)
        except ValueError as error:
            found.append(Problem("", str(error)))
    return found


def _find_in_lists(value: dict[str, Any]) -> Iterator[Problem]:
    entries = {field: _list(value, field) for field in LISTS}
    forms = {
        "services": documents.ServiceFields,
        "routes": documents.RouteFields,
        "tenants": documents.OrganisationFields,
    }
    for field, form in forms.items():
        for index, item in enumerate(entries[field]):
            yield from _read_fields(item, form, f"{field}[{index}]")
    names = [_name(item) for item in entries["services"]]
    yield from _twice(names, "services")
    for index, item in enumerate(entries["routes"]):
        if isinstance(item, dict):
            yield from _check_route(item, f"routes[{index}]", names)
    yield from _check_organisations(entries["tenants"])


def _read_fields(
    value: Any, form: Any, path: str, *, lists: bool = False
) -> Iterator[Problem]:
    """Yields the problems of an object's fields.

    Args:
        value: The object.
        form: `TypedDict` with the fields.
        path: Path of the object.
        lists: Whether the elements of lists are checked elsewhere.
    """
    if not isinstance(value, dict):
        yield Problem(path, "The value is not an object.")
        return
    hints = get_type_hints(form)
    required = set(form.__required_keys__)
    if form is documents.RouteFields:
        required |= set(ROUTE_FIELDS)
    for name in sorted(required - set(value), key=list(hints).index):
        yield Problem(path, f"The field '{name}' is missing.")
    for name, content in value.items():
        where = f"{path}.{name}" if path else name
        if name not in hints:
            # The platform has fields that no daemon reads. Only a name that is
            # close to a field that is not given is probably misspelt.
            hint = problems.suggestion(name, set(hints) - set(value))
            if hint and name not in ("apiKeys", "keyDigests"):
                yield Problem(where, f"No field has this name.{hint}", True)
            continue
        if lists and name in LISTS and isinstance(content, list):
            continue
        if content is None and name in ("tenants", "keyDigests"):
            # `documents.hide_keys` drops what may contain keys.
            yield Problem(_shown(where), "The value is not a list of its kind.")
            continue
        try:
            msgspec.convert(content, hints[name])
        except msgspec.ValidationError as error:
            place = PLACE.search(str(error))
            inner = place[1] if place else ""
            text = PLACE.sub("", str(error))
            yield Problem(_shown(where + inner), f"{text}.")


def _shown(path: str) -> str:
    """Returns the path in the document that was written."""
    return path.replace(".keyDigests", ".apiKeys")


def _list(value: dict[str, Any], field: str) -> list[Any]:
    content = value.get(field)
    return content if isinstance(content, list) else []


def _name(item: Any) -> str | None:
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _twice(names: list[str | None], path: str) -> Iterator[Problem]:
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        if name is not None and first.setdefault(name, index) != index:
            yield Problem(
                f"{path}[{index}].name",
                f"'{name}' is also the name of [{first[name]}].",
            )


def _check_route(
    item: dict[str, Any], path: str, names: list[str | None]
) -> Iterator[Problem]:
    split = item.get("trafficSplit")
    used = [(f"{path}.service", item.get("service"))]
    if split and isinstance(split, list):
        used = [
            (f"{path}.trafficSplit[{index}].service", part.get("service"))
            for index, part in enumerate(split)
            if isinstance(part, dict)
        ]
    elif "service" not in item:
        yield Problem(path, "The field 'service' is missing.")
    for place, service in used:
        if isinstance(service, str) and service not in names:
            known = [name for name in names if name is not None]
            hint = problems.suggestion(service, known)
            yield Problem(place, f"No service is named '{service}'.{hint}")


def _check_organisations(items: list[Any]) -> Iterator[Problem]:
    yield from _twice([_name(item) for item in items], "tenants")
    holders: dict[str, int] = {}
    for index, item in enumerate(items):
        path = f"tenants[{index}]"
        name = _name(item)
        if name is not None:
            if not name:
                yield Problem(f"{path}.name", "The name is empty.")
            elif not name.isascii() or not name.isprintable():
                yield Problem(
                    f"{path}.name", "The name can't be sent in a header."
                )
        if not isinstance(item, dict):
            continue
        for number, key_digest in enumerate(_list(item, "keyDigests")):
            if not isinstance(key_digest, str):
                continue
            other = holders.setdefault(key_digest, index)
            if other != index:
                yield Problem(
                    f"{path}.apiKeys[{number}]",
                    f"[{other}] holds the same key.",
                )
        for field in ("ratePerS", "burst"):
            figure = item.get(field, 0)
            if isinstance(figure, int | float) and not 0 <= figure < float(
                "inf"
            ):
                yield Problem(
                    f"{path}.{field}", "The figure is negative or infinite."
                )
