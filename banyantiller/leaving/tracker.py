"""Decides which backend servers must get no new requests.

The tracker has no sockets and no clock: its inputs are facts with the loop's
time, and it returns the actions to carry out. A server gets no new requests
while at least one reason applies.

- A drain response applies until a later probe of the server itself, by this
  daemon or by a peer, shows that it doesn't drain.
- The VM list applies until a newer list says otherwise. The return of a VM
  also ends a drain response.
- Refused connections apply for a short time only, because a retry is harmless:
  a refused request was not run.

What this daemon learned directly is published to the peers, several times
within the bundle's time for leaving as messages may be lost, and then as a
reminder, so that daemons that start later learn it too. What the VM list
says is published only while fresh lists are read, so that one daemon with an
outdated list can't keep a server out of use in the whole fleet.
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
    """Configuration of one server in the bundle.

    Attributes:
        address: IP number and port; a different one is a different server.
        vm: Name of its VM, or empty.
        stop_within_s: Time within which every daemon has to stop sending.
    """

    address: tuple[str, int]
    vm: str
    stop_within_s: float


@dataclasses.dataclass(slots=True)
class ServerEntry:
    """State of one server; times are the loop's.

    Attributes:
        config: Its configuration in the bundle.
        drain: Notice that it reported that it drains.
        vm: Notice that the VM list shows its VM as leaving or removed.
        not_draining_at: Time of the latest probe that showed it not draining.
        publish_return_at: When to publish its return next.
        return_publish_count: How often its return was published.
        refusals: Refused connections in a row.
        refused_until: End of the pause after refused connections.
        refused_pause_s: Length of the next such pause.
        reason: The last reason reported, or None while it gets requests.
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
        """Returns the first reason that applies."""
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
        """Records that the server, probed at a time, doesn't drain.

        Args:
            probed_at: When it was probed.
            now: Loop time.
            return_publish_count: Publications of its return that count as done.
        """
        self.drain.clear()
        self.not_draining_at = max(self.not_draining_at, probed_at)
        self.return_publish_count = return_publish_count
        self.publish_return_at = now

    def due_times(self) -> tuple[float, ...]:
        """Returns the times at which work is due."""
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
    """Tracks which servers of all services must get no new requests.

    Attributes:
        entries: State by server.
        vms_leaving: VMs that the newest VM list shows as leaving or removed.
        vm_list_read_at: When a newer VM list was last read.
    """

    def __init__(self) -> None:
        self.entries: dict[ServerKey, ServerEntry] = {}
        self.vms_leaving: set[str] = set()
        self.vm_list_read_at = -math.inf

    def configure(
        self, services: Iterable[options.Service], now: float
    ) -> list[Action]:
        """Applies a bundle; drops servers that were removed or moved."""
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
        """Applies the changes in a newer VM list; there may be none."""
        self.vm_list_read_at = now
        leaving_changes = (vm_tracker.Change.LEAVING, vm_tracker.Change.REMOVED)
        for change in changes:
            if change.change in leaving_changes:
                self.vms_leaving.add(change.vm.name)
            else:
                self.vms_leaving.discard(change.vm.name)
        for entry in self.entries.values():
            self._update_vm_notice(entry, now)
        return self._update_all(now)

    def record_draining(self, server: ServerKey, now: float) -> list[Action]:
        """Records that the server itself reported that it drains."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.drain.learn(now)
        entry.publish_return_at = math.inf
        return self._update(server, entry, now)

    def record_not_draining(
        self, server: ServerKey, probed_at: float, now: float
    ) -> list[Action]:
        """Records that the server itself reported that it doesn't drain.

        Args:
            server: The server.
            probed_at: When it was probed; a response to a probe before the
                drain report is outdated.
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
        """Records that the server refused a connection."""
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
        """Records that the server accepted a connection."""
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
        """Processes a peer's report, `age_s` old, that a server leaves."""
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
        """Processes a peer's report that a server no longer drains."""
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
        """Does due work: publications, reminders and expiries."""
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
        """Returns the servers of a service that get no new requests."""
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
            # A VM that returned runs a restarted server.
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
        """Returns the actions that follow from a server's current state."""
        actions: list[Action] = []
        reason = entry.current_reason(now)
        if reason is not None and reason is not entry.reason:
            # A later reason is reported too: the data path ends a drain
            # response by itself, which it must not do while the VM list
            # shows the VM as leaving.
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
