"""Passes the bundle in force, membership and isolation on to the parts."""

import asyncio
from typing import TYPE_CHECKING

from banyantiller.kernel import events
from banyantiller.replica import replicator

if TYPE_CHECKING:
    from banyantiller.daemon import assembly

ISOLATION_PERIOD_S = 0.25


def connect(daemon: "assembly.Daemon") -> None:
    """Subscribes the data path to bundles, members and isolation."""

    def on_bundle(held: replicator.InForceBundle) -> None:
        manifest = held.accepted.manifest
        # First, since the others must not follow a bundle that it refuses.
        daemon.proxy.apply(
            held.bundle, manifest.version, held.accepted.accepted_at
        )
        daemon.budget.configure(held.bundle.services)
        daemon.recorder.configure(held.bundle.services)

    def on_member(_: events.MemberChanged) -> None:
        daemon.proxy.set_alive_daemons(len(daemon.peers.alive_members()))

    def is_outdated() -> bool:
        if daemon.spread.store_lost:
            return True
        return daemon.proxy.version < daemon.spread.newest_accepted

    daemon.proxy.is_outdated = is_outdated
    daemon.spread.subscribe(on_bundle)
    daemon.kernel.subscribe(events.MemberChanged, on_member)
    daemon.kernel.start("isolation", lambda: _follow_isolation(daemon))


async def _follow_isolation(daemon: "assembly.Daemon") -> None:
    while True:
        fence = daemon.settings.outage.when_isolated == "fence"
        daemon.proxy.fenced = fence and daemon.spread.isolated
        await asyncio.sleep(ISOLATION_PERIOD_S)
