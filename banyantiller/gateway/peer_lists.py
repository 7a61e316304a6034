"""Reads lists of objects from relays in place of the store."""

import asyncio

from banyantiller.gateway import events, peers, relays
from banyantiller.gateway.decisions import store_reads

# Pause between queries of relays that are not ready at a start.
START_PAUSE_S = 0.1
# Time for a list from relays: a healthy relay, also a slow one, responds within
# it. A daemon without any list reads the store after it, counted from when a
# caller waits or, on a relay, from the start: when all daemons start at once
# after a power cut no relay has a list.
STARTUP_QUERY_S = 0.05
# The same for a daemon that already has a list.
LIST_QUERY_S = 0.4


class PeerListReader:
    """Queries relays for lists.

    Attributes:
        fleet_relays: The relays in use.
        read_policy: How long relays are relied on.
        min_versions: Minimum version of a list, by kind.
        start_pause_skipped: Set once a caller waits for the first read at the
            start.
    """

    def __init__(
        self,
        fleet_relays: relays.Relays,
        read_policy: store_reads.StoreReadPolicy,
        min_versions: dict[str, int],
    ) -> None:
        self.fleet_relays = fleet_relays
        self.read_policy = read_policy
        self.min_versions = min_versions
        self.start_pause_skipped = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    async def fetch(self, object_kind: str) -> peers.PeerList | None:
        """Queries relays for a list until the store should be read instead.

        A machine without power gives no response at all, so that querying all
        relays in vain takes a second; after a power cut callers can't wait for
        that.
        """
        query_task = asyncio.ensure_future(self._query_until_found(object_kind))
        timeout_task = asyncio.ensure_future(
            self._wait_until_store_due(object_kind)
        )
        try:
            await asyncio.wait(
                {query_task, timeout_task}, return_when=asyncio.FIRST_COMPLETED
            )
            return query_task.result() if query_task.done() else None
        finally:
            for task in (query_task, timeout_task):
                task.cancel()
            await asyncio.gather(
                query_task, timeout_task, return_exceptions=True
            )

    async def _wait_until_store_due(self, object_kind: str) -> None:
        """Returns when the store should be read in place of relays."""
        if object_kind in self.min_versions:
            await asyncio.sleep(LIST_QUERY_S)
            return
        if not self.fleet_relays.is_relay:
            await self.start_pause_skipped.wait()
        await asyncio.sleep(STARTUP_QUERY_S)

    async def _query_until_found(
        self, object_kind: str
    ) -> peers.PeerList | None:
        """Queries again while relays may be about to have a list."""
        while True:
            peer_list = await self._query_relays(object_kind)
            now = self.loop.time()
            may_retry = (
                not self.fleet_relays.is_relay
                and self.read_policy.is_settling(now)
            )
            if peer_list or not self.fleet_relays.peers or not may_retry:
                return peer_list
            await asyncio.sleep(START_PAUSE_S)

    async def _query_relays(self, object_kind: str) -> peers.PeerList | None:
        """Returns the first fresh list, else the freshest.

        Lists that are older than the cached state are passed over.
        """
        best = None
        for peer in self.fleet_relays.peers:
            peer_list = await peer.list(object_kind)
            if isinstance(peer_list, peers.PeerRefusal):
                continue
            if int(peer_list.listed.version) < self.min_versions.get(
                object_kind, 0
            ):
                continue
            events.emit(events.PeerListReceived(object_kind, peer.address))
            if self.is_fresh(peer_list):
                return peer_list
            if best is None or peer_list.fresh_at > best.fresh_at:
                best = peer_list
        return best

    def is_fresh(self, peer_list: peers.PeerList) -> bool:
        """Returns whether a list is fresh enough to rely on."""
        age_s = self.loop.time() - peer_list.fresh_at
        return age_s <= self.read_policy.max_peer_age_s
