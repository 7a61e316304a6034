"""Reads the platform's store by paged lists and long polls."""

import collections
import re
import types
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib import parse

import msgspec

from banyantiller.http import client, messages, outcomes
from banyantiller.platform import elements, nesting
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
# Sorts behind the names of all objects.
LAST_NAME = "~"
# Maximum number of calls for one list or one read of changes. A malformed
# object takes a call of its own, and a page has 500 objects.
MAX_PARTS = 200


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


class Part(NamedTuple):
    """What one response tells of a list or of changes.

    Attributes:
        elements: Items or events.
        revision: Revision of the store; empty if the last element is malformed
            and hides what comes after it.
        more: Whether the list continues.
    """

    elements: list[Any]
    revision: str
    more: bool


class Form(NamedTuple):
    """Form of a response with a list.

    Attributes:
        field: Name of the list.
        response_type: Type of the response.
        element_type: Type of an element.
        level: Number of arrays and objects around the content of an object.
        replacement: Returns an element without content, from the first object
            in a malformed one, which is the metadata; None if it is not.
    """

    field: str
    response_type: Any
    element_type: Any
    level: int
    replacement: Callable[[dict[str, Any]], dict[str, Any] | None]


def _item_without_content(fields: dict[str, Any]) -> dict[str, Any] | None:
    """Returns an item with some metadata, or None if it is none."""
    try:
        return {"metadata": msgspec.convert(fields, ObjectFields)}
    except msgspec.ValidationError:
        return None


def _event_without_content(fields: dict[str, Any]) -> dict[str, Any] | None:
    """Returns an event of an object with some metadata, or None.

    Whether the object was removed is not known. It is unusable either way.
    """
    item = _item_without_content(fields)
    return item and {"removed": False, "object": item}


LIST_FORM = Form("items", Page, Item, 3, _item_without_content)
CHANGES_FORM = Form("events", Events, Event, 4, _event_without_content)


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
        """Reads all objects of a kind; the store does not support labels.

        A page ends early at a malformed object, which has no content then, and
        the list is continued after its name.
        """
        del labels
        items: list[interface.StoredObject] = []
        revision = ""
        after = ""
        for _ in range(MAX_PARTS):
            part = await self._read_page(kind, after)
            if isinstance(part, interface.Unavailable):
                return part
            if not revision and not part.revision:
                revision = await self._current_revision(kind)
                if not revision:
                    return interface.Unavailable(
                        "the store's revision can't be read"
                    )
                # What was read before that revision is too old for it.
                continue
            # A watch from the first page's revision repeats later changes.
            revision = revision or part.revision
            items.extend(
                self._to_stored_object(kind, item) for item in part.elements
            )
            if not part.more or not part.elements:
                return interface.Listed(tuple(items), revision)
            before, after = after, part.elements[-1]["metadata"]["name"]
            if after <= before:
                return interface.Unavailable(
                    "the pages of the list do not advance"
                )
        return interface.Unavailable("the list does not end")

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads the changes after a version; see `ObjectReader.changes`.

        A response ends early at a malformed object, as a page does, and is
        continued from the revision of that object.
        """
        changes = interface.Changes((), version)
        for _ in range(MAX_PARTS):
            part = await self._read_changes(kind, changes.version, wait_s)
            if not isinstance(part, Part):
                return changes if changes.events else part
            events = changes.events + tuple(
                self._to_event(kind, event) for event in part.elements
            )
            if part.revision:
                return interface.Changes(events, part.revision)
            revision = part.elements[-1]["object"]["metadata"]["revision"]
            if revision <= int(changes.version):
                return interface.Unavailable("the changes do not advance")
            changes = interface.Changes(events, str(revision))
            wait_s = 0.0
        return changes

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
        content = _decode_content(item)
        if kind in self.filters:
            content = self.filters[kind](content)
        return interface.StoredObject(
            kind, meta["name"], str(meta["revision"]), content
        )

    async def _read_page(
        self, kind: str, after: str
    ) -> Part | interface.Unavailable:
        self.calls["list"] += 1
        target = _build_target(kind, **({"after": after} if after else {}))
        part = await self._read(target, TIMEOUT_S, LIST_FORM)
        if isinstance(part, interface.Gone):
            return interface.Unavailable("status 410")
        return part

    async def _current_revision(self, kind: str) -> str:
        """Returns the store's revision, or an empty text if it is not known."""
        part = await self._read_page(kind, LAST_NAME)
        return part.revision if isinstance(part, Part) else ""

    async def _read_changes(
        self, kind: str, version: str, wait_s: float
    ) -> Part | interface.Gone | interface.Unavailable:
        self.calls["watch"] += 1
        wait_ms = str(int(wait_s * 1000))
        target = _build_target(kind, watch=version, waitMs=wait_ms)
        return await self._read(target, wait_s + TIMEOUT_S, CHANGES_FORM)

    async def _read(
        self, target: str, timeout_s: float, form: Form
    ) -> Part | interface.Gone | interface.Unavailable:
        outcome = await self.http_client.request("GET", target, timeout_s)
        if not isinstance(outcome, outcomes.Answered):
            return interface.Unavailable(outcome.reason)
        if outcome.response.status == 410:
            return interface.Gone()
        if outcome.response.status != 200:
            return interface.Unavailable(f"status {outcome.response.status}")
        try:
            return _decode(outcome.body, form)
        except ValueError as error:
            return interface.Unavailable(
                f"a response can't be decoded: {error}"
            )


def _decode(body: bytes, form: Form) -> Part:
    """Decodes a response in which single objects may be malformed.

    Raises:
        ValueError: The response itself is malformed.
    """
    try:
        response = msgspec.json.decode(body, type=form.response_type)
    except (msgspec.DecodeError, RecursionError):
        return _decode_elements(body, form)
    return _to_part(response, response[form.field], form)


def _decode_elements(body: bytes, form: Form) -> Part:
    """Decodes a response as far as its elements can be told apart."""
    clean = nesting.cut_deep_text(SURROGATE.sub(REPLACEMENT, body), form.level)
    text = clean.decode("utf-8", "replace")
    found = elements.read(text, form.field, form.replacement)
    values = [
        msgspec.json.decode(element, type=form.element_type)
        for element in found.texts
    ]
    try:
        response = msgspec.json.decode(found.frame, type=form.response_type)
    except msgspec.DecodeError:
        if not values:
            raise
        return Part(values, "", more=True)
    return _to_part(response, values, form)


def _to_part(response: Any, values: list[Any], form: Form) -> Part:
    more = form is LIST_FORM and response["more"]
    return Part(values, str(response["currentRev"]), more)


def _build_target(kind: str, **query: str) -> str:
    text = parse.urlencode(query)
    return f"/api/objects/{kind}" + (f"?{text}" if text else "")


def _decode_content(item: Item) -> Any:
    """Decodes the content of an object; returns None if it is malformed.

    The decoder of the object's kind reports None with the name of the object.
    """
    try:
        text = bytes(item["spec"])
        try:
            return nesting.cut_deep_values(msgspec.json.decode(text))
        except RecursionError:
            return msgspec.json.decode(nesting.cut_deep_text(text, level=0))
    except (KeyError, msgspec.DecodeError, UnicodeDecodeError):
        return None
