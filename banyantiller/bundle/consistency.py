"""Checks of a bundle that involve more than one value."""

from collections.abc import Iterator, Sequence
from typing import TypeVar

from banyantiller.bundle.options import (
    BackendServer,
    Bundle,
    RequestRule,
    Service,
    Share,
)
from banyantiller.config.problems import Problems, suggestion

MAX_DESCRIPTION_CHARS = 2000
TOTAL_PERCENT = 100.0
PERCENT_TOLERANCE = 1e-6

T = TypeVar("T")


def check(bundle: Bundle, problems: Problems) -> None:
    """Adds errors and warnings about a bundle.

    Args:
        bundle: The bundle; an item that could not be built is None.
        problems: Collects the errors and warnings.
    """
    if len(bundle.description) > MAX_DESCRIPTION_CHARS:
        message = f"It is longer than {MAX_DESCRIPTION_CHARS} characters."
        problems.error("description", message)
    if not bundle.services:
        problems.warn("services", "There are no services; calls get 404.")
    names = [item and item.name for item in bundle.services]
    _check_unique("services", "name", names, problems)
    for path, service in _present_items("services", bundle.services):
        _check_service(path, service, problems)
    _check_overlaps(bundle.services, problems)
    _check_shared_servers(bundle.services, problems)


def path_covers(outer: str, inner: str) -> bool:
    """Returns whether a path prefix, by whole segments, covers another."""
    prefix = outer.rstrip("/")
    return inner.rstrip("/") == prefix or inner.startswith(f"{prefix}/")


def _present_items(path: str, items: Sequence[T]) -> Iterator[tuple[str, T]]:
    for index, item in enumerate(items):
        if item is not None:
            yield f"{path}[{index}]", item


def _check_unique(
    path: str, field: str, names: list[str | None], problems: Problems
) -> None:
    seen: dict[str, str] = {}
    for where, name in _present_items(path, names):
        if name in seen:
            message = f"'{name}' is the name of {seen[name]} too."
            problems.error(f"{where}.{field}", message)
        seen.setdefault(name, where)


def _check_service(path: str, service: Service, problems: Problems) -> None:
    servers = f"{path}.servers"
    if not service.servers:
        problems.error(servers, "A service needs at least one server.")
    names = [item and item.name for item in service.servers]
    _check_unique(servers, "name", names, problems)
    _check_addresses(servers, service, problems)
    _check_zones(servers, service, problems)
    _check_requests(path, service, problems)
    _check_traffic(path, service, problems)
    if service.queue.longest_s > service.deadline_s:
        message = f"It is above deadline_s, {service.deadline_s:g} s."
        problems.warn(f"{path}.queue.longest_s", message)


def _check_addresses(path: str, service: Service, problems: Problems) -> None:
    seen: dict[tuple[str, int], str] = {}
    for where, server in _present_items(path, service.servers):
        endpoint = (server.address, server.port)
        if endpoint in seen:
            message = f"Server '{seen[endpoint]}' has this address and port."
            problems.error(f"{where}.address", message)
        seen.setdefault(endpoint, server.name)


def _check_zones(path: str, service: Service, problems: Problems) -> None:
    servers = [item for item in service.servers if item is not None]
    if not any(server.zone for server in servers):
        return
    for where, server in _present_items(path, service.servers):
        if not server.zone:
            message = f"Server '{server.name}' has no zone, others have one."
            problems.warn(where, message)


def _check_requests(path: str, service: Service, problems: Problems) -> None:
    where = f"{path}.requests"
    rules = list(_present_items(where, service.requests))
    if not service.requests:
        message = f"No rule states which requests of '{service.name}' are"
        problems.warn(path, f"{message} idempotent; none is run twice.")
    for place, rule in rules:
        if not _paths_overlap(rule.path, service.path):
            message = f"It is outside the service's path '{service.path}'."
            problems.warn(f"{place}.path", message)
        if rule.idempotent and not rule.methods:
            message = "It lets requests of any method, also POST, run twice."
            problems.warn(place, message)
    for place, earlier_place in _find_shadowed_rules(rules):
        message = f"It has no effect: {earlier_place} matches first."
        problems.warn(place, message)
    unsafe = not rules or any(not rule.idempotent for _, rule in rules)
    if (
        service.key_required
        and not unsafe
        and _has_catch_all_rule(rules, service)
    ):
        message = "It has no effect: every request is idempotent."
        problems.warn(f"{path}.key_required", message)


