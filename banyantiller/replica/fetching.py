"""Gets the missing parts of verified bundles from peers or the object API."""

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

PARTS_AT_ONCE = 8
PARTS_A_REQUEST = 64
PEER_WAIT_S = 1.0
RETRY_S = 0.25
LONGEST_RETRY_S = 5.0


class Fetcher:
    """Fetches what the replica misses.

    Attributes:
        announced: Version that each linked peer said is in force there.
    """

    def __init__(
        self,
        replica: state.Replica,
        store: interface.ObjectStore,
        peers: Peers,
        arrived: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Prepares the fetcher.

        Args:
            replica: Whose parts are fetched.
            store: The object API.
            peers: The other daemons.
            arrived: Called after parts were added.
            rng: Chooses peers.
        """
        self.replica = replica
        self.store = store
        self.peers = peers
        self.arrived = arrived
        self.random = rng
        self.announced: dict[str, int] = {}
        self.wanted = asyncio.Event()
        self.progress = asyncio.Event()

    async def run(self) -> None:
        """Fetches whenever parts are missing."""
        pause = RETRY_S
        while True:
            if not self.replica.missing():
                self.wanted.clear()
                await self.wanted.wait()
                pause = RETRY_S
            before = len(self.replica.missing())
            await self._from_peer()
            if self.replica.missing():
                await self._from_store()
            if len(self.replica.missing()) < before:
                pause = RETRY_S
                continue
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(pause * 2, LONGEST_RETRY_S)

    def add(self, data: bytes, keep_spare: bool = False) -> None:
        """Takes in a part that a peer or a watch delivered."""
        if self.replica.add_part(data, keep_spare):
            self.progress.set()
            self.arrived()

    def holders(self, version: int) -> list[str]:
        """Returns linked peers at which a version or a later is in force."""
        return [
            name
            for name in self.peers.linked_peers()
            if self.announced.get(name, 0) >= version
        ]

    async def _from_peer(self) -> None:
        holders = self.holders(self.replica.newest) or self.holders(
            self.replica.version + 1
        )
        if not holders:
            return
        peer = self.random.choice(holders)
        # A peer has the parts of what is in force there. Those of a newer
        # bundle may be nowhere, and must not keep an older one waiting.
        missing = self.replica.missing(self.announced[peer])
        asked = missing[:PARTS_A_REQUEST]
        digests = tuple(bytes.fromhex(part.digest) for part in asked)
        if not self.peers.send(peer, messages.PartRequest(digests)):
            return
        await self._wait_for(asked)

    async def _wait_for(self, asked: tuple[Part, ...]) -> None:
        # Each part that arrives renews the wait, so a long answer is not
        # given up while it flows.
        while any(part.digest not in self.replica.parts for part in asked):
            self.progress.clear()
            try:
                async with asyncio.timeout(PEER_WAIT_S):
                    await self.progress.wait()
            except TimeoutError:
                return

    async def _from_store(self) -> None:
        missing = self.replica.missing()
        for start in range(0, len(missing), PARTS_AT_ONCE):
            batch = missing[start : start + PARTS_AT_ONCE]
            found = await asyncio.gather(
                *(bundle_reading.read_part(self.store, p) for p in batch)
            )
            for outcome in found:
                if isinstance(outcome, outcomes.PartFound):
                    self.add(outcome.data)
            if any(isinstance(x, outcomes.NotReached) for x in found):
                return
