"""Updates components when bundle, membership or isolation change."""

import asyncio
from typing import TYPE_CHECKING

from banyantiller.kernel import events
from banyantiller.replica import replicator

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

ISOLATION_PERIOD_S = 0.25


def connect(daemon: "assembly.Daemon") -> None:
    """Subscribes the data path to bundles, members and isolation."""

    def on_bundle(in_force: replicator.InForceBundle) -> None:
        manifest = in_force.accepted.manifest
        # The data path comes first: if it rejects the bundle, the other
        # components must not apply it either.
        daemon.proxy.apply(
            in_force.bundle, manifest.version, in_force.accepted.accepted_at
        )
        daemon.budget.configure(in_force.bundle.services)
        daemon.recorder.configure(in_force.bundle.services)

    def on_member(_: events.MemberChanged) -> None:
        daemon.proxy.set_alive_daemons(len(daemon.peers.alive_members()))

    def is_outdated() -> bool:
        if daemon.replicator.store_lost:
            return True
        return daemon.proxy.version < daemon.replicator.newest_accepted

    daemon.proxy.is_outdated = is_outdated
    daemon.replicator.subscribe(on_bundle)
    daemon.kernel.subscribe(events.MemberChanged, on_member)
    daemon.kernel.start("isolation", lambda: _follow_isolation(daemon))


async def _follow_isolation(daemon: "assembly.Daemon") -> None:
    while True:
        fence = daemon.settings.outage.when_isolated == "fence"
        daemon.proxy.fenced = fence and daemon.replicator.isolated
        await asyncio.sleep(ISOLATION_PERIOD_S)
