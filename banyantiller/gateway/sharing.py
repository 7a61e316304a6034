"""Reads the store through other daemons where that is as fresh."""

import asyncio
import collections
import random
import zlib
from typing import Any
from urllib import parse

import msgspec

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import events, mirror
from banyantiller.http import client, messages, outcomes
from banyantiller.store import interface

# Longest wait of a call for the kind that shows whether the store answers,
# while others are told: with the timeout of a call, 0.8 s, a lost store is
# noticed within 1.4 s.
READER_WAIT_S = 0.6
# Longest wait of one question to another daemon, and how much longer its
# answer may take: a daemon that froze is noticed within 0.9 s.
ASK_WAIT_S = 0.5
ASK_MARGIN_S = 0.4
# How often a daemon that others don't ask tries a lost store itself: it also
# learns of the return from those that are asked, and calls are paid for.
STORE_AGAIN_S = 1.5
# A daemon that refuses this soon leaves time to ask the next one; the store is
# asked only then. At the start of a fleet, when the daemons that are asked
# don't listen yet, that makes 2 calls of each other daemon in place of 6.
QUICK_S = 0.1
# How long after its start a daemon goes on asking others that refuse: where a
# fleet starts at once they listen a moment later, and the store was just read.
# Half of the calls of a start are saved; a change is seen within 1.5 s.
SETTLE_S = 1.2
START_PAUSE_S = 0.3
# What another daemon knows is not relied on if the store said it longer ago,
# whatever the reason: the store is silent for its reader, or daemons that know
# each other under different addresses ask in a circle and nobody reads. Through
# one daemon in between it is 1.1 s old; with the longest question, a change is
# seen within 1.9 s.
STALE_S = 1.4
# How long a daemon that gave no answer is not asked again.
UNFIT_S = 2.0
LIMITS = messages.Limits(connections=4, silence_s=3)


class Peer:
    """Another daemon that can be asked.

    Attributes:
        user: Client of it.
        name: Name of this daemon, by which the other counts it.
        shares: Whether this daemon shares what the other one divides.
        address: IP number and port of the other daemon.
        sharers: Daemons that the other one told for, itself included.
        fresh_at: Loop time at which the store said what the other one told.
        unfit_until: Loop time until which it is not asked.
    """

    def __init__(self, endpoint: Endpoint, name: str, shares: bool) -> None:
        self.name = parse.quote(name)
        self.shares = mirror.SHARES if shares else "0"
        self.address = f"{endpoint.address}:{endpoint.port}"
        self.sharers = 0
        self.fresh_at = 0.0
        self.user = client.HttpClient(endpoint.address, endpoint.port, LIMITS)
        self.unfit_until = 0.0

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.Changes | None:
        """Asks for changes; None if the daemon can't tell."""
        target = (
            f"{mirror.PATH}{kind}?since={version}"
            f"&wait_ms={wait_s * 1000:.0f}&name={self.name}"
            f"&shares={self.shares}"
        )
        fields = await self._ask(
            target, wait_s + ASK_MARGIN_S, mirror.ReplyFields
        )
        if fields is None:
            return None
        if fields["age_ms"] > STALE_S * 1000:
            return None
        self.sharers = fields["sharers"]
        now = asyncio.get_running_loop().time()
        self.fresh_at = now - fields["age_ms"] / 1000
        events = tuple(_event(kind, item) for item in fields["events"])
        return interface.Changes(events, fields["version"], second_hand=True)

    async def list(self, kind: str) -> interface.Listed | None:
        """Asks for all objects; None if the daemon can't tell."""
        fields = await self._ask(
            f"{mirror.PATH}{kind}", ASK_MARGIN_S, mirror.ListFields
        )
        if fields is None:
            return None
        items = tuple(_stored(kind, item) for item in fields["items"])
        return interface.Listed(items, fields["version"], second_hand=True)

    async def _ask(self, target: str, timeout_s: float, kind: Any) -> Any:
        outcome = await self.user.request("GET", target, timeout_s)
        if not isinstance(outcome, outcomes.Answered):
            return None
        if outcome.response.status != 200:
            return None
        try:
            body = outcome.body
            if outcome.response.header("content-encoding"):
                body = zlib.decompress(body)
            return msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, zlib.error) as error:
            events.emit(events.PeerUnreadable(self.address, str(error)))
            return None


def _event(
    kind: str, fields: mirror.EventFields
) -> interface.Changed | interface.Deleted:
    item = _stored(kind, fields)
    if fields["removed"]:
        return interface.Deleted(item)
    return interface.Changed(item)


def _stored(kind: str, fields: mirror.EventFields) -> interface.StoredObject:
    return interface.StoredObject(
        kind, fields["name"], fields["version"], fields["value"]
    )


