"""What daemons tell each other of the store, as it is sent."""

import math
import zlib
from typing import Any, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import server_limits
from banyantiller.http import messages
from banyantiller.store import interface

# A document of 480 routes has 100 KB, of which the fastest level leaves a
# tenth; below 1 KB there is nothing to gain.
DEFLATE_LEVEL = 1
MIN_DEFLATED_BYTES = 1024
DEFLATED = (("content-encoding", "deflate"),)


class EventFields(TypedDict):
    """One change on its way between daemons."""

    name: str
    version: str
    value: Any
    removed: bool


class ReplyFields(TypedDict):
    """Changes on their way between daemons.

    `sharers` counts the daemons that ask the one that answers, and that one;
    `age_ms` tells how long ago the store answered whoever read it, and
    `held_ms` for how long the question waited for this answer: the one who
    asks knows when it asked, and not how long the answer was under way.
    `doubted` names servers that failed several daemons. Answers about
    documents have besides the rank of the one who asks among the sharers, the
    clock of the one who answers, and the limits that servers name.
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


class ListFields(TypedDict):
    """All objects of a kind on their way between daemons."""

    items: list[EventFields]
    version: str


def age_ms(age_s: float) -> int:
    """Returns an age in milliseconds, rounded up."""
    return math.ceil(age_s * 1000)


def reply(
    events: list[interface.Changed | interface.Deleted],
    version: int,
    sharers: int,
    age_s: float,
) -> ReplyFields:
    """Returns changes as they are sent."""
    fields = [
        fields_of(event.item, isinstance(event, interface.Deleted))
        for event in events
    ]
    return ReplyFields(
        events=fields,
        version=str(version),
        sharers=sharers,
        age_ms=age_ms(age_s),
    )


def fields_of(item: interface.StoredObject, removed: bool) -> EventFields:
    """Returns an object as it is sent."""
    return EventFields(
        name=item.name, version=item.version, value=item.value, removed=removed
    )


def pack(fields: ReplyFields | ListFields) -> messages.Response:
    """Returns an answer with these fields, deflated if it is long."""
    body = msgspec.json.encode(fields)
    if len(body) < MIN_DEFLATED_BYTES:
        return messages.Response(200, (), body)
    return messages.Response(200, DEFLATED, zlib.compress(body, DEFLATE_LEVEL))
