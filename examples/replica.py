"""Prints each bundle in force: `python examples/replica.py SETTINGS.yaml`."""

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
    options: defaults.Settings,
    store: ObjectStore,
    on_bundle: Callable[[InForceBundle], None],
) -> None:
    """Calls `on_bundle` for each bundle in force, until cancelled."""
    kernel = Kernel()
    peers = Peers.from_settings(options, kernel, time.time, seed=1)
    replicator = BundleReplicator.from_settings(
        options, store, peers, kernel, time.time, seed=1
    )
    replicator.subscribe(on_bundle)
    await peers.start()
    try:
        await replicator.run()
    finally:
        await peers.close()


if __name__ == "__main__":
    loaded = settings.load(sys.argv[1])
    api = KubernetesStore.from_settings(loaded.object_api, loaded.deployment)
    asyncio.run(follow(loaded, api, lambda x: print("in force:", x.version)))
