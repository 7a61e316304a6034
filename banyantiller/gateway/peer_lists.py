"""Lists that other daemons tell in place of the store."""

import asyncio

from banyantiller.gateway import events, peers
from banyantiller.gateway.decisions import store_reads

# Pause before those that are not ready are asked again at a start.
START_PAUSE_S = 0.1
# Another daemon that lives tells a list within this time, also a slow one. A
# daemon that knows nothing asks the store then if a caller waits, or if other
# daemons wait for it: when all start at once after a power cut nobody can tell.
HASTE_S = 0.05
# The same for a daemon that knows something already.
LIST_S = 0.4


class PeerListReader:
    """Asks other daemons for lists.

    Attributes:
        relays: Daemons to ask, in this order.
        is_relay: Whether others ask this daemon.
        read_policy: How long others are relied on.
        min_versions: Least version that a list must have, by kind.
        start_pause_skipped: Set once a caller waits for what is to be read at
            the start.
    """

    def __init__(
        self,
        relays: list[peers.Peer],
        is_relay: bool,
        read_policy: store_reads.StoreReadPolicy,
        min_versions: dict[str, int],
    ) -> None:
        self.relays = relays
        self.is_relay = is_relay
        self.read_policy = read_policy
        self.min_versions = min_versions
        self.start_pause_skipped = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    async def fetch(self, kind: str) -> peers.PeerList | None:
        """Asks for a list, as long as nobody waits for what is known then.

        A machine without power gives no answer at all, so that asking all in
        vain takes a second; callers have no time for that after a power cut.
        """
        asking = asyncio.ensure_future(self._ask_until_told(kind))
        waiting = asyncio.ensure_future(self._wait_for_haste(kind))
        try:
            await asyncio.wait(
                {asking, waiting}, return_when=asyncio.FIRST_COMPLETED
            )
            return asking.result() if asking.done() else None
        finally:
            for task in (asking, waiting):
                task.cancel()
            await asyncio.gather(asking, waiting, return_exceptions=True)

    async def _wait_for_haste(self, kind: str) -> None:
        """Returns when the store should be asked in place of others."""
        if kind in self.min_versions:
            await asyncio.sleep(LIST_S)
            return
        if not self.is_relay:
            await self.start_pause_skipped.wait()
        await asyncio.sleep(HASTE_S)

    async def _ask_until_told(self, kind: str) -> peers.PeerList | None:
        """Asks again while others may be about to have a list."""
        while True:
            found = await self._ask_for_list(kind)
            now = self.loop.time()
            waits = not self.is_relay and self.read_policy.is_settling(now)
            if found is not None or not self.relays or not waits:
                return found
            await asyncio.sleep(START_PAUSE_S)

    async def _ask_for_list(self, kind: str) -> peers.PeerList | None:
        """Returns the first fresh list, else the freshest.

        None that is older than what is known.
        """
        best = None
        for peer in self.relays:
            found = await peer.list(kind)
            if isinstance(found, peers.PeerRefusal):
                continue
            if int(found.listed.version) < self.min_versions.get(kind, 0):
                continue
            events.emit(events.PeerListReceived(kind, peer.address))
            if self.is_fresh(found):
                return found
            if best is None or found.fresh_at > best.fresh_at:
                best = found
        return best

    def is_fresh(self, found: peers.PeerList) -> bool:
        """Tells whether a list is young enough to rely on."""
        age_s = self.loop.time() - found.fresh_at
        return age_s <= self.read_policy.max_peer_age_s
