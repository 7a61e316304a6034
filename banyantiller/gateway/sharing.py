"""Reads the store through other daemons where that is as fresh."""

import asyncio
import collections
import random

from banyantiller.gateway import events, mirror, peers, told_lists
from banyantiller.gateway.decisions import reading, turns
from banyantiller.store import interface

# Longest wait of a call for the kind that shows whether the store answers,
# while others are told: with the timeout of a call, 0.8 s, a lost store is
# noticed within 1.4 s.
READER_WAIT_S = 0.6
# Longest wait of one question to another daemon; with its margin a daemon that
# froze is noticed within 0.9 s.
ASK_WAIT_S = 0.5
# The same for a kind that may be known later: what is known is confirmed by
# fewer questions, and a daemon that froze is noticed within 1.9 s.
PATIENT_ASK_WAIT_S = 1.5
# Others that gave no answer before the store is read: a second one that is
# asked without a wait takes 0.4 s, and a change is known within 1.4 s.
MOST_SILENT = 2
# One that is asked after others took longer than this is not to wait for a
# change.
PROMPT_S = 0.05
# Time for a question to others where the store should be read already: one that
# lives answers within it, which spares the store a call of each daemon that
# stood still.
BRIEF_S = 0.1
# Age at which the store is read for a kind that may be known later.
PATIENT_MOST_AGE_S = 3.5

LOST_WITH_OTHERS = "the daemons that are asked hear nothing of the store"
NOBODY_REACHES = "no daemon reaches the store"
# Stands for the store where the address of another daemon would stand.
STORE = "store"


