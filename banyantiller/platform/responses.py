"""Decodes responses of the store, in which single objects may be malformed."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from banyantiller.platform import elements, nesting
from banyantiller.store import versions

# JSON escapes of surrogates. An unpaired one makes the decoder reject the whole
# page.
SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
REPLACEMENT = rb"\\ufffd"


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
        generation: Generation of the store; see `store.versions`.
    """

    elements: list[Any]
    revision: str
    more: bool
    generation: int = 0

    @property
    def version(self) -> str:
        """Version of the store; empty if its revision is."""
        if not self.revision:
            return ""
        return self.version_of(int(self.revision))

    def version_of(self, revision: int) -> str:
        """Returns the version of a change in this response."""
        return versions.StoreVersion(self.generation, revision).to_text()


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


def decode(body: bytes, form: Form) -> Part:
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


def decode_content(item: Item) -> Any:
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
