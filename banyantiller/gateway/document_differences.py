"""Compares two documents, by what callers notice first."""

import enum
from collections.abc import Iterator
from typing import Any, NamedTuple

from banyantiller.gateway import document_checks, types


class Change(enum.StrEnum):
    """Kinds of differences; those that callers notice most come first."""

    ROUTE_REMOVED = "route_removed"
    SERVICE_CHANGED = "service_changed"
    KEY_REMOVED = "key_removed"
    ALLOWANCE_LOWERED = "allowance_lowered"
    TIMEOUT_LOWERED = "timeout_lowered"
    OTHER = "other"


class Difference(NamedTuple):
    """One difference between two documents.

    Attributes:
        change: Kind of the difference.
        part: Part of the document, as in `types.DocumentFinding`.
        subject: Name of the entry; host and path of a route.
        field: Field of the entry, or empty for the entry itself.
        before: Plain value before, or None if there was none.
        after: Plain value after, or None if there is none.
    """

    change: Change
    part: str
    subject: str
    field: str
    before: Any
    after: Any


ORDER = list(Change)


def compare(before: types.Document, after: types.Document) -> list[Difference]:
    """Returns the differences, sorted by what callers notice."""
    found = [
        *_compare_routes(before, after),
        *_compare_services(before, after),
        *_compare_organisations(before, after),
        *_compare_limits(before, after),
    ]
    if before.version != after.version:
        found.append(
            Difference(
                Change.OTHER, "", "", "version", before.version, after.version
            )
        )
    return sorted(found, key=lambda one: ORDER.index(one.change))


def _compare_routes(
    before: types.Document, after: types.Document
) -> Iterator[Difference]:
    old, new = _routes(before), _routes(after)
    for subject, route in old.items():
        if subject not in new:
            yield Difference(
                Change.ROUTE_REMOVED,
                document_checks.ROUTES,
                subject,
                "",
                route.name,
                None,
            )
    for subject, route in new.items():
        if subject not in old:
            yield Difference(
                Change.OTHER,
                document_checks.ROUTES,
                subject,
                "",
                None,
                route.name,
            )
            continue
        for field, one, other in _changed_fields(old[subject], route):
            yield Difference(
                _route_change(field, one, other),
                document_checks.ROUTES,
                subject,
                field,
                _plain(one),
                _plain(other),
            )


def _routes(document: types.Document) -> dict[str, types.Route]:
    """Returns the routes that can match, by host and path."""
    found: dict[str, types.Route] = {}
    for route in document.routes:
        found.setdefault(f"{route.host}{route.prefix}", route)
    return found


def _route_change(field: str, before: Any, after: Any) -> Change:
    if field == "weighted_services":
        return Change.SERVICE_CHANGED
    if field == "timeout_s" and after < before:
        return Change.TIMEOUT_LOWERED
    # Callers without a key are refused from then on.
    if field == "public" and before:
        return Change.KEY_REMOVED
    return Change.OTHER


def _compare_services(
    before: types.Document, after: types.Document
) -> Iterator[Difference]:
    part = document_checks.SERVICES
    for name in before.services | after.services:
        old, new = before.services.get(name), after.services.get(name)
        if old is None:
            yield Difference(Change.OTHER, part, name, "", None, name)
        elif new is None:
            yield Difference(Change.SERVICE_CHANGED, part, name, "", name, None)
        else:
            for field, one, other in _changed_fields(old, new):
                yield Difference(
                    Change.SERVICE_CHANGED, part, name, field, one, other
                )


def _compare_organisations(
    before: types.Document, after: types.Document
) -> Iterator[Difference]:
    part = document_checks.ORGANISATIONS
    if (before.organisations is None) != (after.organisations is None):
        needed = after.organisations is not None
        change = Change.KEY_REMOVED if needed else Change.OTHER
        counts = [
            None if one.organisations is None else len(one.organisations)
            for one in (before, after)
        ]
        yield Difference(change, part, "", "", *counts)
        return
    old = {one.name: one for one in before.organisations or ()}
    new = {one.name: one for one in after.organisations or ()}
    for name in old | new:
        if name not in old:
            yield Difference(Change.OTHER, part, name, "", None, name)
        elif name not in new:
            yield Difference(Change.KEY_REMOVED, part, name, "", name, None)
        else:
            yield from _compare_organisation(old[name], new[name])


def _compare_organisation(
    before: types.Organisation, after: types.Organisation
) -> Iterator[Difference]:
    part = document_checks.ORGANISATIONS
    for field, one, other in _changed_fields(before, after):
        if field == "key_digests":
            removed = len(set(one) - set(other))
            change = Change.KEY_REMOVED if removed else Change.OTHER
            # A reader can't tell digests apart: only their numbers are shown.
            yield Difference(
                change, part, after.name, field, len(one), len(other)
            )
        else:
            yield Difference(
                _allowance_change(field, one, other),
                part,
                after.name,
                field,
                one,
                other,
            )


def _allowance_change(
    field: str, before: float | None, after: float | None
) -> Change:
    lowered = False
    if field == "per_s" and after is not None:
        lowered = before is None or after < before
    elif field == "burst":
        lowered = after < before
    return Change.ALLOWANCE_LOWERED if lowered else Change.OTHER


def _compare_limits(
    before: types.Document, after: types.Document
) -> Iterator[Difference]:
    for field, one, other in _changed_fields(before.limits, after.limits):
        lowered = field.endswith("timeout_s") and other < one
        change = Change.TIMEOUT_LOWERED if lowered else Change.OTHER
        yield Difference(change, "limits", "", field, one, other)


def _changed_fields(before: Any, after: Any) -> Iterator[tuple[str, Any, Any]]:
    for field in before._fields:
        one, other = getattr(before, field), getattr(after, field)
        if one != other:
            yield field, one, other


def _plain(value: Any) -> Any:
    """Returns a value that JSON can hold."""
    if isinstance(value, tuple):
        return {part.service: part.weight for part in value}
    return value
