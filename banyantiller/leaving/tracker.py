"""Decides which backend servers must get nothing new.

The tracker has no sockets and no clock: it takes what was learned, with the
loop's time, and returns what to do. A server gets nothing new while at least
one reason holds.

- A drain answer holds until the server itself, asked after it, says otherwise
  to this daemon or to another one.
- The VM list holds until a newer list says otherwise. A VM that came back ends
  a drain answer as well.
- Refused connections hold for a short time only, because trying again is
  harmless: a refused request was not run.

What this daemon learned first-hand is told to the others, several times
within the bundle's time for leaving as messages may be lost, and then as a
reminder, so that daemons that start later learn it too. What the VM list
said is told only while fresh lists are read, so that one daemon with an old
list can't keep a server from the whole fleet.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller.bundle import options
from banyantiller.leaving.notices import Notice
from banyantiller.leaving.types import (
    Action,
    PublishLeaving,
    PublishReturn,
    Reason,
    ResumeSending,
    ServerKey,
    StopSending,
)
from banyantiller.vmlist import tracker as vm_tracker

MAX_RETURN_PUBLICATIONS = 3
RETURN_REPEAT_S = 0.5
RETURN_MARGIN_S = 0.25
MAX_LIST_AGE_S = 10.0
REFUSALS_TO_PAUSE = 3
MIN_REFUSED_PAUSE_S = 1.0
MAX_REFUSED_PAUSE_S = 8.0


class ServerConfig(NamedTuple):
    """What the bundle says of one server.

    Attributes:
        address: IP number and port; another one is another server.
        vm: Name of its VM, or empty.
        stop_within_s: Time within which every daemon has to stop.
    """

    address: tuple[str, int]
    vm: str
    stop_within_s: float


@dataclasses.dataclass(slots=True)
class ServerEntry:
    """What is known of one server; times are the loop's.

    Attributes:
        config: What the bundle says of it.
        drain: The server said that it drains.
        vm: The VM list shows its VM as leaving or gone.
        not_draining_at: When it was asked last and said that it does not drain.
        publish_return_at: When to tell the peers of its return next.
        return_publish_count: Times that the peers were told of its return.
        refusals: Refused connections in a row.
        refused_until: End of the time in which it is not tried.
        refused_pause_s: Length of the next such time.
        reason: The reason passed on, or None while it gets requests.
    """

    config: ServerConfig
    drain: Notice = dataclasses.field(default_factory=Notice)
    vm: Notice = dataclasses.field(default_factory=Notice)
    not_draining_at: float = -math.inf
    publish_return_at: float = math.inf
    return_publish_count: int = 0
    refusals: int = 0
    refused_until: float = -math.inf
    refused_pause_s: float = MIN_REFUSED_PAUSE_S
    reason: Reason | None = None

    def current_reason(self, now: float) -> Reason | None:
        """Returns the first reason that holds."""
        if self.vm.is_direct:
            return Reason.VM_LIST
        if self.drain.is_direct:
            return Reason.DRAIN_ANSWER
        if self.vm.is_active() or self.drain.is_active():
            return Reason.PEER
        return Reason.REFUSED if now < self.refused_until else None

    def record_not_draining(
        self, probed_at: float, now: float, return_publish_count: int
    ) -> None:
        """The server, asked at a time, said that it does not drain."""
        self.drain.clear()
        self.not_draining_at = max(self.not_draining_at, probed_at)
        self.return_publish_count = return_publish_count
        self.publish_return_at = now

    def due_times(self) -> tuple[float, ...]:
        """Returns the times at which something has to be done."""
        is_refused = self.reason is Reason.REFUSED
        return (
            self.drain.publish_at,
            self.vm.publish_at,
            self.publish_return_at,
            self.drain.expires_at(),
            self.vm.expires_at(),
            self.refused_until if is_refused else math.inf,
        )


class LeavingTracker:
    """Which servers of all services must get nothing new.

    Attributes:
        entries: What is known, by server.
        vms_leaving: VMs that the newest VM list shows as leaving or gone.
        vm_list_read_at: When a newer VM list was read last.
    """

    def __init__(self) -> None:
        self.entries: dict[ServerKey, ServerEntry] = {}
        self.vms_leaving: set[str] = set()
        self.vm_list_read_at = -math.inf

    def configure(
        self, services: Iterable[options.Service], now: float
    ) -> list[Action]:
        """Takes a bundle; forgets servers that are gone or moved."""
        before = self.entries
        self.entries = {}
        for service in services:
            for server in service.servers:
                key = ServerKey(service.name, server.name)
                config = ServerConfig(
                    (server.address, server.port),
                    server.vm,
                    service.drain.stop_within_s,
                )
                self.entries[key] = self._updated_entry(
                    before.get(key), config, now
                )
        return self._update_all(now)

    def receive_vm_changes(
        self, changes: Iterable[vm_tracker.VmChange], now: float
    ) -> list[Action]:
        """Takes what a newer VM list changed, which may be nothing."""
        self.vm_list_read_at = now
        leaving_changes = (vm_tracker.Change.LEAVING, vm_tracker.Change.GONE)
        for change in changes:
            if change.change in leaving_changes:
                self.vms_leaving.add(change.vm.name)
            else:
                self.vms_leaving.discard(change.vm.name)
        for entry in self.entries.values():
            self._update_vm_notice(entry, now)
        return self._update_all(now)

    def record_draining(self, server: ServerKey, now: float) -> list[Action]:
        """The server itself said that it drains."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.drain.learn(now)
        entry.publish_return_at = math.inf
        return self._update(server, entry, now)

    def record_not_draining(
        self, server: ServerKey, probed_at: float, now: float
    ) -> list[Action]:
        """The server itself said that it does not drain.

        Args:
            server: The server.
            probed_at: When it was asked; an answer to an earlier question
                says nothing about now.
            now: Loop time.
        """
        entry = self.entries.get(server)
        if entry is None or not entry.drain.is_active():
            return []
        if probed_at <= entry.drain.since:
            return []
        entry.record_not_draining(probed_at, now, return_publish_count=0)
        return self._update(server, entry, now)

    def record_refused_connection(
        self, server: ServerKey, now: float
    ) -> list[Action]:
        """A connection to the server was refused."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.refusals += 1
        if entry.refusals >= REFUSALS_TO_PAUSE and now >= entry.refused_until:
            entry.refused_until = now + entry.refused_pause_s
            entry.refused_pause_s = min(
                entry.refused_pause_s * 2, MAX_REFUSED_PAUSE_S
            )
        return self._update(server, entry, now)

    def record_connection(self, server: ServerKey, now: float) -> list[Action]:
        """The server accepted a connection."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.refusals = 0
        entry.refused_until = -math.inf
        entry.refused_pause_s = MIN_REFUSED_PAUSE_S
        return self._update(server, entry, now)

    def receive_leaving(
        self, server: ServerKey, by_vm_list: bool, age_s: float, now: float
    ) -> list[Action]:
        """Another daemon told that a server leaves, learned `age_s` ago."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        learned_at = now - age_s
        if by_vm_list:
            entry.vm.receive(learned_at, now)
        elif learned_at > entry.not_draining_at:
            entry.drain.receive(learned_at, now)
        return self._update(server, entry, now)

    def receive_return(
        self, server: ServerKey, age_s: float, now: float
    ) -> list[Action]:
        """Another daemon told that a server drains no more."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        learned_at = now - age_s
        if not entry.drain.is_active():
            entry.not_draining_at = max(entry.not_draining_at, learned_at)
        elif learned_at > entry.drain.since + RETURN_MARGIN_S:
            entry.record_not_draining(
                learned_at,
                now,
                return_publish_count=MAX_RETURN_PUBLICATIONS - 1,
            )
        return self._update(server, entry, now)

    def tick(self, now: float) -> list[Action]:
        """Does what is due: repeats, reminders and ends of reasons."""
        for entry in self.entries.values():
            entry.drain.expire(now)
            entry.vm.expire(now)
        return self._update_all(now)

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
        due = [
            time
            for entry in self.entries.values()
            for time in entry.due_times()
            if math.isfinite(time)
        ]
        return min(due, default=None)

    def leaving_servers(self, service: str) -> frozenset[str]:
        """Returns the servers of a service that get nothing new."""
        return frozenset(
            server.name
            for server, entry in self.entries.items()
            if server.service == service and entry.reason is not None
        )

    def _updated_entry(
        self, entry: ServerEntry | None, config: ServerConfig, now: float
    ) -> ServerEntry:
        if entry is None or entry.config.address != config.address:
            entry = ServerEntry(config)
        entry.config = config
        self._update_vm_notice(entry, now)
        return entry

    def _update_vm_notice(self, entry: ServerEntry, now: float) -> None:
        if entry.config.vm in self.vms_leaving:
            entry.vm.learn(now)
        elif entry.vm.is_direct:
            # A VM that came back runs a server that was started anew.
            entry.vm.clear()
            entry.record_not_draining(now, now, return_publish_count=0)

    def _update_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for server, entry in self.entries.items():
            actions += self._update(server, entry, now)
        return actions

    def _update(
        self, server: ServerKey, entry: ServerEntry, now: float
    ) -> list[Action]:
        """Returns what follows from the present state of a server."""
        actions: list[Action] = []
        reason = entry.current_reason(now)
        if reason is not None and reason is not entry.reason:
            # A later reason is passed on too: the data path ends a drain
            # answer by itself, which it must not while the VM list holds.
            actions.append(StopSending(server, reason))
        elif reason is None and entry.reason is not None:
            actions.append(ResumeSending(server))
        entry.reason = reason
        return actions + self._publish_due(server, entry, now)

    def _publish_due(
        self, server: ServerKey, entry: ServerEntry, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        stop_within_s = entry.config.stop_within_s
        if now >= entry.drain.publish_at:
            entry.drain.record_published(now, stop_within_s)
            actions.append(
                PublishLeaving(server, False, now - entry.drain.since)
            )
        if now >= entry.vm.publish_at:
            entry.vm.record_published(now, stop_within_s)
            is_fresh = now - self.vm_list_read_at < MAX_LIST_AGE_S
            if is_fresh or not entry.vm.is_direct:
                age_s = now - entry.vm.since
                actions.append(PublishLeaving(server, True, age_s))
        if now >= entry.publish_return_at:
            entry.return_publish_count += 1
            is_last = entry.return_publish_count >= MAX_RETURN_PUBLICATIONS
            entry.publish_return_at = (
                math.inf if is_last else now + RETURN_REPEAT_S
            )
            actions.append(PublishReturn(server, now - entry.not_draining_at))
        return actions
