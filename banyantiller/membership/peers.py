"""Membership between daemons: who is alive, and messages to and from them.

`Peers` keeps the member table, links to a bounded number of peers, passes
on what changes, and delivers typed messages to subscribers.
"""

import asyncio
import collections
import random
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from banyantiller.config import defaults
from banyantiller.kernel import core, events
from banyantiller.membership import dialing, messages, table
from banyantiller.membership.link import (
    CLOSE_LEAVING,
    CLOSE_NORMAL,
    Link,
    Traffic,
)
from banyantiller.membership.links import LinkHandlers, Links
from banyantiller.membership.messages import MemberEntry

log = structlog.get_logger("banyantiller.membership")

FLUSH_S = 0.02
JITTER = 0.1
SYNC_S = 10.0
SYNC_MEMBERS = 20
NEWCOMER_S = 10.0
DIGEST_BYTES = 8

MessageHandler = Callable[[str, Any], None]


class Peers:
    """The other daemons as this one sees them.

    Attributes:
        table: Member entries.
        links: Established links and their traffic counts.
        last_heard: Loop time of the last message from any peer, or None.
        on_link: Called with the name of each peer that was linked.
        displaced: Whether a later run took this daemon's name; it then
            keeps no links.
        bundle: Version of the bundle in force here, sent with heartbeats.
        digest: First bytes of that bundle's digest.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        kernel: core.Kernel,
        wall: Callable[[], float],
        seed: int,
    ) -> None:
        listen = settings.peers.listen
        own = MemberEntry(
            daemon=settings.daemon,
            incarnation=int(wall() * 1000),
            state=table.State.ALIVE,
            heard=0,
            address=listen.address,
            port=listen.port,
            zone=settings.zone,
        )
        self.settings = settings
        self.kernel = kernel
        self.random = random.Random(f"{seed} {settings.daemon}")
        self.table = table.Table(own, settings.peers.suspect_s)
        handlers = LinkHandlers(
            self._receive, self._came_up, self._went_down, self._name_taken
        )
        self.links = Links(settings.peers, self.hello, self._known, handlers)
        self.dialer = dialing.Dialer(
            settings.peers, self.table, self.links, self.random
        )
        self.on_link: list[Callable[[str], None]] = []
        self.handlers: dict[type, list[MessageHandler]] = (
            collections.defaultdict(list)
        )
        self.unsent: dict[str, tuple[MemberEntry, str]] = {}
        self.flush: asyncio.TimerHandle | None = None
        self.last_heard: float | None = None
        self.displaced = False
        self.started = 0.0
        self.next_tick = 0.0
        self.next_sync = 0.0
        self.bundle = 0
        self.digest = b""

    @classmethod
    def from_settings(
        cls,
        settings: defaults.Settings,
        kernel: core.Kernel,
        wall: Callable[[], float],
        seed: int,
    ) -> "Peers":
        """Builds the membership of one daemon.

        Args:
            settings: Settings of the daemon.
            kernel: Runs the task and gets `MemberChanged` events.
            wall: Returns wall-clock seconds.
            seed: Seed of all random choices.

        Raises:
            ConfigError: Peers could not be authenticated.
        """
        return cls(settings, kernel, wall, seed)

    @property
    def traffic(self) -> Traffic:
        """Bytes and messages over all links so far."""
        return self.links.traffic

    async def start(self) -> defaults.Endpoint:
        """Listens and starts the task; returns where it listens."""
        endpoint = await self.links.open()
        self.table.own = self.table.own._replace(port=endpoint.port)
        self.started = asyncio.get_running_loop().time()
        self.kernel.start("peers", self._run)
        return endpoint

    async def close(self) -> None:
        """Leaves, closes all links and stops listening."""
        if self.table.own.state != table.State.LEAVING:
            self.leave()
        if self.flush is not None:
            self.flush.cancel()
            self._send_unsent()
        await self.dialer.close()
        await self.kernel.stop(["peers"])
        await self.links.close(CLOSE_LEAVING)

    def leave(self) -> None:
        """Tells the peers that this daemon is ending."""
        self._spread(self.table.leave())

    def subscribe(self, message_type: type, handler: MessageHandler) -> None:
        """Calls `handler(daemon, message)` for each message of a type."""
        self.handlers[message_type].append(handler)

    def send(self, daemon: str, message: Any) -> bool:
        """Sends to one linked peer; False if not linked or its queue full."""
        link = self.links.links.get(daemon)
        return link is not None and link.post(message)

    def broadcast(self, message: Any, but: str = "") -> int:
        """Sends to all linked peers.

        Args:
            message: A message of a declared type.
            but: Peer to leave out, such as the one it came from.

        Returns:
            Number of peers it was queued for.
        """
        data = messages.encode(message)
        links = [x for x in self.links.links.values() if x.daemon != but]
        return sum(link.post_bytes(data) for link in links)

    def linked(self) -> list[str]:
        """Returns the names of the linked peers, sorted."""
        return sorted(self.links.links)

    def alive(self, suspects: bool = True) -> list[MemberEntry]:
        """Returns this daemon's entry and the members believed to be alive.

        Args:
            suspects: Whether to count suspects, who may be only slow.
        """
        states = [table.State.ALIVE]
        if suspects:
            states.append(table.State.SUSPECT)
        return [self.table.own, *self.table.members(states)]

    def hint(self, endpoints: Iterable[defaults.Endpoint]) -> None:
        """Names endpoints at which daemons may be found.

        Meant for a VM list that lags: the endpoints are only tried now and
        then, and nothing is concluded from one that is missing.
        """
        own = self.links.endpoint
        self.dialer.hints = tuple(x for x in endpoints if x != own)

    def announce(self, version: int, digest: str) -> None:
        """Tells all linked peers at once which bundle is in force here.

        Args:
            version: Version of the bundle.
            digest: Hex SHA-256 of its manifest.
        """
        self.bundle = version
        self.digest = bytes.fromhex(digest)[:DIGEST_BYTES]
        self.table.set_bundle(version)
        for link in self.links.links.values():
            self._beat(link)

    def hello(self) -> messages.Hello:
        """Returns what this daemon says of itself on a new link."""
        own = self.table.own
        return messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            oldest=messages.OLDEST_PROTOCOL_VERSION,
            deployment=self.settings.deployment,
            daemon=own.daemon,
            zone=own.zone,
            incarnation=own.incarnation,
            address=own.address,
            port=own.port,
        )

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        period = self.settings.peers.heartbeat_s
        self.next_tick = loop.time()
        while True:
            self._tick(loop.time())
            pause = period * self.random.uniform(1 - JITTER, 1 + JITTER)
            self.next_tick = loop.time() + pause
            await asyncio.sleep(pause)

    def _tick(self, now: float) -> None:
        if now - self.next_tick > self.settings.peers.suspect_s / 2:
            self._forgive(now)
        for link in list(self.links.links.values()):
            self._beat(link)
            self._close_if_silent(link, now)
        for entry in self.table.expire(now):
            self._changed(entry)
        if self.displaced:
            return
        for name in self.dialer.overdue(now):
            entry = self.table.suspect(name, now)
            if entry is not None:
                self._changed(entry)
        self.dialer.maintain(now)
        self._sync(now)

    def _forgive(self, now: float) -> None:
        # This process was paused, so silence says nothing about peers.
        log.warning("membership: this process was paused.")
        for link in self.links.links.values():
            link.last_heard = now

    def _beat(self, link: Link) -> None:
        link.sequence += 1
        link.post(messages.Heartbeat(link.sequence, self.bundle, self.digest))

    def _close_if_silent(self, link: Link, now: float) -> None:
        if now - link.last_heard > self.settings.peers.suspect_s:
            log.warning("membership: a link went silent.", peer=link.daemon)
            link.abort()

    def _sync(self, now: float) -> None:
        # Passing on changes reaches everyone unless a full queue dropped
        # some; sending the whole table now and then mends that. The period
        # grows with the fleet, so the bytes a second do not.
        if now < self.next_sync or not self.links.links:
            return
        scale = max(1.0, len(self.table.entries) / SYNC_MEMBERS)
        self.next_sync = now + SYNC_S * scale * self.random.uniform(0.5, 1.5)
        link = self.random.choice([*self.links.links.values()])
        link.post(messages.Members(self.table.all_entries()))

    def _known(self, daemon: str) -> MemberEntry | None:
        return self.table.entries.get(daemon)

    def _came_up(self, link: Link) -> None:
        hello = link.hello
        log.info("membership: link is up.", peer=link.daemon)
        self.last_heard = link.last_heard
        self.dialer.linked(link)
        entry = MemberEntry(
            daemon=hello.daemon,
            incarnation=hello.incarnation,
            state=table.State.ALIVE,
            heard=0,
            address=hello.address,
            port=hello.port,
            zone=hello.zone,
        )
        self._apply(entry, link.daemon)
        link.post(messages.Members(self.table.all_entries()))
        self._beat(link)
        for hook in self.on_link:
            hook(link.daemon)

    def _went_down(self, link: Link) -> None:
        now = asyncio.get_running_loop().time()
        log.info("membership: link is down.", peer=link.daemon, code=link.code)
        if link.code == CLOSE_NORMAL:
            return
        ended = self.table.end(link.daemon, now)
        if ended is not None:
            self._changed(ended)
        else:
            self.dialer.doubt(link, now)

    def _receive(self, link: Link, message: Any) -> None:
        self.last_heard = link.last_heard
        if isinstance(message, messages.Members):
            for entry in message.entries:
                self._apply(entry, link.daemon)
        elif isinstance(message, messages.Heartbeat):
            self._note_bundle(link.daemon, message.bundle)
        for handler in self.handlers.get(type(message), ()):
            try:
                handler(link.daemon, message)
            except Exception:
                log.exception("membership: a message handler failed.")

    def _note_bundle(self, daemon: str, version: int) -> None:
        entry = self.table.entries.get(daemon)
        if entry is not None and version > entry.bundle:
            self.table.entries[daemon] = entry._replace(bundle=version)

    def _apply(self, entry: MemberEntry, origin: str) -> None:
        known = self.table.entries.get(entry.daemon)
        now = asyncio.get_running_loop().time()
        applied = self.table.apply(entry, now)
        if applied.displaced:
            has_ended = entry.state == table.State.DEAD
            self._name_taken(entry.incarnation, has_ended)
        elif applied.refuted:
            self._spread(self.table.own)
        elif applied.changed is not None:
            self._changed(applied.changed, origin, known)

    def _changed(
        self,
        entry: MemberEntry,
        origin: str = "",
        known: MemberEntry | None = None,
    ) -> None:
        self._spread(entry, origin)
        if (
            known is not None
            and known.state == entry.state
            and known.incarnation == entry.incarnation
        ):
            return
        state = table.STATE_NAMES[table.State(entry.state)]
        log.info(
            "membership: member changed.", daemon=entry.daemon, state=state
        )
        self.kernel.emit(
            events.MemberChanged(entry.daemon, state, entry.incarnation)
        )

    def _spread(self, entry: MemberEntry, origin: str = "") -> None:
        self.unsent[entry.daemon] = (entry, origin)
        if self.flush is None:
            loop = asyncio.get_running_loop()
            self.flush = loop.call_later(FLUSH_S, self._send_unsent)

    def _send_unsent(self) -> None:
        self.flush = None
        unsent = list(self.unsent.values())
        self.unsent.clear()
        for link in self.links.links.values():
            entries = tuple(e for e, origin in unsent if origin != link.daemon)
            if entries:
                link.post(messages.Members(entries))

    def _name_taken(self, incarnation: int, has_ended: bool = False) -> None:
        now = asyncio.get_running_loop().time()
        own = self.table.own
        if has_ended or now - self.started < NEWCOMER_S:
            # Another run of this name has a later clock, but it is dead or
            # this one has only just started, so this one is the newer.
            taken = own._replace(incarnation=incarnation)
            self._spread(self.table.take_name(taken))
            return
        if not self.displaced:
            log.error("membership: another daemon took this one's name.")
        self.displaced = True
        for link in list(self.links.links.values()):
            self.links.retire(link)
