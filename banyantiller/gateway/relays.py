"""The relays of the fleet: the daemons that the settings in force name as such.

While all of these are lost, their successors are the relays; see
`relay_succession`.

Relays read the store for the others, count them, grant the requests of
organisations with an allowance, and collect which requests crash servers. An
operator or the platform replaces relays while daemons run, and names others in
the settings. All parts of a daemon use this one list, and those that hold state
for each relay are told of a change.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from banyantiller.gateway import events, peers
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import store_reads


class RelayChange(NamedTuple):
    """A change of the relays.

    Attributes:
        added: Addresses that were not named before.
        removed: Addresses that are no longer named.
    """

    added: frozenset[str]
    removed: frozenset[str]


class Relays:
    """The relays in use, and those that the settings in force name.

    Attributes:
        daemon: Name of this daemon.
        own_address: IP number and port at which this daemon takes queries of
            peers; empty for none.
        max_peer_age_s: Age up to which the state of a relay is relied on, in
            seconds.
        named: IP numbers and ports of the relays that the settings name, in
            order.
        addresses: The same of the relays in use.
        successors: The same of daemons that become relays if those in use are
            lost; the first relay chooses them.
        peers: The relays without this daemon, in the order in which it queries
            them. The order is random, so that each relay serves as many.
        on_change: Called after each change.
    """

    def __init__(
        self,
        daemon: str,
        own_address: str,
        seeds: Iterable[str],
        max_peer_age_s: float,
        rng: random.Random,
    ) -> None:
        self.daemon = daemon
        self.own_address = own_address
        self.max_peer_age_s = max_peer_age_s
        self.random = rng
        self.named: tuple[str, ...] = tuple(sorted(set(seeds)))
        self.addresses = self.named
        self.successors: tuple[str, ...] = ()
        self.peers: list[peers.Peer] = []
        self.on_change: list[Callable[[RelayChange], None]] = []
        self._update_peers()

    @classmethod
    def from_settings(
        cls, settings: options.Settings, rng: random.Random
    ) -> "Relays":
        """Returns the relays that settings name."""
        return cls(
            settings.daemon,
            settings.control,
            settings.seeds,
            store_reads.max_peer_age_s(min(settings.apply_s, settings.leave_s)),
            rng,
        )

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay."""
        return self.own_address in self.addresses

    @property
    def count(self) -> int:
        """Number of relays, this daemon included if it is one."""
        return len(self.addresses)

    def count_skipped(self, now: float) -> int:
        """Counts the relays that are not queried, as they did not respond."""
        return sum(peer.skipped_until > now for peer in self.peers)

    def upstream_peers(self) -> list[peers.Peer]:
        """Returns the relays to query for changes of the store.

        Of a daemon that is a relay, those before it in the order of addresses.
        All relays use the same order, so that no two wait for each other.
        """
        if not self.is_relay:
            return self.peers
        earlier = [one for one in self.peers if one.address < self.own_address]
        return sorted(earlier, key=lambda peer: peer.address)

    def update(self, seeds: Iterable[str]) -> None:
        """Replaces the relays by those that reloaded settings name.

        Settings that name none leave the relays as they are: without relays,
        daemons would no longer know of each other.
        """
        named = tuple(sorted(set(seeds)))
        if named == self.named:
            return
        if not named:
            events.emit(events.RelaysMissing(list(self.named)))
            return
        self.named = named
        self._use(named, "settings")

    @property
    def uses_successors(self) -> bool:
        """Whether relays are in use that the settings don't name."""
        return self.addresses != self.named

    def set_successors(self, addresses: Iterable[str]) -> None:
        """Sets the successors, as far as they are valid addresses.

        Args:
            addresses: Their IP numbers and ports.
        """
        successors = tuple(addresses)
        if successors == self.successors:
            return
        try:
            for address in successors:
                options.parse_endpoint(address)
        except ValueError:
            return
        self.successors = successors

    def use_successors(self) -> None:
        """Replaces the relays in use, which are lost, by their successors."""
        self._use(self.successors, "lost")

    def use_named(self) -> None:
        """Uses the relays that the settings name, as one of them responds."""
        self._use(self.named, "returned")

    def _use(self, addresses: tuple[str, ...], reason: str) -> None:
        before = self.addresses
        if addresses == before:
            return
        change = RelayChange(
            frozenset(addresses).difference(before),
            frozenset(before).difference(addresses),
        )
        self.addresses = addresses
        removed = [one for one in self.peers if one.address in change.removed]
        self._update_peers()
        events.emit(
            events.RelaysChanged(
                list(addresses), list(before), self.is_relay, reason
            )
        )
        for listener in self.on_change:
            listener(change)
        for peer in removed:
            peer.client.begin_close()

    async def close(self) -> None:
        """Closes all connections."""
        for peer in self.peers:
            await peer.client.close()

    def _update_peers(self) -> None:
        """Replaces peers; those that stay keep what they know.

        A new relay takes the place of a removed one in the order of queries, so
        that each relay goes on to serve as many daemons.
        """
        known = {peer.address for peer in self.peers}
        added = [
            self._peer_at(address)
            for address in self.addresses
            if address not in known and address != self.own_address
        ]
        self.random.shuffle(added)
        kept = []
        for peer in self.peers:
            if peer.address in self.addresses:
                kept.append(peer)
            elif added:
                kept.append(added.pop())
        if kept:
            for peer in added:
                kept.insert(self.random.randint(0, len(kept)), peer)
        self.peers = kept or added
        for peer in self.peers:
            peer.shares = not self.is_relay

    def _peer_at(self, address: str) -> peers.Peer:
        endpoint = options.parse_endpoint(address)
        return peers.Peer(endpoint, self.daemon, False, self.max_peer_age_s)
