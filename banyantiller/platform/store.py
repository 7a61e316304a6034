"""Reads the platform's store by paged lists and long polls."""

import collections
import re
import types
from collections.abc import Callable, Mapping
from typing import Any, NotRequired, TypedDict
from urllib import parse

import msgspec

from banyantiller.http import client, messages, outcomes
from banyantiller.platform import nesting
from banyantiller.store import interface

NO_FILTERS: Mapping[str, Callable[[Any], Any]] = types.MappingProxyType({})
# The store responds within milliseconds, in the slowest case within 0.4 s. A
# call that exceeds the requested wait by this timeout has failed. Together with
# the pause between calls, it bounds the delay until a recovery is noticed.
TIMEOUT_S = 0.8
# A connection whose peer has vanished is detected after 3 s, which is also the
# time for which a daemon then counts as disturbed.
LIMITS = messages.Limits(connections=8, silence_s=3)
# JSON escapes of surrogates. An unpaired one makes the decoder reject the whole
# page.
SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
REPLACEMENT = rb"\\ufffd"
# Number of arrays and objects around the content of an object: in a page, and
# in a response with events.
ITEM_LEVEL = 3
EVENT_LEVEL = 4


class ObjectFields(TypedDict):
    """Metadata of an object; `revision` is of its last change."""

    name: str
    revision: int


class Item(TypedDict):
    """One object."""

    metadata: ObjectFields
    # Decoded separately, so that a malformed object does not affect others.
    spec: NotRequired[msgspec.Raw]


class Page(TypedDict):
    """A page of a list; `currentRev` is the revision of the store."""

    items: list[Item]
    more: bool
    currentRev: int


class Event(TypedDict):
    """One change; of a removed object, `object` is its last state."""

    removed: bool
    object: Item


class Events(TypedDict):
    """Changes, and the revision from which to continue."""

    events: list[Event]
    currentRev: int


class PlatformStore:
    """Lists and watches objects; see `store.interface.ObjectReader`.

    Attributes:
        http_client: HTTP client of the store.
        filters: Applied to the content of objects of some kinds before
            anything else sees it.
        calls: Calls so far by verb; each call is charged for.
    """

    def __init__(
        self,
        http_client: client.HttpClient,
        filters: Mapping[str, Callable[[Any], Any]] = NO_FILTERS,
    ) -> None:
        self.http_client = http_client
        self.filters = filters
        self.calls: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_address(
        cls,
        address: str,
        port: int,
        filters: Mapping[str, Callable[[Any], Any]] = NO_FILTERS,
    ) -> "PlatformStore":
        """Builds a store; it connects on the first call."""
        return cls(client.HttpClient(address, port, LIMITS), filters)

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind; the store does not support labels."""
        del labels
        items: list[interface.StoredObject] = []
        first_revision = ""
        after = ""
        while True:
            query = {"after": after} if after else {}
            self.calls["list"] += 1
            target = _build_target(kind, **query)
            page = await self._read(target, TIMEOUT_S, Page, ITEM_LEVEL)
            if isinstance(page, interface.Gone):
                return interface.Unavailable("status 410")
            if isinstance(page, interface.Unavailable):
                return page
            # A watch from the first page's revision repeats later changes.
            first_revision = first_revision or str(page["currentRev"])
            items.extend(
                self._to_stored_object(kind, item) for item in page["items"]
            )
            if not page["more"] or not page["items"]:
                return interface.Listed(tuple(items), first_revision)
            before, after = after, page["items"][-1]["metadata"]["name"]
            if after <= before:
                return interface.Unavailable(
                    "the pages of the list do not advance"
                )

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads the changes after a version; see `ObjectReader.changes`."""
        wait_ms = str(int(wait_s * 1000))
        target = _build_target(kind, watch=version, waitMs=wait_ms)
        self.calls["watch"] += 1
        found = await self._read(
            target, wait_s + TIMEOUT_S, Events, EVENT_LEVEL
        )
        if isinstance(found, interface.Gone | interface.Unavailable):
            return found
        events = tuple(self._to_event(kind, event) for event in found["events"])
        return interface.Changes(events, str(found["currentRev"]))

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.http_client.close()

    def _to_event(
        self, kind: str, event: Event
    ) -> interface.Changed | interface.Deleted:
        item = self._to_stored_object(kind, event["object"])
        if event["removed"]:
            return interface.Deleted(item)
        return interface.Changed(item)

    def _to_stored_object(
        self, kind: str, item: Item
    ) -> interface.StoredObject:
        meta = item["metadata"]
        content = _decode_spec(item)
        if kind in self.filters:
            content = self.filters[kind](content)
        return interface.StoredObject(
            kind, meta["name"], str(meta["revision"]), content
        )

    async def _read(
        self, target: str, timeout_s: float, kind: Any, level: int
    ) -> Any | interface.Gone | interface.Unavailable:
        outcome = await self.http_client.request("GET", target, timeout_s)
        if not isinstance(outcome, outcomes.Answered):
            return interface.Unavailable(outcome.reason)
        if outcome.response.status == 410:
            return interface.Gone()
        if outcome.response.status != 200:
            return interface.Unavailable(f"status {outcome.response.status}")
        try:
            return _decode(outcome.body, kind, level)
        except (msgspec.DecodeError, RecursionError) as error:
            return interface.Unavailable(
                f"a response can't be decoded: {error}"
            )


def _decode(body: bytes, kind: Any, level: int) -> Any:
    """Decodes a response in which single objects may be malformed.

    Args:
        body: The response.
        kind: Its type.
        level: Number of arrays and objects around the content of an object.

    Raises:
        DecodeError: The response itself is malformed.
        RecursionError: It is nested too deep outside of its objects.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError):
        clean = SURROGATE.sub(REPLACEMENT, body)
        clean = nesting.drop_deep_values(clean, level)
        return msgspec.json.decode(clean, type=kind)


def _build_target(kind: str, **query: str) -> str:
    text = parse.urlencode(query)
    return f"/api/objects/{kind}" + (f"?{text}" if text else "")


def _decode_spec(item: Item) -> Any:
    """Decodes the content of an object; returns None if it is malformed.

    The decoder of the object's kind reports None with the name of the object.
    """
    try:
        content = bytes(item["spec"])
        if nesting.is_too_deep(content):
            return None
        return msgspec.json.decode(content)
    except (KeyError, msgspec.DecodeError, UnicodeDecodeError):
        return None