def _find_shadowed_rules(
    rules: list[tuple[str, RequestRule]],
) -> Iterator[tuple[str, str]]:
    """Yields the paths of rules that never match and of the earlier rules."""
    for index, (place, rule) in enumerate(rules):
        for earlier_place, earlier in rules[:index]:
            if _shadows(earlier, rule):
                yield place, earlier_place
                break


def _shadows(earlier: RequestRule, later: RequestRule) -> bool:
    if not path_covers(earlier.path, later.path):
        return False
    if not earlier.methods:
        return True
    return bool(later.methods) and set(later.methods) <= set(earlier.methods)


def _has_catch_all_rule(
    rules: list[tuple[str, RequestRule]], service: Service
) -> bool:
    return any(
        not rule.methods and path_covers(rule.path, service.path)
        for _, rule in rules
    )


def _paths_overlap(first: str, second: str) -> bool:
    return path_covers(first, second) or path_covers(second, first)


def _check_traffic(path: str, service: Service, problems: Problems) -> None:
    groups = {item.group for item in service.servers if item is not None}
    if service.shares:
        _check_shares(f"{path}.shares", service.shares, groups, problems)
    named = {item.group for item in service.shares if item is not None}
    last = -1.0
    for where, stage in _present_items(f"{path}.stages", service.stages):
        if stage.after_s <= last:
            message = (
                f"It must be above {last:g} s, the time of the previous stage."
            )
            problems.error(f"{where}.after_s", message)
        last = max(last, stage.after_s)
        _check_shares(f"{where}.shares", stage.shares, groups, problems)
        named |= {item.group for item in stage.shares if item is not None}
    if service.stages and not service.shares:
        message = (
            "Until the first stage all groups get equal shares of traffic."
        )
        problems.warn(f"{path}.stages", message)
    for group in sorted(groups - named) if named else ():
        message = f"The servers of group '{group}' get no share."
        problems.warn(f"{path}.servers", message)


def _check_shares(
    path: str, shares: tuple[Share, ...], groups: set[str], problems: Problems
) -> None:
    present = list(_present_items(path, shares))
    for where, share in present:
        if share.group not in groups:
            near = suggestion(share.group, groups)
            message = f"No server is in group '{share.group}'.{near}"
            problems.error(f"{where}.group", message)
    names = [item and item.group for item in shares]
    _check_unique(path, "group", names, problems)
    total = sum(share.percent for _, share in present)
    is_complete = len(present) == len(shares)
    if is_complete and abs(total - TOTAL_PERCENT) > PERCENT_TOLERANCE:
        problems.error(path, f"The shares add up to {total:g}, not 100.")


def _check_overlaps(services: tuple[Service, ...], problems: Problems) -> None:
    seen: dict[tuple[str, str], str] = {}
    for path, service in _present_items("services", services):
        prefix = service.path.rstrip("/")
        for host in service.hosts or ("",):
            other = seen.setdefault((host, prefix), service.name)
            if other != service.name:
                message = f"Service '{other}' has the same host and path."
                problems.error(f"{path}.path", message)
        if len(set(service.hosts)) < len(service.hosts):
            problems.error(f"{path}.hosts", "A host is named twice.")


def _check_shared_servers(
    services: tuple[Service, ...], problems: Problems
) -> None:
    seen: dict[tuple[str, int], str] = {}
    for path, service in _present_items("services", services):
        for where, server in _present_items(f"{path}.servers", service.servers):
            other = seen.setdefault(_endpoint(server), service.name)
            if other != service.name:
                message = f"Service '{other}' uses the same server; the slots"
                problems.warn(where, f"{message} of both are not added up.")


def _endpoint(server: BackendServer) -> tuple[str, int]:
    return server.address, server.port