class SharedReader:
    """Reads the store through other daemons where that is as fresh.

    If no other daemon can tell, the store is read at once in its place. If one
    can tell that the store is lost, it is read when what is known gets too old.
    See `store.interface.ObjectReader`.

    Attributes:
        store: The store.
        mirror: What this daemon tells others.
        sentinel: Kind whose calls show whether the store answers.
        patient: Kinds whose changes may be known later than others.
        peers: Daemons to ask for changes; of a daemon that is asked itself,
            those before it in the order of their addresses.
        others: Daemons to ask for what was in force, without this one.
        asked_itself: Whether others ask this daemon.
        reliance: How long others are relied on.
        least: Least version that a list told by others must have, by kind.
        lists: Asks others for lists.
        counts_from: Loop time from which a daemon that is asked knows who
            shares with it.
        relied_on: Daemon that told changes last, or None.
        read_at: Loop time of the last read of the store, by kind.
        reaches_store: Whether the store answered this daemon since another one
            told changes. Those that are asked may be the only ones that have
            lost it.
        heard_through: Where what is known of the sentinel came from last:
            `store`, or the address of another daemon.
        unconfirmed_s: How old the store's last word on the sentinel had become
            when the latest one came, in seconds.
        groups: Daemons that others may ask; each tells a part of the fleet.
        place: This daemon's place among those that take turns, or None while
            the others can't be counted.
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
        others: list[peers.Peer],
        own_address: str,
        rng: random.Random,
        reliance: reading.Reliance,
        patient: frozenset[str] = frozenset(),
    ) -> None:
        self.store = store
        self.patient = patient
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
        self.place: turns.Place | None = None
        self.relied_on: peers.Peer | None = None
        self.read_at: dict[str, float] = {}
        self.reaches_store = False
        self.heard_through = STORE
        self.unconfirmed_s = 0.0
        self.reliance = reliance
        self.least: dict[str, int] = {}
        self.lists = told_lists.ToldLists(
            self.others, self.asked_itself, reliance, self.least
        )
        self.random = rng
        self.calls = store.calls
        self.questions: collections.Counter[str] = collections.Counter()
        self.loop = asyncio.get_running_loop()
        self.counts_from = self.loop.time() + mirror.DEMAND_S

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind, told by others if that is fresh.

        A daemon that starts while the store is away is told by another one
        what was in force, and serves within a second.
        """
        told = await self.lists.ask(kind)
        if told is not None and self.lists.is_fresh(told):
            self._heard(kind, told.fresh_at, told.address)
            return self._listed(kind, told.listed)
        asked_at = self.loop.time()
        found = await self.store.list(kind, labels)
        if isinstance(found, interface.Listed):
            self._heard(kind, asked_at)
            return self._listed(kind, found)
        self.reliance.settled()
        told = told or await self.lists.ask(kind)
        if told is None:
            return found
        self.mirror.freshness.note(kind, told.fresh_at)
        return self._listed(kind, told.listed)

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads changes from another daemon, or from the store."""
        if wait_s <= 0:
            found = await self._try_lost_store(kind, version)
        else:
            found = await self._changes(kind, version, wait_s)
        if isinstance(found, interface.Changes):
            self.mirror.changed(kind, found)
            self.least[kind] = self.mirror.histories[kind].version
        return found

    async def close(self) -> None:
        """Closes all connections."""
        await self.store.close()
        for peer in self.others:
            await peer.user.close()

    def hurry(self) -> None:
        """Notes that a caller waits for what is to be read at the start."""
        self.lists.hurried.set()

    def _listed(
        self, kind: str, found: interface.Listed
    ) -> interface.ListOutcome:
        self.mirror.listed(kind, found)
        self.least[kind] = int(found.version)
        return found

    # Changes.

    async def _changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        demanded = self.mirror.demanded()
        counts = self.asked_itself and self.loop.time() >= self.counts_from
        if demanded or counts:
            sharers = self.mirror.sharers()
            self._divide(sharers)
            self.place = turns.Place(sharers - 1, sharers, self.groups)
        found = await self._ask_others_in_time(kind, version, wait_s)
        while found is None and self._may_settle(kind):
            await asyncio.sleep(told_lists.START_PAUSE_S)
            for peer in self.peers:
                peer.unfit_until = 0.0
            found = await self._ask_others_in_time(kind, version, wait_s)
        if found is not None:
            return found
        if demanded and kind == self.sentinel:
            wait_s = min(wait_s, READER_WAIT_S)
        if self.peers and not demanded:
            await self._space_reads(kind)
        return await self._read_store(kind, version, wait_s)

    async def _space_reads(self, kind: str) -> None:
        """Waits so that changes in series don't cost a call each.

        Where all that are asked have lost the store, each daemon reads it.
        """
        due = self.read_at.get(kind, 0.0) + self.reliance.patience_s
        await asyncio.sleep(due - self.loop.time())

    def _may_settle(self, kind: str) -> bool:
        """Tells whether others that are about to listen may be waited for."""
        now = self.loop.time()
        if not self.peers or now >= self._read_by(kind):
            return False
        return self.reliance.may_settle(now, listed=True)

    async def _try_lost_store(
        self, kind: str, version: str
    ) -> interface.ChangesOutcome:
        """Asks the store now and then, and one of the others in between."""
        now = self.loop.time()
        fit = [peer for peer in self.peers if peer.unfit_until <= now]
        alone = not fit or self.mirror.demanded()
        if alone or self.reliance.may_try(now):
            return await self._read_store(kind, version, 0.0)
        peer = self.random.choice(fit)
        found = await self._ask(peer, kind, version, 0.0)
        if isinstance(found, peers.Refused):
            again_s = self.reliance.next_own_try - self.loop.time()
            return interface.Unavailable(NOBODY_REACHES, max(0.0, again_s))
        return found

    async def _read_store(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        asked_at = self.loop.time()
        self.read_at[kind] = asked_at
        found = await self.store.changes(kind, version, wait_s)
        if isinstance(found, interface.Changes):
            self._heard(kind, self._composed_at(found, asked_at, wait_s))
        self.reaches_store = not isinstance(found, interface.Unavailable)
        if isinstance(found, interface.Gone):
            # A list from before would lead here again.
            self.least[kind] = int(version) + 1
        return found

    def _composed_at(
        self, found: interface.Changes, asked_at: float, wait_s: float
    ) -> float:
        """Returns the earliest loop time at which the store said something.

        When it was received tells nothing: an answer may have been under way
        for long, or lie in the socket of a process that stood still. Without a
        change the store waits for as long as it was asked to.
        """
        waited_until = asked_at + wait_s
        if found.events or self.loop.time() < waited_until:
            return asked_at
        return waited_until

    async def _ask_others_in_time(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome | None:
        """Asks others until the store has to be read; see `_ask_others`."""
        now = self.loop.time()
        left_s = self._read_by(kind) - now
        until = now + max(left_s, BRIEF_S)
        # An answer that was waited for needs time to arrive.
        wait_s = max(0.0, min(wait_s, left_s - BRIEF_S))
        try:
            async with asyncio.timeout_at(until):
                return await self._ask_others(kind, version, wait_s)
        except TimeoutError:
            self.questions["given_up"] += 1
            return None

    def _read_by(self, kind: str) -> float:
        """Returns the loop time at which the store has to be read."""
        most_age_s = self.reliance.most_age_s
        if kind in self.patient:
            most_age_s = PATIENT_MOST_AGE_S
        return self.mirror.freshness.times.get(kind, 0.0) + most_age_s

    async def _ask_others(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome | None:
        """Asks one daemon after the other.

        Returns:
            What one told; `Unavailable` if the store needn't be read yet
            either; None if it has to be read.
        """
        store_lost = False
        silent = 0
        prompt_until = self.loop.time() + PROMPT_S
        for peer in self.peers:
            now = self.loop.time()
            if peer.unfit_until > now:
                continue
            # One that was waited for in vain leaves no time to wait again.
            left_s = wait_s if now < prompt_until else 0.0
            found = await self._ask(peer, kind, version, left_s)
            if not isinstance(found, peers.Refused):
                return found
            store_lost |= found.kind is peers.RefusalKind.STORE_LOST
            silent += found.kind is peers.RefusalKind.SILENT
            if silent == MOST_SILENT:
                break
        if store_lost and self._may_wait():
            again_s = self._read_by(kind) - self.loop.time()
            return interface.Unavailable(LOST_WITH_OTHERS, max(0.0, again_s))
        return None

    def _may_wait(self) -> bool:
        """Tells whether a lost store may be left to those that are asked."""
        if self.asked_itself or self.reaches_store:
            return False
        return self.reliance.may_wait(self.loop.time())

    async def _ask(
        self, peer: peers.Peer, kind: str, version: str, wait_s: float
    ) -> interface.Changes | interface.Gone | peers.Refused:
        """Asks a daemon, and notes whether it can be relied on."""
        patient = kind in self.patient
        most_s = PATIENT_ASK_WAIT_S if patient else ASK_WAIT_S
        found = await peer.changes(kind, version, min(wait_s, most_s))
        if not isinstance(found, peers.Refused):
            self.questions["answered"] += 1
            self.reaches_store = False
            peer.unfit_until = 0.0
            if isinstance(found, interface.Changes):
                self._heard(kind, peer.fresh_at, peer.address)
                self._rely_on(peer)
            return found
        self.questions["unanswered"] += 1
        now = self.loop.time()
        if found.kind is not peers.RefusalKind.STORE_LOST:
            if peer.unfit_until <= now:
                events.emit(events.PeerLost(peer.address, found.kind.value))
            peer.unfit_until = now + peers.UNFIT_S
        self.relied_on = None
        return found

    def _heard(self, kind: str, fresh_at: float, through: str = STORE) -> None:
        """Notes when the store said what is known now."""
        self.mirror.freshness.note(kind, fresh_at)
        if kind == self.sentinel:
            self.heard_through = through
            self.unconfirmed_s = self.loop.time() - self.reliance.fresh_at
            self.reliance.heard(fresh_at)

    def _rely_on(self, peer: peers.Peer) -> None:
        """Notes that another daemon told changes."""
        if peer is not self.relied_on:
            self.relied_on = peer
            events.emit(events.ReadsThrough(peer.address, peer.sharers))
        if not self.asked_itself:
            self._divide(peer.sharers)
            self.place = peer.place(self.groups)

    def _divide(self, sharers: int) -> None:
        """Takes this daemon's part of what a group of daemons may use.

        Each group gets the same, and shares it among those that it counts, so
        the parts add up to one whatever a daemon believes of other groups.
        """
        self.share = 1 / (self.groups * max(1, sharers))
