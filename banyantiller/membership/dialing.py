"""Whom to dial next: the overlay's targets, doubted peers, and strangers."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.config import defaults
from banyantiller.config.defaults import Endpoint
from banyantiller.membership import messages, overlay, table
from banyantiller.membership.link import Link
from banyantiller.membership.links import Links

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 10.0
CONTACT_S = 5.0
TRIM_AFTER_S = 5.0
STABLE_S = 1.0
MOST_DIALS = 8
DOUBT_AFTER_FAILURES = 2


class Doubt(NamedTuple):
    """A peer whose link was lost without a word.

    Attributes:
        endpoint: Where it listened.
        until: Loop time at which it becomes suspect unless linked again.
    """

    endpoint: Endpoint
    until: float


class Attempts(NamedTuple):
    """Failed dials of one endpoint.

    Attributes:
        failures: Failures in a row.
        next_at: Loop time of the next allowed dial.
    """

    failures: int
    next_at: float


class Dialer:
    """Keeps the links that the overlay asks for, and finds lost peers.

    Attributes:
        hints: Endpoints at which daemons may be found.
        doubts: Peers whose link was lost, by name.
        attempts: Failed dials by endpoint.
        raised: Peers that this daemon itself found to be suspect.
        closed: Whether no further dials are made.
    """

    def __init__(
        self,
        settings: defaults.PeerSettings,
        members: table.Table,
        links: Links,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.table = members
        self.links = links
        self.random = rng
        self.hints: tuple[Endpoint, ...] = ()
        self.doubts: dict[str, Doubt] = {}
        self.attempts: dict[Endpoint, Attempts] = {}
        self.dialing: dict[Endpoint, asyncio.Task[None]] = {}
        self.next_contact = 0.0
        self.surplus: dict[str, float] = {}
        self.raised: set[str] = set()
        self.closed = False

    def maintain(self, now: float) -> None:
        """Dials what is missing and closes what is no longer wanted."""
        for endpoint in self._wanted(now):
            self._dial(endpoint, now)
        self._trim(now)
        self._forget(now)

    def doubt(self, link: Link, now: float) -> None:
        """Notes a link that was lost, and dials the peer again soon."""
        hello = link.hello
        endpoint = Endpoint(hello.address, hello.port)
        until = now + self.settings.suspect_s / 2
        self.doubts[link.daemon] = Doubt(endpoint, until)
        if now - link.opened < STABLE_S:
            self._failed(endpoint)
        # The side that dialled tries first, so that the two do not cross.
        first = 0.0 if link.dialed else FIRST_BACKOFF_S
        pause = first + FIRST_BACKOFF_S * self.random.random()
        asyncio.get_running_loop().call_later(pause, self._retry, endpoint)

    def linked(self, link: Link) -> None:
        """Notes a link that is up."""
        self.doubts.pop(link.daemon, None)

    def overdue(self, now: float) -> list[str]:
        """Returns and drops the doubted peers whose time is over."""
        names = [name for name, d in self.doubts.items() if now >= d.until]
        for name in names:
            del self.doubts[name]
        self.raised.update(names)
        return names

    async def close(self) -> None:
        """Cancels the dials under way."""
        self.closed = True
        ending = list(self.dialing.values())
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    def _targets(self) -> list[messages.MemberEntry]:
        members = self.table.members([table.State.ALIVE])
        return overlay.targets(self.table.own, members, self.settings.links)

    def _wanted(self, now: float) -> list[Endpoint]:
        linked = self.links.links
        wanted = [
            Endpoint(entry.address, entry.port)
            for entry in self._targets() + self._suspects()
            if entry.daemon not in linked
        ]
        wanted += [d.endpoint for d in self.doubts.values()]
        if not linked or now >= self.next_contact:
            pause = CONTACT_S * self.random.uniform(0.5, 1.5)
            self.next_contact = now + pause
            wanted += self._contacts()
        return wanted

    def _suspects(self) -> list[messages.MemberEntry]:
        # Only those who found a suspect look for it: the suspect itself
        # hears of it from any peer, and a fleet must not dial it at once.
        suspects = self.table.members([table.State.SUSPECT])
        self.raised.intersection_update(entry.daemon for entry in suspects)
        return [entry for entry in suspects if entry.daemon in self.raised]

    def _contacts(self) -> list[Endpoint]:
        # After a split both sides know only themselves; seeds and the VM
        # list lead them to each other again.
        alive = self.table.members([table.State.ALIVE])
        known = {Endpoint(entry.address, entry.port) for entry in alive}
        known.add(self._own_endpoint())
        strangers = {*self.settings.seeds, *self.hints} - known
        if not strangers:
            return []
        most = 2 if self.links.links else self.settings.links
        ordered = sorted(strangers)
        return self.random.sample(ordered, min(most, len(ordered)))

    def _own_endpoint(self) -> Endpoint:
        return Endpoint(self.table.own.address, self.table.own.port)

    def _retry(self, endpoint: Endpoint) -> None:
        if any(d.endpoint == endpoint for d in self.doubts.values()):
            self._dial(endpoint, asyncio.get_running_loop().time())

    def _dial(self, endpoint: Endpoint, now: float) -> None:
        if self.closed or endpoint in self.dialing:
            return
        if len(self.dialing) >= MOST_DIALS:
            return
        attempts = self.attempts.get(endpoint)
        if attempts is not None and now < attempts.next_at:
            return
        self.dialing[endpoint] = asyncio.create_task(self._try(endpoint))

    async def _try(self, endpoint: Endpoint) -> None:
        try:
            if not await self.links.dial(endpoint):
                self._failed(endpoint)
        finally:
            self.dialing.pop(endpoint, None)

    def _failed(self, endpoint: Endpoint) -> None:
        now = asyncio.get_running_loop().time()
        known = self.attempts.get(endpoint)
        failures = known.failures + 1 if known else 1
        longest = min(FIRST_BACKOFF_S * 2**failures, LONGEST_BACKOFF_S)
        next_at = now + longest * self.random.uniform(0.5, 1.0)
        self.attempts[endpoint] = Attempts(failures, next_at)
        if failures < DOUBT_AFTER_FAILURES:
            return
        for entry in self._targets():
            if Endpoint(entry.address, entry.port) == endpoint:
                self.doubts.setdefault(entry.daemon, Doubt(endpoint, now))

    def _trim(self, now: float) -> None:
        wanted = {entry.daemon for entry in self._targets()}
        for link in list(self.links.links.values()):
            if not link.dialed or link.daemon in wanted:
                self.surplus.pop(link.daemon, None)
                continue
            since = self.surplus.setdefault(link.daemon, now)
            if now - since >= TRIM_AFTER_S:
                del self.surplus[link.daemon]
                self.links.retire(link)

    def _forget(self, now: float) -> None:
        old = now - LONGEST_BACKOFF_S
        stable = {
            Endpoint(link.hello.address, link.hello.port)
            for link in self.links.links.values()
            if now - link.opened >= STABLE_S
        }
        for endpoint, attempts in list(self.attempts.items()):
            if attempts.next_at < old or endpoint in stable:
                del self.attempts[endpoint]
        for name in [n for n in self.surplus if n not in self.links.links]:
            del self.surplus[name]