class SharedReader:
    """Reads the store through other daemons where that is as fresh.

    Whatever goes wrong with another daemon, the store is read at once in its
    place. See `store.interface.ObjectReader`.

    Attributes:
        store: The store.
        mirror: What this daemon tells others.
        sentinel: Kind whose calls show whether the store answers.
        peers: Daemons to ask for changes; of a daemon that is asked itself,
            those before it in the order of their addresses.
        others: Daemons to ask for what was in force, without this one.
        asked_itself: Whether others ask this daemon.
        settled_at: Loop time until which others that refuse are asked again.
        counts_from: Loop time from which a daemon that is asked knows who
            shares with it.
        relied_on: Daemon that told changes last, or None.
        next_store: Loop time from which a lost store is tried again.
        groups: Daemons that others may ask; each tells a part of the fleet.
        share: Part of the fleet's budgets that this daemon may use, or None
            while the others can't be counted.
        calls: Calls to the store by verb.
        questions: Questions to other daemons by outcome.
    """

    def __init__(
        self,
        store: interface.ObjectReader,
        own: mirror.Mirror,
        sentinel: str,
        others: list[Peer],
        own_address: str,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.mirror = own
        self.sentinel = sentinel
        self.others = list(others)
        rng.shuffle(self.others)
        self.asked_itself = bool(own_address)
        self.peers = self.others
        if self.asked_itself:
            # In one order for all, so that no two wait for each other.
            before = [p for p in others if p.address < own_address]
            self.peers = sorted(before, key=lambda peer: peer.address)
        self.groups = max(1, len(self.others) + self.asked_itself)
        self.share: float | None = None
        self.relied_on: Peer | None = None
        self.next_store = 0.0
        self.random = rng
        self.calls = store.calls
        self.questions: collections.Counter[str] = collections.Counter()
        self.loop = asyncio.get_running_loop()
        self.settled_at = self.loop.time() + SETTLE_S
        self.counts_from = self.loop.time() + mirror.DEMAND_S

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind, from the store if it answers.

        A daemon that starts while the store is away is told by another one
        what was in force, and serves within a second.
        """
        found = await self.store.list(kind, labels)
        if isinstance(found, interface.Unavailable):
            self.settled_at = 0.0
            told = await self._ask_for_list(kind)
            found = told if isinstance(told, interface.Listed) else found
        if isinstance(found, interface.Listed):
            if not found.second_hand:
                self.mirror.fresh_at = self.loop.time()
            self.mirror.listed(kind, found)
        return found

    async def _ask_for_list(
        self, kind: str
    ) -> interface.Listed | interface.Unavailable:
        for peer in self.others:
            found = await peer.list(kind)
            if found is not None:
                events.emit(events.ListTold(kind, peer.address))
                return found
        return interface.Unavailable("no other daemon has a list")

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads changes from another daemon, or from the store."""
        found = await self._changes(kind, version, wait_s)
        if isinstance(found, interface.Changes):
            if not found.second_hand:
                self.mirror.fresh_at = self.loop.time()
            self.mirror.changed(kind, found)
        return found

    async def close(self) -> None:
        """Closes all connections."""
        await self.store.close()
        for peer in self.others:
            await peer.user.close()

    async def _changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        if wait_s <= 0:
            return await self._try_lost_store(kind, version)
        now = self.loop.time()
        demanded = self.mirror.demanded()
        if demanded or (self.asked_itself and now >= self.counts_from):
            self._divide(self.mirror.sharers())
        found = await self._ask_others(kind, version, wait_s)
        while found is None and self._may_settle():
            await asyncio.sleep(START_PAUSE_S)
            for peer in self.peers:
                peer.unfit_until = 0.0
            found = await self._ask_others(kind, version, wait_s)
        if found is not None:
            return found
        if demanded and kind == self.sentinel:
            wait_s = min(wait_s, READER_WAIT_S)
        return await self.store.changes(kind, version, wait_s)

    async def _try_lost_store(
        self, kind: str, version: str
    ) -> interface.ChangesOutcome:
        """Asks the store now and then, and one of the others in between."""
        now = self.loop.time()
        if not self.peers or self.mirror.demanded() or now >= self.next_store:
            self.next_store = now + STORE_AGAIN_S
            return await self.store.changes(kind, version, 0.0)
        found = await self.random.choice(self.peers).changes(kind, version, 0.0)
        return found or interface.Unavailable("no daemon reaches the store")

    def _may_settle(self) -> bool:
        """Tells whether others may still be about to listen."""
        return bool(self.peers) and self.loop.time() < self.settled_at

    async def _ask_others(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome | None:
        """Asks one daemon after the other; None if all refuse at once.

        One that was waited for in vain leaves no time for others, so that the
        store is read then.
        """
        began = self.loop.time()
        for peer in self.peers:
            if peer.unfit_until > self.loop.time():
                continue
            found = await self._ask(peer, kind, version, wait_s)
            if found is not None:
                return found
            if self.loop.time() - began > QUICK_S:
                return await self.store.changes(kind, version, 0.0)
        return None

    async def _ask(
        self, peer: Peer, kind: str, version: str, wait_s: float
    ) -> interface.Changes | None:
        """Asks a daemon, and notes whether it can be relied on."""
        found = await peer.changes(kind, version, min(wait_s, ASK_WAIT_S))
        if found is not None:
            self.questions["answered"] += 1
            self.mirror.fresh_at = max(self.mirror.fresh_at, peer.fresh_at)
            self._rely_on(peer)
            return found
        self.questions["unanswered"] += 1
        now = self.loop.time()
        if peer.unfit_until <= now:
            events.emit(events.PeerLost(peer.address))
        peer.unfit_until = now + UNFIT_S
        self.relied_on = None
        return None

    def _rely_on(self, peer: Peer) -> None:
        """Notes that another daemon told changes."""
        if peer is not self.relied_on:
            self.relied_on = peer
            events.emit(events.ReadsThrough(peer.address, peer.sharers))
        if not self.asked_itself:
            self._divide(peer.sharers)

    def _divide(self, sharers: int) -> None:
        """Takes this daemon's part of what a group of daemons may use.

        Each group gets the same, and shares it among those that it counts, so
        the parts add up to one whatever a daemon believes of other groups.
        """
        self.share = 1 / (self.groups * max(1, sharers))
