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
    Back,
    Leave,
    Reason,
    Server,
    TellLeaving,
    TellReturn,
)
from banyantiller.vmlist import tracker as vm_tracker

RETURN_REPEATS = 3
RETURN_REPEAT_S = 0.5
SLACK_S = 0.25
FRESH_LIST_S = 10.0
REFUSALS = 3
FIRST_REFUSED_S = 1.0
LONGEST_REFUSED_S = 8.0


class Member(NamedTuple):
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
class Entry:
    """What is known of one server; times are the loop's.

    Attributes:
        member: What the bundle says of it.
        drain: The server said that it drains.
        vm: The VM list shows its VM as leaving or gone.
        open_at: When it was asked last and said that it does not drain.
        return_at: When to tell the peers of its return next.
        returns: Times that the peers were told of its return.
        refusals: Refused connections in a row.
        refused_until: End of the time in which it is not tried.
        refused_s: Length of the next such time.
        reason: The reason passed on, or None while it gets requests.
    """

    member: Member
    drain: Notice = dataclasses.field(default_factory=Notice)
    vm: Notice = dataclasses.field(default_factory=Notice)
    open_at: float = -math.inf
    return_at: float = math.inf
    returns: int = 0
    refusals: int = 0
    refused_until: float = -math.inf
    refused_s: float = FIRST_REFUSED_S
    reason: Reason | None = None

    def present_reason(self, now: float) -> Reason | None:
        """Returns the first reason that holds."""
        if self.vm.is_first_hand:
            return Reason.VM_LIST
        if self.drain.is_first_hand:
            return Reason.DRAIN_ANSWER
        if self.vm.holds() or self.drain.holds():
            return Reason.PEER
        return Reason.REFUSED if now < self.refused_until else None

    def opened(self, asked_at: float, now: float, returns: int) -> None:
        """The server, asked at a time, said that it does not drain."""
        self.drain.end()
        self.open_at = max(self.open_at, asked_at)
        self.returns = returns
        self.return_at = now

    def due_times(self) -> tuple[float, ...]:
        """Returns the times at which something has to be done."""
        is_refused = self.reason is Reason.REFUSED
        return (
            self.drain.tell_at,
            self.vm.tell_at,
            self.return_at,
            self.drain.ends_at(),
            self.vm.ends_at(),
            self.refused_until if is_refused else math.inf,
        )


