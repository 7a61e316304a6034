"""Follows the VM list and tells the data path which servers are leaving."""

import asyncio
from typing import TYPE_CHECKING

import structlog

from banyantiller.config import defaults
from banyantiller.kernel import events
from banyantiller.vmlist import interface, tracker

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

BALANCER = "balancer"

log = structlog.get_logger("banyantiller.daemon")


def start(daemon: "assembly.Daemon") -> None:
    """Logs leaving servers; follows the VM list if the settings name one."""
    daemon.kernel.subscribe(events.ServerLeaving, _log_leaving)
    daemon.kernel.subscribe(events.ServerReturned, _log_returned)
    if daemon.vms is not None:
        daemon.kernel.start("vm list", lambda: _follow(daemon))


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


async def _follow(daemon: "assembly.Daemon") -> None:
    assert daemon.vms is not None
    assert daemon.settings.vm_list is not None
    seen = tracker.VmTracker()
    while True:
        listed = await daemon.vms.read()
        if isinstance(listed, interface.VmsListed):
            _hint_peers(daemon, listed)
            for change in seen.observe(listed):
                _apply(daemon, change)
        await asyncio.sleep(daemon.settings.vm_list.period_s)


def _hint_peers(daemon: "assembly.Daemon", listed: interface.VmsListed) -> None:
    # All daemons of a fleet listen for peers on one port, each on its VM.
    port = daemon.settings.peers.listen.port
    daemon.peers.hint(
        defaults.Endpoint(vm.address, port)
        for vm in listed.vms
        if vm.role == BALANCER
    )


def _apply(daemon: "assembly.Daemon", change: tracker.VmChange) -> None:
    held = daemon.spread.held
    if held is None:
        return
    for service in held.bundle.services:
        for server in service.servers:
            if server.vm == change.vm.name:
                _tell(daemon, service.name, server.name, change.change)


def _tell(
    daemon: "assembly.Daemon",
    service: str,
    server: str,
    change: tracker.Change,
) -> None:
    if change in (tracker.Change.LEAVING, tracker.Change.GONE):
        daemon.proxy.server_leaving(service, server, "vm_list")
        daemon.kernel.emit(
            events.ServerLeaving(service, server, "vm_list", daemon.wall())
        )
    elif change is tracker.Change.BACK:
        daemon.proxy.server_back(service, server)
