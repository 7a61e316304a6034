"""JSON and URL paths of Kubernetes custom objects."""

import json
from typing import Any
from urllib import parse

import msgspec

from banyantiller.store import interface

API_VERSION = "v1"
JSON_TYPE = ("content-type", "application/json")


class WireError(ValueError):
    """Bytes from the object API violate its protocol."""


class Metadata(msgspec.Struct):
    """The fields of an object's metadata that are used here."""

    name: str = ""
    resourceVersion: str = ""  # noqa: N815
    labels: dict[str, str] = {}


class CustomObject(msgspec.Struct):
    """One object on the wire."""

    metadata: Metadata
    spec: dict[str, Any] = {}


class ListMetadata(msgspec.Struct):
    """Metadata of a list; `continue` is the token of the next page."""

    resourceVersion: str  # noqa: N815
    next_page: str = msgspec.field(default="", name="continue")


class CustomObjectList(msgspec.Struct):
    """One page of a list."""

    metadata: ListMetadata
    items: list[CustomObject]


class Status(msgspec.Struct):
    """The body of an error response."""

    kind: str = ""
    status: str = ""
    reason: str = ""
    message: str = ""
    code: int = 0


class WatchLine(msgspec.Struct):
    """One line of a watch."""

    type: str
    object: msgspec.Raw


class Paths:
    """Paths of one API group and namespace.

    Attributes:
        base: Path of the namespace.
        api_version: Value of `apiVersion` in each object.
    """

    def __init__(self, group: str, namespace: str) -> None:
        self.api_version = f"{group}/{API_VERSION}"
        self.base = (
            f"/apis/{group}/{API_VERSION}/namespaces/{parse.quote(namespace)}"
        )

    def collection(self, kind: str, **query: str) -> str:
        """Returns the request target of a kind, with a query."""
        path = f"{self.base}/{kind}"
        return f"{path}?{parse.urlencode(query)}" if query else path

    def item(self, kind: str, name: str) -> str:
        """Returns the request target of one object."""
        return f"{self.base}/{kind}/{parse.quote(name, safe='')}"


def singular(kind: str) -> str:
    """Returns the `kind` of a plural, such as "Bundlehead"."""
    return kind.removesuffix("s").capitalize()


def encode(value: Any) -> bytes:
    """Returns the JSON of a value."""
    return json.dumps(value, separators=(",", ":")).encode()


def encode_object(api_version: str, item: interface.StoredObject) -> bytes:
    """Returns the JSON of an object, without a version if it is empty."""
    metadata: dict[str, Any] = {"name": item.name}
    if item.labels:
        metadata["labels"] = item.labels
    if item.version:
        metadata["resourceVersion"] = item.version
    return encode(
        {
            "apiVersion": api_version,
            "kind": singular(item.kind),
            "metadata": metadata,
            "spec": item.value,
        }
    )


def encode_delete(version: str) -> bytes:
    """Returns the options to delete an object only at this version."""
    return encode(
        {
            "apiVersion": "v1",
            "kind": "DeleteOptions",
            "preconditions": {"resourceVersion": version},
        }
    )


def decode_object(
    kind: str, data: bytes | msgspec.Raw
) -> interface.StoredObject:
    """Decodes an object.

    Raises:
        WireError: It is not an object with a name and a version.
    """
    found = _decode(data, CustomObject)
    return to_item(kind, found)


def decode_list(
    kind: str, data: bytes
) -> tuple[tuple[interface.StoredObject, ...], ListMetadata]:
    """Decodes one page of a list.

    Raises:
        WireError: It is not a list of objects.
    """
    found = _decode(data, CustomObjectList)
    return tuple(to_item(kind, item) for item in found.items), found.metadata


def decode_status(data: bytes | msgspec.Raw) -> Status:
    """Decodes an error response; returns an empty status for another body."""
    try:
        return _decode(data, Status)
    except WireError:
        return Status()


def decode_event(kind: str, line: bytes) -> interface.WatchEvent:
    """Decodes one line of a watch.

    Raises:
        WireError: It is not an event.
    """
    found = _decode(line, WatchLine)
    if found.type == "ERROR":
        status = decode_status(found.object)
        if status.code == 410:
            return interface.Gone()
        return interface.Unavailable(f"the watch failed: {status.message}")
    if found.type == "BOOKMARK":
        version = _decode(found.object, CustomObject).metadata.resourceVersion
        return interface.Bookmark(version)
    item = decode_object(kind, found.object)
    if found.type in ("ADDED", "MODIFIED"):
        return interface.Changed(item)
    if found.type == "DELETED":
        return interface.Deleted(item)
    raise WireError(f"unknown event type {found.type[:20]!r}")


def to_item(kind: str, found: CustomObject) -> interface.StoredObject:
    """Checks and converts an object.

    Raises:
        WireError: It has no name or no version.
    """
    metadata = found.metadata
    if not metadata.name or not metadata.resourceVersion:
        raise WireError("an object has no name or no resource version")
    return interface.StoredObject(
        kind,
        metadata.name,
        metadata.resourceVersion,
        found.spec,
        metadata.labels,
    )


def _decode(data: bytes | msgspec.Raw, shape: type) -> Any:
    try:
        return msgspec.json.decode(data, type=shape)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise WireError(f"not a {shape.__name__}: {error}") from error
