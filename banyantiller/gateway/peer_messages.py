"""Messages by which daemons send each other the state of the store."""

import math
import zlib
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import server_limits
from banyantiller.http import messages
from banyantiller.store import interface

# A document of 480 routes has 100 KB, which level 1 deflates to a tenth. Below
# 1 KB deflating saves nothing.
DEFLATE_LEVEL = 1
MIN_DEFLATED_BYTES = 1024
DEFLATE_HEADERS = (("content-encoding", "deflate"),)


class EventFields(TypedDict):
    """One object, or one change of an object, in a message."""

    name: str
    version: str
    value: Any
    removed: bool


class ReplyFields(TypedDict):
    """Reply to a query for changes.

    `sharers` counts the daemons that share the relay's group, the relay
    included. `age_ms` is the time since the store last confirmed the relay's
    state, and `held_ms` how long the relay held the query: a subscriber knows
    when it sent the query, but not how long the reply was under way. `doubted`
    names servers that several daemons reported failing. Replies about documents
    also carry the subscriber's `rank` among the sharers, the relay's clock, and
    the limits that servers name, and the `successors` of the relays. Those to a
    daemon that reported loads carry the `load` that other daemons observed; see
    `load_reports`.
    """

    events: list[EventFields]
    version: str
    sharers: int
    age_ms: int
    held_ms: NotRequired[int]
    doubted: NotRequired[list[str]]
    rank: NotRequired[int]
    clock_ms: NotRequired[int]
    limits: NotRequired[list[server_limits.LimitFields]]
    load: NotRequired[str]
    successors: NotRequired[list[str]]


class ListFields(TypedDict):
    """Reply to a query for all objects of a kind."""

    items: list[EventFields]
    version: str


def age_ms(age_s: float) -> int:
    """Returns an age in milliseconds, rounded up."""
    return math.ceil(age_s * 1000)


def changes_reply(
    events: list[interface.Changed | interface.Deleted],
    version: int,
    sharers: int,
    age_s: float,
) -> ReplyFields:
    """Returns the reply that carries these changes."""
    fields = [
        encode_object(event.item, isinstance(event, interface.Deleted))
        for event in events
    ]
    return ReplyFields(
        events=fields,
        version=str(version),
        sharers=sharers,
        age_ms=age_ms(age_s),
    )


def encode_object(item: interface.StoredObject, removed: bool) -> EventFields:
    """Returns the fields of an object or of its change."""
    return EventFields(
        name=item.name, version=item.version, value=item.value, removed=removed
    )


def build_response(fields: ReplyFields | ListFields) -> messages.Response:
    """Returns a response with these fields, deflated if it is long."""
    body = msgspec.json.encode(fields)
    if len(body) < MIN_DEFLATED_BYTES:
        return messages.Response(200, (), body)
    return messages.Response(
        200, DEFLATE_HEADERS, zlib.compress(body, DEFLATE_LEVEL)
    )
