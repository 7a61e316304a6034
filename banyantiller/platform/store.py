"""Reads the platform's store: lists in pages, and changes as they come."""

import collections
import re
from typing import Any, NotRequired, TypedDict
from urllib import parse

import msgspec

from banyantiller.http import client, messages, outcomes
from banyantiller.store import interface

# The store answers in milliseconds, and in 0.4 s at its slowest seen; a call
# that takes this much longer than the store was asked to wait is lost. With
# the pause between calls it bounds how long the store's return goes unseen.
TIMEOUT_S = 0.8
# A connection that lost its other side is noticed after 3 s, the time for
# which a daemon counts as disturbed after that.
LIMITS = messages.Limits(connections=8, silence_s=3)
# Halves of surrogate pairs, as JSON escapes: one without its other half makes
# a decoder refuse the whole page.
SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
REPLACEMENT = rb"\\ufffd"


# Fields of an object besides its content; `revision` is of its last change.
class ObjectFields(TypedDict):
    """What the store says of an object."""

    name: str
    revision: int


class Item(TypedDict):
    """One object; `revision` is of its last change."""

    metadata: ObjectFields
    # Decoded one by one: what nobody can read spoils no other object.
    spec: NotRequired[msgspec.Raw]


class Page(TypedDict):
    """A page of a list; `currentRev` is the store's, not an object's."""

    items: list[Item]
    more: bool
    currentRev: int


class Event(TypedDict):
    """One change; a removed object is as it was."""

    removed: bool
    object: Item


class Events(TypedDict):
    """Changes, and the revision to go on from."""

    events: list[Event]
    currentRev: int


class PlatformStore:
    """Lists and watches objects; see `store.interface.ObjectReader`.

    Attributes:
        user: Client of the store.
        calls: Calls so far by verb; each is paid for.
    """

    def __init__(self, http_client: client.HttpClient) -> None:
        self.http_client = http_client
        self.calls: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_address(cls, address: str, port: int) -> "PlatformStore":
        """Makes a client that is not connected yet."""
        return cls(client.HttpClient(address, port, LIMITS))

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind; the store knows no labels."""
        del labels
        items: list[interface.StoredObject] = []
        first_revision = ""
        after = ""
        while True:
            query = {"after": after} if after else {}
            self.calls["list"] += 1
            page = await self._read(
                _build_target(kind, **query), TIMEOUT_S, Page
            )
            if isinstance(page, interface.Gone):
                return interface.Unavailable("status 410")
            if isinstance(page, interface.Unavailable):
                return page
            # Changes between two pages are seen again by a watch from here.
            first_revision = first_revision or str(page["currentRev"])
            items.extend(
                _to_stored_object(kind, item) for item in page["items"]
            )
            if not page["more"] or not page["items"]:
                return interface.Listed(tuple(items), first_revision)
            before, after = after, page["items"][-1]["metadata"]["name"]
            if after <= before:
                return interface.Unavailable("the pages of a list don't end")

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads what changed; see `ObjectReader.changes`."""
        wait_ms = str(int(wait_s * 1000))
        target = _build_target(kind, watch=version, waitMs=wait_ms)
        self.calls["watch"] += 1
        found = await self._read(target, wait_s + TIMEOUT_S, Events)
        if isinstance(found, interface.Gone | interface.Unavailable):
            return found
        events = tuple(_to_event(kind, event) for event in found["events"])
        return interface.Changes(events, str(found["currentRev"]))

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.http_client.close()

    async def _read(
        self, target: str, timeout_s: float, kind: Any
    ) -> Any | interface.Gone | interface.Unavailable:
        outcome = await self.http_client.request("GET", target, timeout_s)
        if not isinstance(outcome, outcomes.Answered):
            return interface.Unavailable(outcome.reason)
        if outcome.response.status == 410:
            return interface.Gone()
        if outcome.response.status != 200:
            return interface.Unavailable(f"status {outcome.response.status}")
        try:
            return _decode(outcome.body, kind)
        except msgspec.DecodeError as error:
            return interface.Unavailable(f"an answer can't be read: {error}")


def _decode(body: bytes, kind: Any) -> Any:
    """Decodes an answer in which single objects may be spoilt.

    Raises:
        DecodeError: The answer itself can't be read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError:
        clean = SURROGATE.sub(REPLACEMENT, body)
        return msgspec.json.decode(clean, type=kind)


def _build_target(kind: str, **query: str) -> str:
    text = parse.urlencode(query)
    return f"/api/objects/{kind}" + (f"?{text}" if text else "")


def _to_event(kind: str, event: Event) -> interface.Changed | interface.Deleted:
    item = _to_stored_object(kind, event["object"])
    if event["removed"]:
        return interface.Deleted(item)
    return interface.Changed(item)


def _to_stored_object(kind: str, item: Item) -> interface.StoredObject:
    meta = item["metadata"]
    return interface.StoredObject(
        kind, meta["name"], str(meta["revision"]), _decode_spec(item)
    )


def _decode_spec(item: Item) -> Any:
    """Returns what an object holds; None if it can't be read.

    Who decodes it further reports that with the object's name.
    """
    try:
        return msgspec.json.decode(item["spec"])
    except (KeyError, msgspec.DecodeError, UnicodeDecodeError):
        return None
