"""Matches requests to services, and decides whether they may be repeated."""

from typing import Generic, NamedTuple, TypeVar
from urllib.parse import urlsplit

from banyantiller.bundle import options

T = TypeVar("T")

ANY_HOST = ""
ROOT = "/"


class Target(NamedTuple):
    """A parsed request target.

    Attributes:
        path: Path without the query.
        forward: Target in origin form, as sent to the backend server.
        host: Host of an absolute target, or empty.
    """

    path: str
    forward: bytes
    host: str


class Routes(Generic[T]):
    """Finds a service by host and path; the longest prefix wins.

    Attributes:
        by_host: Pairs of path prefix and value by host, longest prefix first.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, list[tuple[str, T]]] = {ANY_HOST: []}

    def add(self, service: options.Service, value: T) -> None:
        """Adds a service under each of its hosts."""
        for host in service.hosts or (ANY_HOST,):
            found = self.by_host.setdefault(host.lower(), [])
            found.append((service.path, value))
            found.sort(key=lambda item: -len(item[0]))

    def find(self, host: str, path: str) -> T | None:
        """Returns the value of the matching service, or None.

        Args:
            host: Value of the Host header; its port is ignored.
            path: Path of the request target.
        """
        found = self.by_host.get(host)
        if found is None:
            found = self.by_host.get(normalize_host(host), ())
        for prefix, value in found:
            if is_under(prefix, path):
                return value
        for prefix, value in self.by_host[ANY_HOST]:
            if is_under(prefix, path):
                return value
        return None


def normalize_host(host: str) -> str:
    """Returns a host in lower case and without its port."""
    host = host.lower()
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit() and not name.endswith(":"):
        return name
    return host


def is_under(prefix: str, path: str) -> bool:
    """Returns whether a path is under a prefix, by whole segments."""
    if prefix == ROOT:
        return True
    if not path.startswith(prefix):
        return False
    return (
        len(path) == len(prefix)
        or prefix.endswith("/")
        or path[len(prefix)] == "/"
    )


def split_target(target: bytes) -> Target | None:
    """Splits a request target in origin, absolute or asterisk form.

    Returns:
        The target, or None if it has none of these forms.
    """
    text = target.decode("latin-1")
    if text.startswith("/"):
        return Target(text.partition("?")[0], target, "")
    if text == "*":
        return Target(ROOT, target, "")
    return _split_absolute(text)


def _split_absolute(text: str) -> Target | None:
    try:
        parts = urlsplit(text)
    except ValueError:
        return None
    if parts.scheme.lower() not in ("http", "https") or not parts.netloc:
        return None
    if "@" in parts.netloc:
        return None
    path = parts.path or ROOT
    forward = f"{path}?{parts.query}" if parts.query else path
    return Target(path, forward.encode("latin-1"), parts.netloc)


def is_idempotent(service: options.Service, method: str, path: str) -> bool:
    """Returns whether the bundle allows a request to run twice.

    The first matching rule decides. Without a rule, and for a path that a
    backend server may interpret as another one, a repeat is not allowed.
    """
    if is_ambiguous(path):
        return False
    for rule in service.requests:
        if rule.methods and method not in rule.methods:
            continue
        if is_under(rule.path, path):
            return rule.idempotent
    return False


def is_ambiguous(path: str) -> bool:
    """Returns whether a backend server may interpret the path as another one.

    Some servers read, drop or resolve dot segments, empty segments, escapes,
    segment parameters after a semicolon and fragments; others do not.
    """
    return (
        "%" in path
        or "//" in path
        or "/." in path
        or "\\" in path
        or ";" in path
        or "#" in path
    )
