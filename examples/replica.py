"""Follows the accepted bundles: `python examples/replica.py SETTINGS.yaml`."""

import asyncio
import sys
import time
from collections.abc import Callable

from banyantiller.config import defaults, settings
from banyantiller.kernel.core import Kernel
from banyantiller.membership.peers import Peers
from banyantiller.replica.replicator import BundleReplicator, InForceBundle
from banyantiller.store.interface import ObjectStore
from banyantiller.store.kubernetes import KubernetesStore


async def follow(
    chosen: defaults.Settings,
    store: ObjectStore,
    show: Callable[[InForceBundle], None],
) -> None:
    """Calls `show` for each bundle in force, until cancelled."""
    kernel = Kernel()
    peers = Peers.from_settings(chosen, kernel, time.time, seed=1)
    replicator = BundleReplicator.from_settings(
        chosen, store, peers, kernel, time.time, seed=1
    )
    replicator.subscribe(show)
    await peers.start()
    try:
        await replicator.run()
    finally:
        await peers.close()


if __name__ == "__main__":
    loaded = settings.load(sys.argv[1])
    api = KubernetesStore.from_settings(loaded.object_api, loaded.deployment)
    asyncio.run(follow(loaded, api, lambda x: print("in force:", x.version)))
