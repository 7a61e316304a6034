"""Drives the tracker: reads the VM list, sends messages, calls the data path.

All decisions are made in `banyantiller.leaving.tracker`.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import structlog

from banyantiller.bundle import options
from banyantiller.leaving import tracker
from banyantiller.leaving.types import (
    Action,
    PublishLeaving,
    PublishReturn,
    ResumeSending,
    ServerKey,
    StopSending,
)
from banyantiller.membership import messages
from banyantiller.vmlist import interface
from banyantiller.vmlist import tracker as vm_tracker

log = structlog.get_logger("banyantiller.leaving")

MIN_PAUSE_S = 0.001
MAX_PAUSE_S = 1.0


class Callbacks(NamedTuple):
    """Functions that the task calls.

    Attributes:
        stop_sending: Gives a server no new requests: service, server, reason.
        resume_sending: Gives a server requests again: service, server.
        publish: Sends a message to all linked peers.
    """

    stop_sending: Callable[[str, str, str], None]
    resume_sending: Callable[[str, str], None]
    publish: Callable[[Any], object]


class LeavingServers:
    """One daemon's state of leaving servers, and the tasks that update it.

    Attributes:
        tracker: Makes the decisions.
        vms: Detects changes of the VM list.
    """

    def __init__(
        self,
        vm_list: interface.VmList | None,
        period_s: float,
        callbacks: Callbacks,
    ) -> None:
        self.vm_list = vm_list
        self.period_s = period_s
        self.callbacks = callbacks
        self.tracker = tracker.LeavingTracker()
        self.vms = vm_tracker.VmTracker()

    @classmethod
    def from_settings(
        cls,
        vm_list: interface.VmList | None,
        period_s: float,
        callbacks: Callbacks,
    ) -> "LeavingServers":
        """Constructs the part.

        Args:
            vm_list: The platform's VM list, or None without one.
            period_s: Period of its reads.
            callbacks: Functions that carry out the decisions.
        """
        return cls(vm_list, period_s, callbacks)

    def configure(self, services: Iterable[options.Service]) -> None:
        """Applies the bundle in force."""
        self._apply(self.tracker.configure(services, _now()))

    def record_draining(self, service: str, server: str) -> None:
        """Records that a server reported to this daemon that it drains."""
        key = ServerKey(service, server)
        self._apply(self.tracker.record_draining(key, _now()))

    def record_not_draining(
        self, service: str, server: str, probed_at: float
    ) -> None:
        """Records that a server, probed at a loop time, doesn't drain."""
        key = ServerKey(service, server)
        self._apply(self.tracker.record_not_draining(key, probed_at, _now()))
        entry = self.tracker.entries.get(key)
        if entry is not None and entry.reason is not None:
            # The data path resumed sending to it, but another reason applies.
            self.callbacks.stop_sending(service, server, entry.reason.value)

    def record_refused_connection(self, service: str, server: str) -> None:
        """Records that a server refused a connection."""
        self._apply(
            self.tracker.record_refused_connection(
                ServerKey(service, server), _now()
            )
        )

    def record_connection(self, service: str, server: str) -> None:
        """Records that a server accepted a connection."""
        self._apply(
            self.tracker.record_connection(ServerKey(service, server), _now())
        )

    def receive_message(
        self, message: messages.ServersLeaving | messages.ServersReturned
    ) -> None:
        """Processes a message of a peer."""
        age_s = max(0, message.age_ms) / 1000
        now = _now()
        for name in message.servers:
            key = ServerKey(message.service, name)
            if isinstance(message, messages.ServersLeaving):
                actions = self.tracker.receive_leaving(
                    key, message.by_vm_list, age_s, now
                )
            else:
                actions = self.tracker.receive_return(key, age_s, now)
            self._apply(actions)

    def receive_vm_list(self, listed: interface.VmListing) -> None:
        """Processes a VM list if it is newer than those read before."""
        before = self.vms.as_of
        changes = self.vms.observe(listed)
        if self.vms.as_of != before:
            self._apply(self.tracker.receive_vm_changes(changes, _now()))

    async def run(self) -> None:
        """Sends due repeats and reminders and expires due notices."""
        while True:
            now = _now()
            due = self.tracker.next_tick()
            pause_s = MAX_PAUSE_S if due is None else due - now
            pause_s = max(pause_s, MIN_PAUSE_S)
            await asyncio.sleep(min(pause_s, MAX_PAUSE_S))
            self._apply(self.tracker.tick(_now()))

    async def poll_vm_list(self) -> None:
        """Reads the VM list periodically; a failed read changes nothing."""
        while self.vm_list is not None:
            listed = await self.vm_list.read()
            if isinstance(listed, interface.VmListing):
                self.receive_vm_list(listed)
            await asyncio.sleep(self.period_s)

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            service, name = action.server
            if isinstance(action, StopSending):
                log.info("leaving: server gets no new requests.", server=name)
                self.callbacks.stop_sending(service, name, action.reason.value)
            elif isinstance(action, ResumeSending):
                log.info("leaving: server gets requests again.", server=name)
                self.callbacks.resume_sending(service, name)
            else:
                self.callbacks.publish(_to_message(action))


def _to_message(
    action: PublishLeaving | PublishReturn,
) -> messages.ServersLeaving | messages.ServersReturned:
    service, name = action.server
    age_ms = round(action.age_s * 1000)
    if isinstance(action, PublishReturn):
        return messages.ServersReturned(service, (name,), age_ms)
    return messages.ServersLeaving(service, (name,), age_ms, action.by_vm_list)


def _now() -> float:
    return asyncio.get_running_loop().time()
