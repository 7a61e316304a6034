"""Reads the store through relays where their data is fresh enough."""

import asyncio
import collections
import random

from banyantiller.gateway import events, mirror, peer_lists, peers, relays
from banyantiller.gateway.decisions import store_reads, turns
from banyantiller.store import interface

# Maximum wait of a relay's call for the sentinel while it has subscribers: with
# the timeout of a call, 0.8 s, a lost store is noticed within 1.4 s.
RELAY_READ_WAIT_S = 0.6
# Maximum wait of one query to a relay; with its margin a frozen relay is
# noticed within 0.9 s.
QUERY_WAIT_S = 0.5
# The same for a delay-tolerant kind: the cached state is confirmed by fewer
# queries, and a frozen relay is noticed within 1.9 s.
DELAY_TOLERANT_QUERY_WAIT_S = 1.5
# Unresponsive relays before the store is read: a second one, queried without a
# wait, takes 0.4 s, and a change is learned within 1.4 s.
MAX_UNRESPONSIVE_PEERS = 2
# A relay that is queried later than this, after others failed to respond, is
# not asked to wait for a change.
LONG_POLL_WINDOW_S = 0.05
# Time for a query to relays where the store is already due to be read: a
# healthy relay responds within it, which saves the store a call of each daemon
# that was frozen itself.
MIN_QUERY_S = 0.1
# Age of the cached state at which the store is read for a delay-tolerant
# kind.
DELAY_TOLERANT_MAX_AGE_S = 3.5

RELAYS_LOST_STORE = "relays get no response from the store"
STORE_UNREACHABLE = "no daemon reaches the store"
# Value of `confirmed_by` for the store itself.
STORE = "store"


