"""Chooses the peers to dial: overlay targets, lost peers, unknown endpoints."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.config import defaults
from banyantiller.config.defaults import Endpoint
from banyantiller.membership import messages, overlay, table
from banyantiller.membership.link import Link
from banyantiller.membership.links import LinkManager

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
CONTACT_PERIOD_S = 5.0
RETIRE_SURPLUS_AFTER_S = 5.0
STABLE_LINK_S = 1.0
MAX_CONCURRENT_DIALS = 8
SUSPECT_AFTER_FAILURES = 2


class LostPeer(NamedTuple):
    """A peer whose link was lost without a clean close.

    Attributes:
        endpoint: Endpoint at which it listened.
        suspect_at: Loop time at which it becomes suspect unless a link to
            it is established before.
    """

    endpoint: Endpoint
    suspect_at: float


class DialBackoff(NamedTuple):
    """Backoff after failed dials of one endpoint.

    Attributes:
        failures: Consecutive failures.
        next_dial_at: Loop time from which it may be dialed again.
    """

    failures: int
    next_dial_at: float


class Dialer:
    """Maintains the links of the overlay and redials lost peers.

    Attributes:
        hints: Endpoints at which peers may listen.
        lost_peers: Peers whose link was lost, by name.
        dial_backoffs: Backoff after failed dials, by endpoint.
        dialing: Dials in progress by endpoint.
        surplus_since: Loop time since which a link opened by this daemon
            is not among the overlay's targets, by name of the peer.
        locally_suspected: Peers that this daemon itself marked as suspect.
        closed: Whether no further dials are made.
    """

    def __init__(
        self,
        settings: defaults.PeerSettings,
        members: table.MemberTable,
        links: LinkManager,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.table = members
        self.links = links
        self.random = rng
        self.hints: tuple[Endpoint, ...] = ()
        self.lost_peers: dict[str, LostPeer] = {}
        self.dial_backoffs: dict[Endpoint, DialBackoff] = {}
        self.dialing: dict[Endpoint, asyncio.Task[None]] = {}
        self.next_contact_at = 0.0
        self.surplus_since: dict[str, float] = {}
        self.locally_suspected: set[str] = set()
        self.closed = False

    def maintain_links(self, now: float) -> None:
        """Dials missing peers and closes links that are not needed."""
        for endpoint in self._endpoints_to_dial(now):
            self._dial(endpoint, now)
        self._retire_surplus_links(now)
        self._forget_stale_entries(now)

    def record_lost_link(self, link: Link, now: float) -> None:
        """Records a lost link and schedules a redial of the peer."""
        hello = link.hello
        endpoint = Endpoint(hello.address, hello.port)
        suspect_at = now + self.settings.suspect_s / 2
        self.lost_peers[link.daemon] = LostPeer(endpoint, suspect_at)
        if now - link.opened_at < STABLE_LINK_S:
            self._record_failed_dial(endpoint)
        # The side that dialed before redials first, so that the two sides
        # don't dial each other at the same time.
        head_start = 0.0 if link.dialed else INITIAL_BACKOFF_S
        pause = head_start + INITIAL_BACKOFF_S * self.random.random()
        asyncio.get_running_loop().call_later(pause, self._redial, endpoint)

    def record_established_link(self, link: Link) -> None:
        """Records that a link to a peer is established."""
        self.lost_peers.pop(link.daemon, None)

    def pop_overdue_peers(self, now: float) -> list[str]:
        """Removes and returns the lost peers that become suspect now."""
        names = [
            name
            for name, peer in self.lost_peers.items()
            if now >= peer.suspect_at
        ]
        for name in names:
            del self.lost_peers[name]
        self.locally_suspected.update(names)
        return names

    async def close(self) -> None:
        """Cancels the dials in progress."""
        self.closed = True
        tasks = list(self.dialing.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _link_targets(self) -> list[messages.MemberEntry]:
        members = self.table.members_in_states([table.State.ALIVE])
        return overlay.choose_link_targets(
            self.table.local, members, self.settings.links
        )

    def _endpoints_to_dial(self, now: float) -> list[Endpoint]:
        linked = self.links.by_peer
        endpoints = [
            Endpoint(entry.address, entry.port)
            for entry in self._link_targets() + self._locally_suspected()
            if entry.daemon not in linked
        ]
        endpoints += [peer.endpoint for peer in self.lost_peers.values()]
        if not linked or now >= self.next_contact_at:
            pause = CONTACT_PERIOD_S * self.random.uniform(0.5, 1.5)
            self.next_contact_at = now + pause
            endpoints += self._sample_unknown_endpoints()
        return endpoints

    def _locally_suspected(self) -> list[messages.MemberEntry]:
        # Only the daemons that detected a suspect dial it: it learns of the
        # suspicion from any peer, and a whole fleet must not dial it at once.
        suspects = self.table.members_in_states([table.State.SUSPECT])
        self.locally_suspected.intersection_update(
            entry.daemon for entry in suspects
        )
        return [
            entry
            for entry in suspects
            if entry.daemon in self.locally_suspected
        ]

    def _sample_unknown_endpoints(self) -> list[Endpoint]:
        # After a partition each side has forgotten the other; seeds and the
        # VM list allow them to merge again.
        alive = self.table.members_in_states([table.State.ALIVE])
        known = {Endpoint(entry.address, entry.port) for entry in alive}
        known.add(self._local_endpoint())
        unknown = {*self.settings.seeds, *self.hints} - known
        if not unknown:
            return []
        count = 2 if self.links.by_peer else self.settings.links
        ordered = sorted(unknown)
        return self.random.sample(ordered, min(count, len(ordered)))

    def _local_endpoint(self) -> Endpoint:
        return Endpoint(self.table.local.address, self.table.local.port)

    def _redial(self, endpoint: Endpoint) -> None:
        if any(peer.endpoint == endpoint for peer in self.lost_peers.values()):
            self._dial(endpoint, asyncio.get_running_loop().time())

    def _dial(self, endpoint: Endpoint, now: float) -> None:
        if self.closed or endpoint in self.dialing:
            return
        if len(self.dialing) >= MAX_CONCURRENT_DIALS:
            return
        backoff = self.dial_backoffs.get(endpoint)
        if backoff is not None and now < backoff.next_dial_at:
            return
        self.dialing[endpoint] = asyncio.create_task(
            self._attempt_dial(endpoint)
        )

    async def _attempt_dial(self, endpoint: Endpoint) -> None:
        try:
            if not await self.links.dial(endpoint):
                self._record_failed_dial(endpoint)
        finally:
            self.dialing.pop(endpoint, None)

    def _record_failed_dial(self, endpoint: Endpoint) -> None:
        now = asyncio.get_running_loop().time()
        previous = self.dial_backoffs.get(endpoint)
        failures = previous.failures + 1 if previous else 1
        backoff_s = min(INITIAL_BACKOFF_S * 2**failures, MAX_BACKOFF_S)
        next_dial_at = now + backoff_s * self.random.uniform(0.5, 1.0)
        self.dial_backoffs[endpoint] = DialBackoff(failures, next_dial_at)
        if failures < SUSPECT_AFTER_FAILURES:
            return
        for entry in self._link_targets():
            if Endpoint(entry.address, entry.port) == endpoint:
                self.lost_peers.setdefault(
                    entry.daemon, LostPeer(endpoint, now)
                )

    def _retire_surplus_links(self, now: float) -> None:
        targets = {entry.daemon for entry in self._link_targets()}
        for link in list(self.links.by_peer.values()):
            if not link.dialed or link.daemon in targets:
                self.surplus_since.pop(link.daemon, None)
                continue
            since = self.surplus_since.setdefault(link.daemon, now)
            if now - since >= RETIRE_SURPLUS_AFTER_S:
                del self.surplus_since[link.daemon]
                self.links.retire(link)

    def _forget_stale_entries(self, now: float) -> None:
        oldest = now - MAX_BACKOFF_S
        stable = {
            Endpoint(link.hello.address, link.hello.port)
            for link in self.links.by_peer.values()
            if now - link.opened_at >= STABLE_LINK_S
        }
        for endpoint, backoff in list(self.dial_backoffs.items()):
            if backoff.next_dial_at < oldest or endpoint in stable:
                del self.dial_backoffs[endpoint]
        for name in [
            n for n in self.surplus_since if n not in self.links.by_peer
        ]:
            del self.surplus_since[name]
