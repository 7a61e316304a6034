"""Membership of one daemon: failure detection, gossip, and peer messages.

`Peers` keeps the member table and links to a bounded number of peers,
disseminates changes, and delivers typed messages to subscribers.
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
from banyantiller.membership.links import LinkHandlers, LinkManager
from banyantiller.membership.messages import MemberEntry

log = structlog.get_logger("banyantiller.membership")

FLUSH_DELAY_S = 0.02
JITTER = 0.1
SYNC_PERIOD_S = 10.0
SYNC_SCALING_MEMBERS = 20
NAME_TAKEOVER_WINDOW_S = 10.0
DIGEST_PREFIX_BYTES = 8

MessageHandler = Callable[[str, Any], None]


class Peers:
    """The local view of the fleet and the links to peers.

    Attributes:
        table: Member entries.
        links: Established links and their traffic counts.
        last_received_at: Loop time of the last peer message, or None.
        on_link: Called with the name of a peer when a link is established.
        displaced: Whether a later incarnation has taken over the name of
            this daemon, which then keeps no links.
        bundle_version: Version of the bundle in force, sent in heartbeats.
        digest_prefix: First bytes of the digest of that bundle.
    """

    def __init__(
        self,
        settings: defaults.Settings,
        kernel: core.Kernel,
        wall: Callable[[], float],
        seed: int,
    ) -> None:
        listen = settings.peers.listen
        local = MemberEntry(
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
        self.table = table.MemberTable(local, settings.peers.suspect_s)
        handlers = LinkHandlers(
            self._on_message,
            self._on_link_up,
            self._on_link_down,
            self._on_name_conflict,
        )
        self.links = LinkManager(
            settings.peers, self.local_hello, self._find_entry, handlers
        )
        self.dialer = dialing.Dialer(
            settings.peers, self.table, self.links, self.random
        )
        self.on_link: list[Callable[[str], None]] = []
        self.message_handlers: dict[type, list[MessageHandler]] = (
            collections.defaultdict(list)
        )
        self.pending_updates: dict[str, tuple[MemberEntry, str]] = {}
        self.flush_timer: asyncio.TimerHandle | None = None
        self.last_received_at: float | None = None
        self.displaced = False
        self.started_at = 0.0
        self.next_tick_at = 0.0
        self.next_sync_at = 0.0
        self.bundle_version = 0
        self.digest_prefix = b""

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
            kernel: Runs the task and receives `MemberChanged` events.
            wall: Returns wall-clock seconds.
            seed: Seed of all random choices.

        Raises:
            ConfigError: The settings have no valid way to authenticate peers.
        """
        return cls(settings, kernel, wall, seed)

    @property
    def traffic(self) -> Traffic:
        """Traffic counts over all links since the start."""
        return self.links.traffic

    async def start(self) -> defaults.Endpoint:
        """Starts to listen and to gossip; returns the bound endpoint."""
        endpoint = await self.links.open()
        self.table.local = self.table.local._replace(port=endpoint.port)
        self.started_at = asyncio.get_running_loop().time()
        self.kernel.start("peers", self._run)
        return endpoint

    async def close(self) -> None:
        """Announces the departure, closes all links and stops listening."""
        if self.table.local.state != table.State.LEAVING:
            self.leave()
        if self.flush_timer is not None:
            self.flush_timer.cancel()
            self._flush_updates()
        await self.dialer.close()
        await self.kernel.stop(["peers"])
        await self.links.close(CLOSE_LEAVING)

    def leave(self) -> None:
        """Announces to the peers that this daemon is shutting down."""
        self._queue_update(self.table.mark_leaving())

    def subscribe(self, message_type: type, handler: MessageHandler) -> None:
        """Calls `handler(daemon, message)` for each message of a type."""
        self.message_handlers[message_type].append(handler)

    def send(self, daemon: str, message: Any) -> bool:
        """Queues a message; False if not linked or the outbox is full."""
        link = self.links.by_peer.get(daemon)
        return link is not None and link.enqueue(message)

    def broadcast(self, message: Any, exclude: str = "") -> int:
        """Queues a message for all linked peers.

        Args:
            message: A message of a declared type.
            exclude: Peer to leave out, such as the sender of the message.

        Returns:
            Number of peers for which it was queued.
        """
        data = messages.encode(message)
        links = [x for x in self.links.by_peer.values() if x.daemon != exclude]
        return sum(link.enqueue_encoded(data) for link in links)

    def linked_peers(self) -> list[str]:
        """Returns the names of the linked peers, sorted."""
        return sorted(self.links.by_peer)

    def alive_members(self, include_suspects: bool = True) -> list[MemberEntry]:
        """Returns the local entry and those of members considered alive.

        Args:
            include_suspects: Whether to include suspects, which may be slow.
        """
        states = [table.State.ALIVE]
        if include_suspects:
            states.append(table.State.SUSPECT)
        return [self.table.local, *self.table.members_in_states(states)]

    def set_hints(self, endpoints: Iterable[defaults.Endpoint]) -> None:
        """Sets endpoints at which peers may listen.

        They may come from a VM list that lags: they are dialed at intervals
        only, and a missing endpoint does not make a peer suspect.
        """
        local = self.links.endpoint
        self.dialer.hints = tuple(x for x in endpoints if x != local)

    def announce_bundle(self, version: int, digest: str) -> None:
        """Sends the bundle in force to all linked peers without delay.

        Args:
            version: Version of the bundle.
            digest: Hex SHA-256 of its manifest.
        """
        self.bundle_version = version
        self.digest_prefix = bytes.fromhex(digest)[:DIGEST_PREFIX_BYTES]
        self.table.set_bundle_version(version)
        for link in self.links.by_peer.values():
            self._send_heartbeat(link)

    def local_hello(self) -> messages.Hello:
        """Returns the `Hello` of this daemon, without a proof."""
        local = self.table.local
        return messages.Hello(
            protocol=messages.PROTOCOL_VERSION,
            oldest=messages.OLDEST_PROTOCOL_VERSION,
            deployment=self.settings.deployment,
            daemon=local.daemon,
            zone=local.zone,
            incarnation=local.incarnation,
            address=local.address,
            port=local.port,
        )

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        period = self.settings.peers.heartbeat_s
        self.next_tick_at = loop.time()
        while True:
            self._tick(loop.time())
            pause = period * self.random.uniform(1 - JITTER, 1 + JITTER)
            self.next_tick_at = loop.time() + pause
            await asyncio.sleep(pause)

    def _tick(self, now: float) -> None:
        if now - self.next_tick_at > self.settings.peers.suspect_s / 2:
            self._reset_link_timeouts(now)
        for link in list(self.links.by_peer.values()):
            self._send_heartbeat(link)
            self._abort_if_unresponsive(link, now)
        for entry in self.table.expire_entries(now):
            self._report_change(entry)
        if self.displaced:
            return
        for name in self.dialer.pop_overdue_peers(now):
            entry = self.table.mark_suspect(name, now)
            if entry is not None:
                self._report_change(entry)
        self.dialer.maintain_links(now)
        self._sync_full_table(now)

    def _reset_link_timeouts(self, now: float) -> None:
        # Missing heartbeats don't show a failure: nothing was read meanwhile.
        log.warning("membership: this process was paused.")
        for link in self.links.by_peer.values():
            link.last_received_at = now

    def _send_heartbeat(self, link: Link) -> None:
        link.heartbeat_sequence += 1
        link.enqueue(
            messages.Heartbeat(
                link.heartbeat_sequence, self.bundle_version, self.digest_prefix
            )
        )

    def _abort_if_unresponsive(self, link: Link, now: float) -> None:
        if now - link.last_received_at > self.settings.peers.suspect_s:
            log.warning("membership: a link went silent.", peer=link.daemon)
            link.abort()

    def _sync_full_table(self, now: float) -> None:
        # Gossip of changes reaches all members unless a full outbox dropped
        # some; the periodic anti-entropy exchange of the table repairs that.
        # Its period grows with the fleet to bound the bytes per second.
        if now < self.next_sync_at or not self.links.by_peer:
            return
        scale = max(1.0, len(self.table.entries) / SYNC_SCALING_MEMBERS)
        self.next_sync_at = now + SYNC_PERIOD_S * scale * self.random.uniform(
            0.5, 1.5
        )
        link = self.random.choice([*self.links.by_peer.values()])
        link.enqueue(messages.Members(self.table.all_entries()))

    def _find_entry(self, daemon: str) -> MemberEntry | None:
        return self.table.entries.get(daemon)

    def _on_link_up(self, link: Link) -> None:
        hello = link.hello
        log.info("membership: link is up.", peer=link.daemon)
        self.last_received_at = link.last_received_at
        self.dialer.record_established_link(link)
        entry = MemberEntry(
            daemon=hello.daemon,
            incarnation=hello.incarnation,
            state=table.State.ALIVE,
            heard=0,
            address=hello.address,
            port=hello.port,
            zone=hello.zone,
        )
        self._apply_entry(entry, link.daemon)
        link.enqueue(messages.Members(self.table.all_entries()))
        self._send_heartbeat(link)
        for hook in self.on_link:
            hook(link.daemon)

    def _on_link_down(self, link: Link) -> None:
        now = asyncio.get_running_loop().time()
        log.info(
            "membership: link is down.", peer=link.daemon, code=link.close_code
        )
        if link.close_code == CLOSE_NORMAL:
            return
        left = self.table.mark_left(link.daemon, now)
        if left is not None:
            self._report_change(left)
        else:
            self.dialer.record_lost_link(link, now)

    def _on_message(self, link: Link, message: Any) -> None:
        self.last_received_at = link.last_received_at
        if isinstance(message, messages.Members):
            for entry in message.entries:
                self._apply_entry(entry, link.daemon)
        elif isinstance(message, messages.Heartbeat):
            self._record_bundle_version(link.daemon, message.bundle)
        for handler in self.message_handlers.get(type(message), ()):
            try:
                handler(link.daemon, message)
            except Exception:
                log.exception("membership: a message handler failed.")

    def _record_bundle_version(self, daemon: str, version: int) -> None:
        entry = self.table.entries.get(daemon)
        if entry is not None and version > entry.bundle:
            self.table.entries[daemon] = entry._replace(bundle=version)

    def _apply_entry(self, entry: MemberEntry, origin: str) -> None:
        previous = self.table.entries.get(entry.daemon)
        now = asyncio.get_running_loop().time()
        applied = self.table.apply_entry(entry, now)
        if applied.displaced:
            dead = entry.state == table.State.DEAD
            self._on_name_conflict(entry.incarnation, dead)
        elif applied.refuted:
            self._queue_update(self.table.local)
        elif applied.changed is not None:
            self._report_change(applied.changed, origin, previous)

    def _report_change(
        self,
        entry: MemberEntry,
        origin: str = "",
        previous: MemberEntry | None = None,
    ) -> None:
        self._queue_update(entry, origin)
        if (
            previous is not None
            and previous.state == entry.state
            and previous.incarnation == entry.incarnation
        ):
            return
        state = table.STATE_NAMES[table.State(entry.state)]
        log.info(
            "membership: member changed.", daemon=entry.daemon, state=state
        )
        self.kernel.emit(
            events.MemberChanged(entry.daemon, state, entry.incarnation)
        )

    def _queue_update(self, entry: MemberEntry, origin: str = "") -> None:
        self.pending_updates[entry.daemon] = (entry, origin)
        if self.flush_timer is None:
            loop = asyncio.get_running_loop()
            self.flush_timer = loop.call_later(
                FLUSH_DELAY_S, self._flush_updates
            )

    def _flush_updates(self) -> None:
        self.flush_timer = None
        updates = list(self.pending_updates.values())
        self.pending_updates.clear()
        for link in self.links.by_peer.values():
            entries = tuple(e for e, origin in updates if origin != link.daemon)
            if entries:
                link.enqueue(messages.Members(entries))

    def _on_name_conflict(self, incarnation: int, dead: bool = False) -> None:
        now = asyncio.get_running_loop().time()
        local = self.table.local
        if dead or now - self.started_at < NAME_TAKEOVER_WINDOW_S:
            # The other incarnation is higher by its clock. It is dead, or
            # this daemon has just started, so this one is the newer.
            taken = local._replace(incarnation=incarnation)
            self._queue_update(self.table.raise_incarnation_above(taken))
            return
        if not self.displaced:
            log.error("membership: another daemon took this one's name.")
        self.displaced = True
        for link in list(self.links.by_peer.values()):
            self.links.retire(link)