class SharedReader:
    """Reads the store through relays where their data is fresh enough.

    If no relay can serve a read, the store is read at once. If a relay reports
    that the store is lost, the store is read when the cached state gets too
    old. See `store.interface.ObjectReader`.

    Attributes:
        store: The store.
        mirror: Serves the state of the store to subscribers.
        sentinel: Kind whose calls show whether the store responds.
        delay_tolerant: Kinds whose changes may be learned later than others.
        fleet_relays: The relays in use.
        upstream_relays: Relays to query for changes; of a daemon that is a
            relay itself, those before it in the order of their addresses.
        read_policy: How long relays are relied on.
        min_versions: Minimum version of a list from a relay, by kind.
        peer_lists: Queries relays for lists.
        counts_sharers_from: Loop time from which a relay knows its sharers.
        current_relay: Relay that sent changes last, or None.
        read_at: Loop time of the last read of the store, by kind.
        reaches_store: Whether the store responded to this daemon since a relay
            last sent changes. The relays may be the only ones that lost it.
        confirmed_by: Source of the last confirmation of the sentinel: `store`,
            or the address of a relay.
        unconfirmed_s: Age of the previous confirmation of the sentinel when the
            latest one came, in seconds.
        position: Position of this daemon among those that take turns, or None
            while the others can't be counted.
        budget_share: This daemon's share of the fleet's budgets, or None while
            the others can't be counted.
        calls: Calls to the store by verb.
        query_outcomes: Queries to relays by outcome.
    """

    def __init__(
        self,
        store: interface.ObjectReader,
        local_mirror: mirror.Mirror,
        sentinel: str,
        fleet_relays: relays.Relays,
        rng: random.Random,
        read_policy: store_reads.StoreReadPolicy,
        delay_tolerant: frozenset[str] = frozenset(),
    ) -> None:
        self.store = store
        self.delay_tolerant = delay_tolerant
        self.mirror = local_mirror
        self.sentinel = sentinel
        self.random = rng
        self.fleet_relays = fleet_relays
        fleet_relays.on_change.append(self._change_relays)
        self.upstream_relays = self.fleet_relays.upstream_peers()
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
            fleet_relays, read_policy, self.min_versions
        )
        self.calls = store.calls
        self.query_outcomes: collections.Counter[str] = collections.Counter()
        self.loop = asyncio.get_running_loop()
        self.counts_sharers_from = (
            self.loop.time() + mirror.SUBSCRIBER_TIMEOUT_S
        )

    async def list(
        self, kind: str, labels: dict[str, str] | None = None
    ) -> interface.ListOutcome:
        """Reads all objects of a kind, from a relay if its list is fresh.

        A daemon that starts while the store is down takes an older list from a
        relay, and serves within a second.
        """
        peer_list = await self.peer_lists.fetch(kind)
        if peer_list is not None and self.peer_lists.is_fresh(peer_list):
            self._record_confirmation(
                kind, peer_list.fresh_at, peer_list.address
            )
            return self._record_list(kind, peer_list.listed)
        sent_at = self.loop.time()
        outcome = await self.store.list(kind, labels)
        if isinstance(outcome, interface.Listed):
            self._record_confirmation(kind, sent_at)
            return self._record_list(kind, outcome)
        self.read_policy.end_settling()
        peer_list = peer_list or await self.peer_lists.fetch(kind)
        if peer_list is None:
            return outcome
        self.mirror.freshness.record(kind, peer_list.fresh_at)
        return self._record_list(kind, peer_list.listed)

    async def changes(
        self, kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        """Reads changes from a relay, or from the store."""
        if wait_s <= 0:
            outcome = await self._retry_lost_store(kind, version)
        else:
            outcome = await self._read_changes(kind, version, wait_s)
        if isinstance(outcome, interface.Changes):
            self.mirror.record_changes(kind, outcome)
            self.min_versions[kind] = self.mirror.histories[kind].version
        if isinstance(outcome, interface.Gone):
            # An older list of a relay would lead to `Gone` again.
            self.min_versions[kind] = max(
                int(version) + 1, int(outcome.min_version or 0)
            )
        return outcome

    def reads_store(self) -> bool:
        """Returns whether this daemon reads the store itself."""
        started = self.loop.time() >= self.counts_sharers_from
        return started and self.current_relay is None

    def count_daemons(self) -> int | None:
        """Returns the number of daemons, or None if no relay told it.

        The number is that of the last reply; the groups of other relays are
        taken to be as large as the one that this daemon belongs to.
        """
        if self.position is None:
            return None
        return self.position.count * self.position.relay_count

    async def close(self) -> None:
        """Closes all connections."""
        await self.store.close()
        await self.fleet_relays.close()

    def skip_start_pause(self) -> None:
        """Stops waiting for relays at the start, as a caller waits."""
        self.peer_lists.start_pause_skipped.set()

    def _record_list(
        self, object_kind: str, outcome: interface.Listed
    ) -> interface.ListOutcome:
        self.mirror.record_list(object_kind, outcome)
        self.min_versions[object_kind] = int(outcome.version)
        return outcome

    async def _read_changes(
        self, object_kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        has_subscribers = self.mirror.has_subscribers()
        counts_sharers = (
            self.fleet_relays.is_relay
            and self.loop.time() >= self.counts_sharers_from
        )
        if has_subscribers or counts_sharers:
            sharers = self.mirror.count_sharers()
            self._update_budget_share(sharers)
            self.position = turns.FleetPosition(
                sharers - 1, sharers, self._group_count()
            )
        outcome = await self._query_relays_in_time(object_kind, version, wait_s)
        while outcome is None and self._may_await_relays(object_kind):
            await asyncio.sleep(peer_lists.START_PAUSE_S)
            for peer in self.upstream_relays:
                peer.skipped_until = 0.0
            outcome = await self._query_relays_in_time(
                object_kind, version, wait_s
            )
        if outcome is not None:
            return outcome
        if has_subscribers and object_kind == self.sentinel:
            wait_s = min(wait_s, RELAY_READ_WAIT_S)
        if self.upstream_relays and not has_subscribers:
            await self._space_reads(object_kind)
        return await self._read_store(object_kind, version, wait_s)

    async def _space_reads(self, object_kind: str) -> None:
        """Delays a read so that a series of changes takes fewer calls.

        Where all relays have lost the store, each daemon reads it.
        """
        due = (
            self.read_at.get(object_kind, 0.0) + self.read_policy.max_peer_age_s
        )
        await asyncio.sleep(due - self.loop.time())

    def _may_await_relays(self, object_kind: str) -> bool:
        """Returns whether to wait for relays that may be starting."""
        now = self.loop.time()
        if not self.upstream_relays or now >= self._store_read_due(object_kind):
            return False
        return self.read_policy.is_settling(now, listed=True)

    async def _retry_lost_store(
        self, object_kind: str, version: str
    ) -> interface.ChangesOutcome:
        """Calls a lost store at intervals, and a random relay in between."""
        now = self.loop.time()
        available = [
            peer for peer in self.upstream_relays if peer.skipped_until <= now
        ]
        must_read_store = not available or self.mirror.has_subscribers()
        if must_read_store or self.read_policy.should_retry_store(now):
            return await self._read_store(object_kind, version, 0.0)
        peer = self.random.choice(available)
        outcome = await self._query(peer, object_kind, version, 0.0)
        if isinstance(outcome, peers.PeerRefusal):
            retry_s = self.read_policy.next_store_retry - self.loop.time()
            return interface.Unavailable(STORE_UNREACHABLE, max(0.0, retry_s))
        return outcome

    async def _read_store(
        self, object_kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome:
        sent_at = self.loop.time()
        self.read_at[object_kind] = sent_at
        outcome = await self.store.changes(object_kind, version, wait_s)
        if isinstance(outcome, interface.Changes):
            self._record_confirmation(
                object_kind,
                self._earliest_response_time(outcome, sent_at, wait_s),
            )
        self.reaches_store = not isinstance(outcome, interface.Unavailable)
        return outcome

    def _earliest_response_time(
        self, outcome: interface.Changes, sent_at: float, wait_s: float
    ) -> float:
        """Returns the earliest loop time at which the store may have responded.

        The time of receipt is no measure: a response may have been delayed, or
        have waited in the socket of a process that was frozen. Without a change
        the store holds the call for the whole wait.
        """
        waited_until = sent_at + wait_s
        if outcome.events or self.loop.time() < waited_until:
            return sent_at
        return waited_until

    async def _query_relays_in_time(
        self, object_kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome | None:
        """Queries relays until the store has to be read."""
        now = self.loop.time()
        remaining_s = self._store_read_due(object_kind) - now
        until = now + max(remaining_s, MIN_QUERY_S)
        # Leaves time for the response to arrive after the wait.
        wait_s = max(0.0, min(wait_s, remaining_s - MIN_QUERY_S))
        try:
            async with asyncio.timeout_at(until):
                return await self._query_relays(object_kind, version, wait_s)
        except TimeoutError:
            self.query_outcomes["given_up"] += 1
            return None

    def _store_read_due(self, object_kind: str) -> float:
        """Returns the loop time at which the store has to be read."""
        max_age_s = self.read_policy.max_age_s
        if object_kind in self.delay_tolerant:
            max_age_s = DELAY_TOLERANT_MAX_AGE_S
        return (
            self.mirror.freshness.confirmation_times.get(object_kind, 0.0)
            + max_age_s
        )

    async def _query_relays(
        self, object_kind: str, version: str, wait_s: float
    ) -> interface.ChangesOutcome | None:
        """Queries one relay after the other.

        Returns:
            The outcome of the first that served changes; `Unavailable` if the
            store needn't be read yet either; None if it has to be read.
        """
        store_lost = False
        unresponsive_count = 0
        long_poll_until = self.loop.time() + LONG_POLL_WINDOW_S
        for peer in self.upstream_relays:
            now = self.loop.time()
            if peer.skipped_until > now:
                continue
            # No time is left for a second wait once one was in vain.
            remaining_s = wait_s if now < long_poll_until else 0.0
            outcome = await self._query(peer, object_kind, version, remaining_s)
            if not isinstance(outcome, peers.PeerRefusal):
                return outcome
            store_lost |= outcome.refusal_kind is peers.RefusalKind.STORE_LOST
            unresponsive_count += (
                outcome.refusal_kind is peers.RefusalKind.UNRESPONSIVE
            )
            if unresponsive_count == MAX_UNRESPONSIVE_PEERS:
                break
        if store_lost and self._may_rely_on_relays():
            retry_s = self._store_read_due(object_kind) - self.loop.time()
            return interface.Unavailable(RELAYS_LOST_STORE, max(0.0, retry_s))
        return None

    def _may_rely_on_relays(self) -> bool:
        """Returns whether a lost store may be left to the relays."""
        if self.fleet_relays.is_relay or self.reaches_store:
            return False
        return self.read_policy.may_rely_on_peers(self.loop.time())

    async def _query(
        self, peer: peers.Peer, object_kind: str, version: str, wait_s: float
    ) -> interface.Changes | interface.Gone | peers.PeerRefusal:
        """Queries a relay, and records whether it can be relied on."""
        tolerant = object_kind in self.delay_tolerant
        max_wait_s = DELAY_TOLERANT_QUERY_WAIT_S if tolerant else QUERY_WAIT_S
        outcome = await peer.changes(
            object_kind, version, min(wait_s, max_wait_s)
        )
        if not isinstance(outcome, peers.PeerRefusal):
            self.query_outcomes["answered"] += 1
            self.reaches_store = False
            peer.skipped_until = 0.0
            if isinstance(outcome, interface.Changes):
                self._record_confirmation(
                    object_kind, peer.fresh_at, peer.address
                )
                self._record_relay(peer)
            return outcome
        self.query_outcomes["unanswered"] += 1
        now = self.loop.time()
        if outcome.refusal_kind is not peers.RefusalKind.STORE_LOST:
            if peer.skipped_until <= now:
                events.emit(
                    events.PeerLost(peer.address, outcome.refusal_kind.value)
                )
            peer.skipped_until = now + peers.SKIP_S
        self.current_relay = None
        return outcome

    def _record_confirmation(
        self, object_kind: str, fresh_at: float, source: str = STORE
    ) -> None:
        """Records when the store confirmed the cached state."""
        self.mirror.freshness.record(object_kind, fresh_at)
        if object_kind == self.sentinel:
            self.confirmed_by = source
            self.unconfirmed_s = self.loop.time() - self.read_policy.fresh_at
            self.read_policy.record_confirmation(fresh_at)

    def _record_relay(self, peer: peers.Peer) -> None:
        """Records that a relay sent changes."""
        if peer is not self.current_relay:
            self.current_relay = peer
            events.emit(events.ReadsThroughRelay(peer.address, peer.sharers))
        if not self.fleet_relays.is_relay:
            self._update_budget_share(peer.sharers)
            self.position = peer.position(self._group_count())

    def _update_budget_share(self, sharers: int) -> None:
        """Updates this daemon's share of the fleet's budgets.

        Each relay's group gets the same part and divides it among the daemons
        that the relay counts, so the shares add up to one whatever a daemon
        knows of other groups.
        """
        self.budget_share = 1 / (self._group_count() * max(1, sharers))

    def _group_count(self) -> int:
        """Returns the number of groups of the fleet, one for each relay."""
        return max(1, self.fleet_relays.count)

    def _change_relays(self, change: relays.RelayChange) -> None:
        """Queries the relays that the settings name from now on.

        The position and the budget share stay until a relay tells others.
        """
        if self.fleet_relays.own_address in change.added:
            self.counts_sharers_from = (
                self.loop.time() + mirror.SUBSCRIBER_TIMEOUT_S
            )
        if self.current_relay not in self.fleet_relays.peers:
            self.current_relay = None
        self.upstream_relays = self.fleet_relays.upstream_peers()
