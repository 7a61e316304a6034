"""Connects the part that knows leaving servers with the daemon's others."""

import asyncio
from typing import TYPE_CHECKING

import structlog

from banyantiller.config import defaults
from banyantiller.kernel import events
from banyantiller.leaving import task as leaving
from banyantiller.leaving.types import Reason
from banyantiller.membership import messages
from banyantiller.vmlist import interface

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

BALANCER = "balancer"

log = structlog.get_logger("banyantiller.daemon")


def start(daemon: "assembly.Daemon") -> None:
    """Follows servers that leave, and the VM list if the settings name one."""
    part = _make(daemon)
    _connect(daemon, part)
    daemon.kernel.start("leaving servers", part.run)
    daemon.kernel.subscribe(events.ServerLeaving, _log_leaving)
    daemon.kernel.subscribe(events.ServerReturned, _log_returned)
    if daemon.vms is not None:
        daemon.kernel.start("vm list", lambda: _follow(daemon, part))


def _log_leaving(event: events.ServerLeaving) -> None:
    log.info(
        "daemon: a server is leaving.",
        service=event.service,
        server=event.server,
        reason=event.reason,
    )


def _log_returned(event: events.ServerReturned) -> None:
    log.info(
        "daemon: a server is back.", service=event.service, server=event.server
    )


def _make(daemon: "assembly.Daemon") -> leaving.LeavingServers:
    def leave(service: str, server: str, reason: str) -> None:
        daemon.proxy.server_leaving(service, server, reason)
        if reason != Reason.DRAIN_ANSWER:
            daemon.kernel.emit(
                events.ServerLeaving(service, server, reason, daemon.wall())
            )

    vm_list = daemon.settings.vm_list
    period_s = vm_list.period_s if vm_list is not None else 0.0
    outlets = leaving.Callbacks(
        leave, daemon.proxy.server_returned, daemon.peers.broadcast
    )
    return leaving.LeavingServers.from_settings(daemon.vms, period_s, outlets)


def _connect(daemon: "assembly.Daemon", part: leaving.LeavingServers) -> None:
    """Passes bundles, words of servers and words of peers to the part."""

    def on_leaving(event: events.ServerLeaving) -> None:
        if event.reason == Reason.DRAIN_ANSWER:
            part.record_draining(event.service, event.server)

    def on_returned(event: events.ServerReturned) -> None:
        now = asyncio.get_running_loop().time()
        part.record_not_draining(event.service, event.server, now)

    daemon.spread.subscribe(lambda held: part.configure(held.bundle.services))
    daemon.kernel.subscribe(events.ServerLeaving, on_leaving)
    daemon.kernel.subscribe(events.ServerReturned, on_returned)
    for kind in (messages.ServersLeaving, messages.ServersReturned):
        daemon.peers.subscribe(kind, lambda _, told: part.receive_message(told))


async def _follow(
    daemon: "assembly.Daemon", part: leaving.LeavingServers
) -> None:
    assert daemon.vms is not None
    assert daemon.settings.vm_list is not None
    while True:
        listed = await daemon.vms.read()
        if isinstance(listed, interface.VmListing):
            _hint_peers(daemon, listed)
            part.receive_vm_list(listed)
        await asyncio.sleep(daemon.settings.vm_list.period_s)


def _hint_peers(daemon: "assembly.Daemon", listed: interface.VmListing) -> None:
    # All daemons of a fleet listen for peers on one port, each on its VM.
    port = daemon.settings.peers.listen.port
    daemon.peers.set_hints(
        defaults.Endpoint(vm.address, port)
        for vm in listed.vms
        if vm.role == BALANCER
    )
