"""Passes on what one daemon reads of the store to all others.

Who reads follows from who is asked, and nothing has to be agreed: a daemon
that is asked asks only those before it in the order of their addresses, so the
first of them reads the store, and whoever gets no answer does.
"""

import asyncio
import collections
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

import msgspec

from banyantiller.gateway import events
from banyantiller.http import messages
from banyantiller.store import interface

PATH = "/mirror/"
# Value of the query parameter `shares` of a daemon that does.
SHARES = "1"
# Batches of changes that are kept for daemons that ask late; the store itself
# has some 20 s, in which no more than 40 come.
MOST_BATCHES = 100
# A daemon that was not asked for so long stops reading for others.
DEMAND_S = 3.0
# Longest wait of one question.
LONGEST_WAIT_S = 5.0
# A document of 480 routes has 100 KB, of which the fastest level leaves a
# tenth; below 1 KB there is nothing to gain.
DEFLATE_LEVEL = 1
LEAST_DEFLATED_BYTES = 1024
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
    `age_ms` tells how long ago the store answered whoever read it.
    """

    events: list[EventFields]
    version: str
    sharers: int
    age_ms: int


class ListFields(TypedDict):
    """All objects of a kind on their way between daemons."""

    items: list[EventFields]
    version: str


class Asker(NamedTuple):
    """A daemon that relies on this one.

    Attributes:
        at: Loop time of its last question.
        shares: Whether it takes its part of the fleet's budgets from what
            this one divides; a daemon that is asked itself divides its own.
    """

    at: float
    shares: bool


class Batch(NamedTuple):
    """Changes that were read at once.

    Attributes:
        version: Version of the store after them.
        events: The changes.
    """

    version: int
    events: tuple[interface.Changed | interface.Deleted, ...]


class History:
    """Changes of one kind since some version.

    Attributes:
        items: All objects by name.
        oldest: Version from which changes are known.
        version: Version up to which they are known.
        batches: The changes.
        changed: Set at each change; replaced after it.
    """

    def __init__(self, listed: interface.Listed) -> None:
        self.items = {item.name: item for item in listed.items}
        self.oldest = int(listed.version)
        self.version = self.oldest
        self.batches: collections.deque[Batch] = collections.deque()
        self.changed = asyncio.Event()

    def add(self, found: interface.Changes) -> None:
        """Adds what was read."""
        self.version = max(self.version, int(found.version))
        if not found.events:
            return
        for event in found.events:
            if isinstance(event, interface.Deleted):
                self.items.pop(event.item.name, None)
            else:
                self.items[event.item.name] = event.item
        self.batches.append(Batch(self.version, found.events))
        if len(self.batches) > MOST_BATCHES:
            self.oldest = self.batches.popleft().version
        self.wake()

    def after(
        self, version: int
    ) -> list[interface.Changed | interface.Deleted]:
        """Returns the changes after a version."""
        return [
            event
            for batch in self.batches
            if batch.version > version
            for event in batch.events
        ]

    def wake(self) -> None:
        """Lets those who wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class Mirror:
    """Answers other daemons from what this one has read.

    Attributes:
        histories: Changes by kind.
        fit: Tells whether what was read is up to date.
        askers: Last question of each daemon that asks, by its name.
        fresh_at: Loop time at which the store said what is known here.
        on_demand: Called when the first other daemon asks.
    """

    def __init__(self, fit: Callable[[], bool]) -> None:
        self.fit = fit
        self.histories: dict[str, History] = {}
        self.askers: dict[str, Asker] = {}
        self.fresh_at = 0.0
        self.on_demand: Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()

    def demanded(self) -> bool:
        """Tells whether other daemons rely on this one."""
        return bool(self._asked_lately())

    def sharers(self) -> int:
        """Counts the daemons that share with this one, and itself."""
        return sum(asker.shares for asker in self._asked_lately()) + 1

    def _asked_lately(self) -> list[Asker]:
        oldest = self.loop.time() - DEMAND_S
        for name in [n for n, a in self.askers.items() if a.at <= oldest]:
            del self.askers[name]
        return list(self.askers.values())

    def listed(self, kind: str, found: interface.Listed) -> None:
        """Notes that a kind was read whole."""
        self.wake()
        self.histories[kind] = History(found)

    def changed(self, kind: str, found: interface.Changes) -> None:
        """Notes changes that were read."""
        self.histories[kind].add(found)

    def wake(self) -> None:
        """Lets those who wait look again whether this daemon is fit."""
        for history in self.histories.values():
            history.wake()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers another daemon's question."""
        kind = request.path.removeprefix(PATH)
        if "since" not in request.query:
            return self._tell_list(kind)
        try:
            since = int(request.query["since"])
            wait_s = int(request.query["wait_ms"]) / 1000
            name = request.query["name"]
            shares = request.query.get("shares", SHARES) == SHARES
        except (KeyError, ValueError):
            return messages.Response(400)
        first = not self.demanded()
        self.askers[name] = Asker(self.loop.time(), shares)
        if first:
            events.emit(events.ReadsForOthers(name))
            self.on_demand()
        return await self._answer(kind, since, min(wait_s, LONGEST_WAIT_S))

    def _tell_list(self, kind: str) -> messages.Response:
        """Tells all objects of a kind, also while the store is away."""
        history = self.histories.get(kind)
        if history is None:
            return messages.Response(503)
        items = [_fields(item, False) for item in history.items.values()]
        version = str(history.version)
        return _packed(ListFields(items=items, version=version))

    async def _answer(
        self, kind: str, since: int, wait_s: float
    ) -> messages.Response:
        until = self.loop.time() + wait_s
        while True:
            history = self.histories.get(kind)
            if history is None or not self.fit():
                return messages.Response(503)
            if since < history.oldest:
                return messages.Response(410)
            events = history.after(since)
            left = until - self.loop.time()
            if events or left <= 0:
                version = max(since, history.version)
                age_s = self.loop.time() - self.fresh_at
                return _reply(events, version, self.sharers(), age_s)
            try:
                async with asyncio.timeout(left):
                    await history.changed.wait()
            except TimeoutError:
                continue


def _reply(
    events: list[interface.Changed | interface.Deleted],
    version: int,
    sharers: int,
    age_s: float,
) -> messages.Response:
    fields = [
        _fields(event.item, isinstance(event, interface.Deleted))
        for event in events
    ]
    return _packed(
        ReplyFields(
            events=fields,
            version=str(version),
            sharers=sharers,
            age_ms=int(age_s * 1000),
        )
    )


def _fields(item: interface.StoredObject, removed: bool) -> EventFields:
    return EventFields(
        name=item.name, version=item.version, value=item.value, removed=removed
    )


def _packed(fields: ReplyFields | ListFields) -> messages.Response:
    body = msgspec.json.encode(fields)
    if len(body) < LEAST_DEFLATED_BYTES:
        return messages.Response(200, (), body)
    return messages.Response(200, DEFLATED, zlib.compress(body, DEFLATE_LEVEL))
