"""Passes on what a few daemons read of the store to all others.

Any daemon that is asked reads the store itself for as long as it is asked, so
who reads follows from who is asked, and nothing has to be agreed.
"""

import asyncio
import collections
import random
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

import msgspec
import structlog

from banyantiller.config.defaults import Endpoint
from banyantiller.http import client, messages, outcomes
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.gateway")

PATH = "/mirror/"
# Batches of changes that are kept for daemons that ask late; the store itself
# has some 20 s, in which no more than 40 come.
MOST_BATCHES = 100
# A daemon that was not asked for so long stops reading for others.
DEMAND_S = 3.0
# Longest wait of a call for the kind that shows whether the store answers,
# while others are told: with the timeout of a call, 0.8 s, a lost store is
# noticed within 1.5 s.
READER_WAIT_S = 0.7
# Longest wait of one question to another daemon, and how much longer its
# answer may take: a daemon that froze is noticed within 0.9 s.
ASK_WAIT_S = 0.5
ASK_MARGIN_S = 0.4
# How long a daemon that gave no answer is not asked again.
UNFIT_S = 2.0
LIMITS = messages.Limits(connections=4, silence_s=3)
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
    """Changes on their way between daemons."""

    events: list[EventFields]
    version: str


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
        oldest: Version from which changes are known.
        version: Version up to which they are known.
        batches: The changes.
        changed: Set at each change; replaced after it.
    """

    def __init__(self, version: int) -> None:
        self.oldest = version
        self.version = version
        self.batches: collections.deque[Batch] = collections.deque()
        self.changed = asyncio.Event()

    def add(self, found: interface.Changes) -> None:
        """Adds what was read."""
        self.version = max(self.version, int(found.version))
        if not found.events:
            return
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
        demanded_until: Loop time until which this daemon reads for others.
        on_demand: Called when the first other daemon asks.
    """

    def __init__(self, fit: Callable[[], bool]) -> None:
        self.fit = fit
        self.histories: dict[str, History] = {}
        self.demanded_until = 0.0
        self.on_demand: Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()

    def demanded(self) -> bool:
        """Tells whether other daemons rely on this one."""
        return self.loop.time() < self.demanded_until

    def listed(self, kind: str, version: str) -> None:
        """Notes that a kind was read whole."""
        self.wake()
        self.histories[kind] = History(int(version))

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
        try:
            since = int(request.query["since"])
            wait_s = int(request.query["wait_ms"]) / 1000
        except (KeyError, ValueError):
            return messages.Response(400)
        first = not self.demanded()
        self.demanded_until = self.loop.time() + DEMAND_S
        if first:
            log.info("gateway: reads the store for others.")
            self.on_demand()
        return await self._answer(kind, since, min(wait_s, ASK_WAIT_S * 2))

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
                return _reply(events, max(since, history.version))
            try:
                async with asyncio.timeout(left):
                    await history.changed.wait()
            except TimeoutError:
                continue


def _reply(
    events: list[interface.Changed | interface.Deleted], version: int
) -> messages.Response:
    fields = ReplyFields(
        events=[
            EventFields(
                name=event.item.name,
                version=event.item.version,
                value=event.item.value,
                removed=isinstance(event, interface.Deleted),
            )
            for event in events
        ],
        version=str(version),
    )
    body = msgspec.json.encode(fields)
    if len(body) < LEAST_DEFLATED_BYTES:
        return messages.Response(200, (), body)
    return messages.Response(200, DEFLATED, zlib.compress(body, DEFLATE_LEVEL))


class Peer:
    """Another daemon that can be asked.

    Attributes:
        user: Client of it.
        unfit_until: Loop time until which it is not asked.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.user = client.HttpClient(endpoint.address, endpoint.port, LIMITS)
        self.unfit_until = 0.0

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.Changes | None:
        """Asks for changes; None if the daemon can't tell."""
        target = f"{PATH}{kind}?since={version}&wait_ms={wait_s * 1000:.0f}"
        outcome = await self.user.request("GET", target, wait_s + ASK_MARGIN_S)
        if not isinstance(outcome, outcomes.Answered):
            return None
        if outcome.response.status != 200:
            return None
        try:
            fields = _decode(outcome)
        except (msgspec.DecodeError, zlib.error) as error:
            log.warning("gateway: a daemon's answer is bad.", error=str(error))
            return None
        events = tuple(_event(kind, item) for item in fields["events"])
        return interface.Changes(events, fields["version"])


def _decode(outcome: outcomes.Answered) -> ReplyFields:
    body = outcome.body
    if outcome.response.header("content-encoding"):
        body = zlib.decompress(body)
    return msgspec.json.decode(body, type=ReplyFields)


def _event(
    kind: str, fields: EventFields
) -> interface.Changed | interface.Deleted:
    item = interface.StoredObject(
        kind, fields["name"], fields["version"], fields["value"]
    )
    if fields["removed"]:
        return interface.Deleted(item)
    return interface.Changed(item)


class SharedReader:
    """Reads the store through other daemons where that is as fresh.

    Whatever goes wrong with another daemon, the store is read at once in its
    place. See `store.interface.ObjectReader`.

    Attributes:
        store: The store.
        mirror: What this daemon tells others.
        sentinel: Kind whose calls show whether the store answers.
        peers: Daemons to ask; empty if this one is asked itself.
        calls: Calls to the store by verb.
    """

    def __init__(
        self,
        store: interface.ObjectReader,
        mirror: Mirror,
        sentinel: str,
        peers: list[Peer],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.sentinel = sentinel
        self.peers = list(peers)
        rng.shuffle(self.peers)
        self.calls = store.calls
        self.loop = asyncio.get_running_loop()

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind from the store."""
        found = await self.store.list(kind, labels)
        if isinstance(found, interface.Listed):
            self.mirror.listed(kind, found.version)
        return found

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads changes from another daemon, or from the store."""
        found = await self._changes(kind, version, wait_s)
        if isinstance(found, interface.Changes):
            self.mirror.changed(kind, found)
        return found

    async def close(self) -> None:
        """Closes all connections."""
        await self.store.close()
        for peer in self.peers:
            await peer.user.close()

    async def _changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        if wait_s <= 0:
            return await self.store.changes(kind, version, wait_s)
        if self.mirror.demanded():
            if kind == self.sentinel:
                wait_s = min(wait_s, READER_WAIT_S)
            return await self.store.changes(kind, version, wait_s)
        now = self.loop.time()
        peer = next((p for p in self.peers if p.unfit_until <= now), None)
        if peer is None:
            return await self.store.changes(kind, version, wait_s)
        found = await peer.changes(kind, version, min(wait_s, ASK_WAIT_S))
        if found is not None:
            return found
        peer.unfit_until = self.loop.time() + UNFIT_S
        return await self.store.changes(kind, version, 0.0)
