"""Connects the tracking of leaving servers with the rest of the daemon."""

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
    """Starts tracking leaving servers, and polling of a configured VM list."""
    leaving_servers = _create_leaving_servers(daemon)
    _subscribe(daemon, leaving_servers)
    daemon.kernel.start("leaving servers", leaving_servers.run)
    daemon.kernel.subscribe(events.ServerLeaving, _log_leaving)
    daemon.kernel.subscribe(events.ServerReturned, _log_returned)
    if daemon.vms is not None:
        daemon.kernel.start(
            "vm list", lambda: _poll_vm_list(daemon, leaving_servers)
        )


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


def _create_leaving_servers(
    daemon: "assembly.Daemon",
) -> leaving.LeavingServers:
    def leave(service: str, server: str, reason: str) -> None:
        daemon.proxy.server_leaving(service, server, reason)
        if reason != Reason.DRAIN_ANSWER:
            daemon.kernel.emit(
                events.ServerLeaving(service, server, reason, daemon.wall())
            )

    settings = daemon.settings.vm_list
    period_s = settings.period_s if settings is not None else 0.0
    callbacks = leaving.Callbacks(
        leave, daemon.proxy.server_returned, daemon.peers.broadcast
    )
    return leaving.LeavingServers.from_settings(daemon.vms, period_s, callbacks)


def _subscribe(
    daemon: "assembly.Daemon", leaving_servers: leaving.LeavingServers
) -> None:
    """Passes bundles, server events and peer messages to `leaving_servers`."""

    def on_leaving(event: events.ServerLeaving) -> None:
        if event.reason == Reason.DRAIN_ANSWER:
            leaving_servers.record_draining(event.service, event.server)

    def on_returned(event: events.ServerReturned) -> None:
        now = asyncio.get_running_loop().time()
        leaving_servers.record_not_draining(event.service, event.server, now)

    daemon.replicator.subscribe(
        lambda in_force: leaving_servers.configure(in_force.bundle.services)
    )
    daemon.kernel.subscribe(events.ServerLeaving, on_leaving)
    daemon.kernel.subscribe(events.ServerReturned, on_returned)
    for message_type in (messages.ServersLeaving, messages.ServersReturned):
        daemon.peers.subscribe(
            message_type,
            lambda _, message: leaving_servers.receive_message(message),
        )


async def _poll_vm_list(
    daemon: "assembly.Daemon", leaving_servers: leaving.LeavingServers
) -> None:
    assert daemon.vms is not None
    assert daemon.settings.vm_list is not None
    while True:
        vm_list = await daemon.vms.read()
        if isinstance(vm_list, interface.VmListing):
            _hint_peers(daemon, vm_list)
            leaving_servers.receive_vm_list(vm_list)
        await asyncio.sleep(daemon.settings.vm_list.period_s)


def _hint_peers(
    daemon: "assembly.Daemon", vm_list: interface.VmListing
) -> None:
    # All daemons of a fleet listen for peers on the same port, each on its
    # own VM.
    port = daemon.settings.peers.listen.port
    daemon.peers.set_hints(
        defaults.Endpoint(vm.address, port)
        for vm in vm_list.vms
        if vm.role == BALANCER
    )
