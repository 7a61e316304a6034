"""Fetches missing parts of verified bundles from peers or the object API."""

import asyncio
import random
from collections.abc import Callable

from banyantiller.bundle import outcomes
from banyantiller.bundle import reading as bundle_reading
from banyantiller.bundle.manifest import Part
from banyantiller.membership import messages
from banyantiller.membership.peers import Peers
from banyantiller.replica import state
from banyantiller.store import interface

CONCURRENT_STORE_READS = 8
MAX_PARTS_PER_REQUEST = 64
PEER_TIMEOUT_S = 1.0
INITIAL_RETRY_S = 0.25
MAX_RETRY_S = 5.0


class PartFetcher:
    """Fetches the parts that candidates of the replica need.

    Attributes:
        announced_versions: Version in force that each peer announced.
        parts_missing: Set when a candidate has missing parts.
        part_added: Set when a needed part was added.
    """

    def __init__(
        self,
        replica: state.Replica,
        store: interface.ObjectStore,
        peers: Peers,
        on_part_added: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Prepares the fetcher.

        Args:
            replica: Replica to which the parts are added.
            store: The object API.
            peers: Membership of this daemon.
            on_part_added: Called after a needed part was added.
            rng: Selects peers and varies pauses.
        """
        self.replica = replica
        self.store = store
        self.peers = peers
        self.on_part_added = on_part_added
        self.random = rng
        self.announced_versions: dict[str, int] = {}
        self.parts_missing = asyncio.Event()
        self.part_added = asyncio.Event()

    async def run(self) -> None:
        """Fetches missing parts until cancelled."""
        pause = INITIAL_RETRY_S
        while True:
            if not self.replica.missing_parts():
                self.parts_missing.clear()
                await self.parts_missing.wait()
                pause = INITIAL_RETRY_S
            before = len(self.replica.missing_parts())
            await self._fetch_from_peer()
            if self.replica.missing_parts():
                await self._fetch_from_store()
            if len(self.replica.missing_parts()) < before:
                pause = INITIAL_RETRY_S
                continue
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(pause * 2, MAX_RETRY_S)

    def add_part(self, data: bytes, cache_unneeded: bool = False) -> None:
        """Adds a part received from a peer, a read or a watch."""
        if self.replica.add_part(data, cache_unneeded):
            self.part_added.set()
            self.on_part_added()

    def peers_with_version(self, version: int) -> list[str]:
        """Returns linked peers with this or a later version in force."""
        return [
            name
            for name in self.peers.linked_peers()
            if self.announced_versions.get(name, 0) >= version
        ]

    async def _fetch_from_peer(self) -> None:
        peers = self.peers_with_version(
            self.replica.newest_version
        ) or self.peers_with_version(self.replica.version + 1)
        if not peers:
            return
        peer = self.random.choice(peers)
        # A peer has all parts of its bundle in force. Parts of a newer bundle
        # may be unavailable everywhere and must not block an older candidate.
        missing = self.replica.missing_parts(self.announced_versions[peer])
        requested = missing[:MAX_PARTS_PER_REQUEST]
        digests = tuple(bytes.fromhex(part.digest) for part in requested)
        if not self.peers.send(peer, messages.PartRequest(digests)):
            return
        await self._wait_for_parts(requested)

    async def _wait_for_parts(self, requested: tuple[Part, ...]) -> None:
        # Each received part restarts the timeout, so a long transfer isn't
        # abandoned while it makes progress.
        while any(part.digest not in self.replica.parts for part in requested):
            self.part_added.clear()
            try:
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    await self.part_added.wait()
            except TimeoutError:
                return

    async def _fetch_from_store(self) -> None:
        missing = self.replica.missing_parts()
        for start in range(0, len(missing), CONCURRENT_STORE_READS):
            batch = missing[start : start + CONCURRENT_STORE_READS]
            results = await asyncio.gather(
                *(bundle_reading.read_part(self.store, p) for p in batch)
            )
            for outcome in results:
                if isinstance(outcome, outcomes.PartFound):
                    self.add_part(outcome.data)
            if any(isinstance(x, outcomes.NotReached) for x in results):
                return