class LeavingTracker:
    """Which servers of all services must get nothing new.

    Attributes:
        entries: What is known, by server.
        vms_leaving: VMs that the newest VM list shows as leaving or gone.
        vms_read_at: When a newer VM list was read last.
    """

    def __init__(self) -> None:
        self.entries: dict[Server, Entry] = {}
        self.vms_leaving: set[str] = set()
        self.vms_read_at = -math.inf

    def configure(
        self, services: Iterable[options.Service], now: float
    ) -> list[Action]:
        """Takes a bundle; forgets servers that are gone or moved."""
        before = self.entries
        self.entries = {}
        for service in services:
            for server in service.servers:
                key = Server(service.name, server.name)
                member = Member(
                    (server.address, server.port),
                    server.vm,
                    service.drain.stop_within_s,
                )
                self.entries[key] = self._entry(before.get(key), member, now)
        return self._settle_all(now)

    def vms_read(
        self, changes: Iterable[vm_tracker.VmChange], now: float
    ) -> list[Action]:
        """Takes what a newer VM list changed, which may be nothing."""
        self.vms_read_at = now
        gone = (vm_tracker.Change.LEAVING, vm_tracker.Change.REMOVED)
        for change in changes:
            if change.change in gone:
                self.vms_leaving.add(change.vm.name)
            else:
                self.vms_leaving.discard(change.vm.name)
        for entry in self.entries.values():
            self._take_vm(entry, now)
        return self._settle_all(now)

    def drain_told(self, server: Server, now: float) -> list[Action]:
        """The server itself said that it drains."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.drain.begin(now)
        entry.return_at = math.inf
        return self._settle(server, entry, now)

    def open_told(
        self, server: Server, asked_at: float, now: float
    ) -> list[Action]:
        """The server itself said that it does not drain.

        Args:
            server: The server.
            asked_at: When it was asked; an answer to an earlier question
                says nothing about now.
            now: Loop time.
        """
        entry = self.entries.get(server)
        if entry is None or not entry.drain.holds():
            return []
        if asked_at <= entry.drain.since:
            return []
        entry.opened(asked_at, now, returns=0)
        return self._settle(server, entry, now)

    def refused(self, server: Server, now: float) -> list[Action]:
        """A connection to the server was refused."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.refusals += 1
        if entry.refusals >= REFUSALS and now >= entry.refused_until:
            entry.refused_until = now + entry.refused_s
            entry.refused_s = min(entry.refused_s * 2, LONGEST_REFUSED_S)
        return self._settle(server, entry, now)

    def connected(self, server: Server, now: float) -> list[Action]:
        """The server accepted a connection."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        entry.refusals = 0
        entry.refused_until = -math.inf
        entry.refused_s = FIRST_REFUSED_S
        return self._settle(server, entry, now)

    def peer_told_leaving(
        self, server: Server, by_vm_list: bool, age_s: float, now: float
    ) -> list[Action]:
        """Another daemon told that a server leaves, learned `age_s` ago."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        said_at = now - age_s
        if by_vm_list:
            entry.vm.hear(said_at, now)
        elif said_at > entry.open_at:
            entry.drain.hear(said_at, now)
        return self._settle(server, entry, now)

    def peer_told_return(
        self, server: Server, age_s: float, now: float
    ) -> list[Action]:
        """Another daemon told that a server drains no more."""
        entry = self.entries.get(server)
        if entry is None:
            return []
        said_at = now - age_s
        if not entry.drain.holds():
            entry.open_at = max(entry.open_at, said_at)
        elif said_at > entry.drain.since + SLACK_S:
            entry.opened(said_at, now, returns=RETURN_REPEATS - 1)
        return self._settle(server, entry, now)

    def tick(self, now: float) -> list[Action]:
        """Does what is due: repeats, reminders and ends of reasons."""
        for entry in self.entries.values():
            entry.drain.expire(now)
            entry.vm.expire(now)
        return self._settle_all(now)

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
        due = [
            time
            for entry in self.entries.values()
            for time in entry.due_times()
            if math.isfinite(time)
        ]
        return min(due, default=None)

    def leaving(self, service: str) -> frozenset[str]:
        """Returns the servers of a service that get nothing new."""
        return frozenset(
            server.name
            for server, entry in self.entries.items()
            if server.service == service and entry.reason is not None
        )

    def _entry(self, known: Entry | None, member: Member, now: float) -> Entry:
        if known is None or known.member.address != member.address:
            known = Entry(member)
        known.member = member
        self._take_vm(known, now)
        return known

    def _take_vm(self, entry: Entry, now: float) -> None:
        if entry.member.vm in self.vms_leaving:
            entry.vm.begin(now)
        elif entry.vm.is_first_hand:
            # A VM that came back runs a server that was started anew.
            entry.vm.end()
            entry.opened(now, now, returns=0)

    def _settle_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for server, entry in self.entries.items():
            actions += self._settle(server, entry, now)
        return actions

    def _settle(self, server: Server, entry: Entry, now: float) -> list[Action]:
        """Returns what follows from the present state of a server."""
        actions: list[Action] = []
        reason = entry.present_reason(now)
        if reason is not None and reason is not entry.reason:
            # A later reason is passed on too: the data path ends a drain
            # answer by itself, which it must not while the VM list holds.
            actions.append(Leave(server, reason))
        elif reason is None and entry.reason is not None:
            actions.append(Back(server))
        entry.reason = reason
        return actions + self._tell(server, entry, now)

    def _tell(self, server: Server, entry: Entry, now: float) -> list[Action]:
        actions: list[Action] = []
        within_s = entry.member.stop_within_s
        if now >= entry.drain.tell_at:
            entry.drain.note_told(now, within_s)
            actions.append(TellLeaving(server, False, now - entry.drain.since))
        if now >= entry.vm.tell_at:
            entry.vm.note_told(now, within_s)
            is_fresh = now - self.vms_read_at < FRESH_LIST_S
            if is_fresh or not entry.vm.is_first_hand:
                age_s = now - entry.vm.since
                actions.append(TellLeaving(server, True, age_s))
        if now >= entry.return_at:
            entry.returns += 1
            is_last = entry.returns >= RETURN_REPEATS
            entry.return_at = math.inf if is_last else now + RETURN_REPEAT_S
            actions.append(TellReturn(server, now - entry.open_at))
        return actions
