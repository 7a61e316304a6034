"""Reads the store through other daemons where that is as fresh."""

import asyncio
import collections
import random

from banyantiller.gateway import events, mirror, peer_lists, peers
from banyantiller.gateway.decisions import store_reads, turns
from banyantiller.store import interface

# Longest wait of a call for the kind that shows whether the store answers,
# while others are told: with the timeout of a call, 0.8 s, a lost store is
# noticed within 1.4 s.
READER_WAIT_S = 0.6
# Longest wait of one question to another daemon; with its margin a daemon that
# froze is noticed within 0.9 s.
QUERY_WAIT_S = 0.5
# The same for a kind that may be known later: what is known is confirmed by
# fewer questions, and a daemon that froze is noticed within 1.9 s.
DELAY_TOLERANT_QUERY_WAIT_S = 1.5
# Others that gave no answer before the store is read: a second one that is
# asked without a wait takes 0.4 s, and a change is known within 1.4 s.
MAX_UNRESPONSIVE_PEERS = 2
# One that is asked after others took longer than this is not to wait for a
# change.
PROMPT_S = 0.05
# Time for a question to others where the store should be read already: one that
# lives answers within it, which spares the store a call of each daemon that
# stood still.
BRIEF_S = 0.1
# Age at which the store is read for a kind that may be known later.
DELAY_TOLERANT_MAX_AGE_S = 3.5

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
        delay_tolerant: Kinds whose changes may be known later than others.
        upstream_relays: Daemons to ask for changes; of a daemon that is asked
            itself, those before it in the order of their addresses.
        relays: Daemons to ask for what was in force, without this one.
        is_relay: Whether others ask this daemon.
        read_policy: How long others are relied on.
        min_versions: Least version that a list told by others must have, by
            kind.
        peer_lists: Asks others for lists.
        counts_sharers_from: Loop time from which a daemon that is asked knows
            who shares with it.
        current_relay: Daemon that told changes last, or None.
        read_at: Loop time of the last read of the store, by kind.
        reaches_store: Whether the store answered this daemon since another one
            told changes. Those that are asked may be the only ones that have
            lost it.
        confirmed_by: Where what is known of the sentinel came from last:
            `store`, or the address of another daemon.
        unconfirmed_s: How old the store's last word on the sentinel had become
            when the latest one came, in seconds.
        relay_count: Daemons that others may ask; each tells a part of the
            fleet.
        position: This daemon's place among those that take turns, or None while
            the others can't be counted.
        budget_share: Part of the fleet's budgets that this daemon may use, or
            None while the others can't be counted.
        calls: Calls to the store by verb.
        query_outcomes: Questions to other daemons by outcome.
    """

    def __init__(
        self,
        store: interface.ObjectReader,
        own: mirror.Mirror,
        sentinel: str,
        relays: list[peers.Peer],
        own_address: str,
        rng: random.Random,
        read_policy: store_reads.StoreReadPolicy,
        delay_tolerant: frozenset[str] = frozenset(),
    ) -> None:
        self.store = store
        self.delay_tolerant = delay_tolerant
        self.mirror = own
        self.sentinel = sentinel
        self.relays = list(relays)
        rng.shuffle(self.relays)
        self.is_relay = bool(own_address)
        self.upstream_relays = self.relays
        if self.is_relay:
            # In one order for all, so that no two wait for each other.
            before = [p for p in relays if p.address < own_address]
            self.upstream_relays = sorted(before, key=lambda peer: peer.address)
        self.relay_count = max(1, len(self.relays) + self.is_relay)
        self.budget_share: float | None = None
        self.position: turns.FleetPosition | None = None
        self.current_relay: peers.Peer | None = None
        self.read_at: dict[str, float] = {}
        self.reaches_store = False
        self.confirmed_by = STORE
        self.unconfirmed_s = 0.0
        self.read_policy = read_policy
        self.min_versions: dict[str, int] = {}
        self.peer_lists = peer_lists.PeerListReader(
            self.relays, self.is_relay, read_policy, self.min_versions
        )
        self.random = rng
        self.calls = store.calls
        self.query_outcomes: collections.Counter[str] = collections.Counter()
        self.loop = asyncio.get_running_loop()
        self.counts_sharers_from = (
            self.loop.time() + mirror.SUBSCRIBER_TIMEOUT_S
        )

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind, told by others if that is fresh.

        A daemon that starts while the store is away is told by another one
        what was in force, and serves within a second.
        """
        told = await self.peer_lists.fetch(kind)
        if told is not None and self.peer_lists.is_fresh(told):
            self._heard(kind, told.fresh_at, told.address)
            return self._listed(kind, told.listed)
        asked_at = self.loop.time()
        found = await self.store.list(kind, labels)
        if isinstance(found, interface.Listed):
            self._heard(kind, asked_at)
            return self._listed(kind, found)
        self.read_policy.end_settling()
        told = told or await self.peer_lists.fetch(kind)
        if told is None:
            return found
        self.mirror.freshness.record(kind, told.fresh_at)
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
            self.mirror.record_changes(kind, found)
            self.min_versions[kind] = self.mirror.histories[kind].version
        return found

    async def close(self) -> None:
        """Closes all connections."""
        await self.store.close()
        for peer in self.relays:
            await peer.client.close()

    def skip_start_pause(self) -> None:
        """Notes that a caller waits for what is to be read at the start."""
        self.peer_lists.start_pause_skipped.set()

    def _listed(
        self, kind: str, found: interface.Listed
    ) -> interface.ListOutcome:
        self.mirror.record_list(kind, found)
        self.min_versions[kind] = int(found.version)
        return found

    # Changes.

    async def _changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        demanded = self.mirror.has_subscribers()
        counts = self.is_relay and self.loop.time() >= self.counts_sharers_from
        if demanded or counts:
            sharers = self.mirror.count_sharers()
            self._divide(sharers)
            self.position = turns.FleetPosition(
                sharers - 1, sharers, self.relay_count
            )
        found = await self._ask_others_in_time(kind, version, wait_s)
        while found is None and self._may_settle(kind):
            await asyncio.sleep(peer_lists.START_PAUSE_S)
            for peer in self.upstream_relays:
                peer.skipped_until = 0.0
            found = await self._ask_others_in_time(kind, version, wait_s)
        if found is not None:
            return found
        if demanded and kind == self.sentinel:
            wait_s = min(wait_s, READER_WAIT_S)
        if self.upstream_relays and not demanded:
            await self._space_reads(kind)
        return await self._read_store(kind, version, wait_s)

    async def _space_reads(self, kind: str) -> None:
        """Waits so that changes in series don't cost a call each.

        Where all that are asked have lost the store, each daemon reads it.
        """
        due = self.read_at.get(kind, 0.0) + self.read_policy.max_peer_age_s
        await asyncio.sleep(due - self.loop.time())

    def _may_settle(self, kind: str) -> bool:
        """Tells whether others that are about to listen may be waited for."""
        now = self.loop.time()
        if not self.upstream_relays or now >= self._read_by(kind):
            return False
        return self.read_policy.is_settling(now, listed=True)

    async def _try_lost_store(
        self, kind: str, version: str
    ) -> interface.ChangesOutcome:
        """Asks the store now and then, and one of the others in between."""
        now = self.loop.time()
        fit = [
            peer for peer in self.upstream_relays if peer.skipped_until <= now
        ]
        alone = not fit or self.mirror.has_subscribers()
        if alone or self.read_policy.should_retry_store(now):
            return await self._read_store(kind, version, 0.0)
        peer = self.random.choice(fit)
        found = await self._ask(peer, kind, version, 0.0)
        if isinstance(found, peers.PeerRefusal):
            again_s = self.read_policy.next_store_retry - self.loop.time()
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
            self.min_versions[kind] = int(version) + 1
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
            self.query_outcomes["given_up"] += 1
            return None

    def _read_by(self, kind: str) -> float:
        """Returns the loop time at which the store has to be read."""
        most_age_s = self.read_policy.max_age_s
        if kind in self.delay_tolerant:
            most_age_s = DELAY_TOLERANT_MAX_AGE_S
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
        for peer in self.upstream_relays:
            now = self.loop.time()
            if peer.skipped_until > now:
                continue
            # One that was waited for in vain leaves no time to wait again.
            left_s = wait_s if now < prompt_until else 0.0
            found = await self._ask(peer, kind, version, left_s)
            if not isinstance(found, peers.PeerRefusal):
                return found
            store_lost |= found.kind is peers.RefusalKind.STORE_LOST
            silent += found.kind is peers.RefusalKind.UNRESPONSIVE
            if silent == MAX_UNRESPONSIVE_PEERS:
                break
        if store_lost and self._may_wait():
            again_s = self._read_by(kind) - self.loop.time()
            return interface.Unavailable(LOST_WITH_OTHERS, max(0.0, again_s))
        return None

    def _may_wait(self) -> bool:
        """Tells whether a lost store may be left to those that are asked."""
        if self.is_relay or self.reaches_store:
            return False
        return self.read_policy.may_rely_on_peers(self.loop.time())

    async def _ask(
        self, peer: peers.Peer, kind: str, version: str, wait_s: float
    ) -> interface.Changes | interface.Gone | peers.PeerRefusal:
        """Asks a daemon, and notes whether it can be relied on."""
        patient = kind in self.delay_tolerant
        most_s = DELAY_TOLERANT_QUERY_WAIT_S if patient else QUERY_WAIT_S
        found = await peer.changes(kind, version, min(wait_s, most_s))
        if not isinstance(found, peers.PeerRefusal):
            self.query_outcomes["answered"] += 1
            self.reaches_store = False
            peer.skipped_until = 0.0
            if isinstance(found, interface.Changes):
                self._heard(kind, peer.fresh_at, peer.address)
                self._rely_on(peer)
            return found
        self.query_outcomes["unanswered"] += 1
        now = self.loop.time()
        if found.kind is not peers.RefusalKind.STORE_LOST:
            if peer.skipped_until <= now:
                events.emit(events.PeerLost(peer.address, found.kind.value))
            peer.skipped_until = now + peers.SKIP_S
        self.current_relay = None
        return found

    def _heard(self, kind: str, fresh_at: float, through: str = STORE) -> None:
        """Notes when the store said what is known now."""
        self.mirror.freshness.record(kind, fresh_at)
        if kind == self.sentinel:
            self.confirmed_by = through
            self.unconfirmed_s = self.loop.time() - self.read_policy.fresh_at
            self.read_policy.record_confirmation(fresh_at)

    def _rely_on(self, peer: peers.Peer) -> None:
        """Notes that another daemon told changes."""
        if peer is not self.current_relay:
            self.current_relay = peer
            events.emit(events.ReadsThroughRelay(peer.address, peer.sharers))
        if not self.is_relay:
            self._divide(peer.sharers)
            self.position = peer.position(self.relay_count)

    def _divide(self, sharers: int) -> None:
        """Takes this daemon's part of what a group of daemons may use.

        Each group gets the same, and shares it among those that it counts, so
        the parts add up to one whatever a daemon believes of other groups.
        """
        self.budget_share = 1 / (self.relay_count * max(1, sharers))
