"""Named checks of single values, used by `Option.check`.

Each check takes a text and returns its error, or an empty text if it is valid.
"""

import datetime
import ipaddress
import re
from collections.abc import Callable

HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
METHOD = re.compile(r"[A-Z][A-Z0-9_-]{0,31}")
HOST = re.compile(r"(?=.{1,253}$)[a-z0-9]([a-z0-9.:\[\]-]*[a-z0-9\]])?")

Check = Callable[[str], str]


def ip_address(text: str) -> str:
    """Accepts an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return "is not an IP address"
    return ""


def path_prefix(text: str) -> str:
    """Accepts an absolute path without query, fragment or white space."""
    if not text.startswith("/"):
        return "does not begin with '/'"
    if any(char in "?#" or char <= " " or char > "~" for char in text):
        return "has a character that is not allowed in a path"
    return ""


def header_name(text: str) -> str:
    """Accepts the name of an HTTP header field."""
    return "" if HEADER_NAME.fullmatch(text) else "is not a header name"


def method(text: str) -> str:
    """Accepts an HTTP method in upper case."""
    return "" if METHOD.fullmatch(text) else "is not a method in upper case"


def host(text: str) -> str:
    """Accepts a value of the Host header in lower case."""
    return "" if HOST.fullmatch(text) else "is not a host in lower case"


def date(text: str) -> str:
    """Accepts an empty text or a date in the form YYYY-MM-DD."""
    if not text:
        return ""
    try:
        datetime.date.fromisoformat(text)
    except ValueError:
        return "is not a date in the form YYYY-MM-DD"
    return ""


CHECKS: dict[str, Check] = {
    "ip_address": ip_address,
    "path_prefix": path_prefix,
    "header_name": header_name,
    "method": method,
    "host": host,
    "date": date,
}
