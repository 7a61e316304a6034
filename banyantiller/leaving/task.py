"""Drives the tracker: reads the VM list, talks to peers, tells the data path.

Everything that decides is in `banyantiller.leaving.tracker`.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import structlog

from banyantiller.bundle import options
from banyantiller.leaving import tracker
from banyantiller.leaving.types import (
    Action,
    Back,
    Leave,
    Server,
    TellLeaving,
    TellReturn,
)
from banyantiller.membership import messages
from banyantiller.vmlist import interface
from banyantiller.vmlist import tracker as vm_tracker

log = structlog.get_logger("banyantiller.leaving")

SHORTEST_PAUSE_S = 0.001
LONGEST_PAUSE_S = 1.0


class Outlets(NamedTuple):
    """What the task calls.

    Attributes:
        leave: Gives a server nothing new: service, server, reason.
        back: Gives a server requests again: service, server.
        tell: Sends a message to all linked peers.
    """

    leave: Callable[[str, str, str], None]
    back: Callable[[str, str], None]
    tell: Callable[[Any], object]


class LeavingServers:
    """One daemon's knowledge of leaving servers, and the tasks around it.

    Attributes:
        tracker: The decisions.
        vms: Changes of the VM list.
    """

    def __init__(
        self,
        vm_list: interface.VmList | None,
        period_s: float,
        outlets: Outlets,
    ) -> None:
        self.vm_list = vm_list
        self.period_s = period_s
        self.outlets = outlets
        self.tracker = tracker.LeavingTracker()
        self.vms = vm_tracker.VmTracker()

    @classmethod
    def from_settings(
        cls,
        vm_list: interface.VmList | None,
        period_s: float,
        outlets: Outlets,
    ) -> "LeavingServers":
        """Constructs the part.

        Args:
            vm_list: The platform's VM list, or None without one.
            period_s: Period of its reads.
            outlets: What is called with the decisions.
        """
        return cls(vm_list, period_s, outlets)

    def configure(self, services: Iterable[options.Service]) -> None:
        """Takes the bundle in force."""
        self._act(self.tracker.configure(services, _now()))

    def drain_told(self, service: str, server: str) -> None:
        """A server told this daemon that it drains."""
        key = Server(service, server)
        self._act(self.tracker.drain_told(key, _now()))

    def open_told(self, service: str, server: str, asked_at: float) -> None:
        """A server, asked at a loop time, said that it does not drain."""
        key = Server(service, server)
        self._act(self.tracker.open_told(key, asked_at, _now()))
        entry = self.tracker.entries.get(key)
        if entry is not None and entry.reason is not None:
            # The data path gave it requests again, but another reason holds.
            self.outlets.leave(service, server, entry.reason.value)

    def refused(self, service: str, server: str) -> None:
        """A server refused a connection."""
        self._act(self.tracker.refused(Server(service, server), _now()))

    def connected(self, service: str, server: str) -> None:
        """A server accepted a connection."""
        self._act(self.tracker.connected(Server(service, server), _now()))

    def peer_told(
        self, message: messages.ServersLeaving | messages.ServersReturned
    ) -> None:
        """Takes a message of another daemon."""
        age_s = max(0, message.age_ms) / 1000
        now = _now()
        for name in message.servers:
            key = Server(message.service, name)
            if isinstance(message, messages.ServersLeaving):
                actions = self.tracker.peer_told_leaving(
                    key, message.by_vm_list, age_s, now
                )
            else:
                actions = self.tracker.peer_told_return(key, age_s, now)
            self._act(actions)

    def take_list(self, listed: interface.VmListing) -> None:
        """Takes a list if it is newer than those read before."""
        before = self.vms.as_of
        changes = self.vms.observe(listed)
        if self.vms.as_of != before:
            self._act(self.tracker.vms_read(changes, _now()))

    async def run(self) -> None:
        """Repeats, reminds and ends what is due."""
        while True:
            now = _now()
            due = self.tracker.next_tick()
            pause_s = LONGEST_PAUSE_S if due is None else due - now
            pause_s = max(pause_s, SHORTEST_PAUSE_S)
            await asyncio.sleep(min(pause_s, LONGEST_PAUSE_S))
            self._act(self.tracker.tick(_now()))

    async def follow_vms(self) -> None:
        """Reads the VM list periodically; a failed read changes nothing."""
        while self.vm_list is not None:
            listed = await self.vm_list.read()
            if isinstance(listed, interface.VmListing):
                self.take_list(listed)
            await asyncio.sleep(self.period_s)

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            service, name = action.server
            if isinstance(action, Leave):
                log.info("leaving: nothing new.", server=name)
                self.outlets.leave(service, name, action.reason.value)
            elif isinstance(action, Back):
                log.info("leaving: back again.", server=name)
                self.outlets.back(service, name)
            else:
                self.outlets.tell(_message(action))


def _message(
    action: TellLeaving | TellReturn,
) -> messages.ServersLeaving | messages.ServersReturned:
    service, name = action.server
    age_ms = round(action.age_s * 1000)
    if isinstance(action, TellReturn):
        return messages.ServersReturned(service, (name,), age_ms)
    return messages.ServersLeaving(service, (name,), age_ms, action.by_vm_list)


def _now() -> float:
    return asyncio.get_running_loop().time()
