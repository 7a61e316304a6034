"""Limits the large responses that a daemon takes on to what its link takes."""

import asyncio
import collections
from collections.abc import Callable

from banyantiller.errors import ErrorKind, Failure
from banyantiller.gateway import call_events, events, types
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import retry_after, transfers
from banyantiller.http import body_memory

# Reasons of a rejection, for the call's line in the log.
LINK_BUSY = "link_busy"
MEMORY_BUSY = "memory_busy"
# Time after which memory for a response may be free: a response is held for
# some tenths of a second.
MEMORY_RETRY_S = 0.15


class Transfer:
    """One call with a large response that was taken on.

    Attributes:
        expected_bytes: Size that was assumed for its response.
    """

    def __init__(self, owner: "Transfers", route: str, expected: float) -> None:
        self.owner = owner
        self.route = route
        self.expected_bytes = expected

    def end(self, size: int, successful: bool) -> None:
        """Records the end of the call and the size of its reply in bytes."""
        self.owner.end(self, size, successful)


class Transfers:
    """Admits calls with large responses.

    Attributes:
        settings: Returns the settings in force.
        memory: Memory of the responses that are being read.
        sizes: Sizes of responses by route.
        outcomes: Calls by outcome: "started", "waited" or "rejected".
        busy: Whether responses were rejected since the link had room last.
    """

    def __init__(
        self,
        settings: Callable[[], options.Settings],
        memory: body_memory.BodyMemory,
    ) -> None:
        self.settings = settings
        self.memory = memory
        self.loop = asyncio.get_running_loop()
        self.sizes: dict[str, transfers.Sizes] = {}
        self.backlog = transfers.LinkBacklog(
            settings().link_mbps, self.loop.time()
        )
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.busy = False
        self.ended = asyncio.Event()

    async def admit(
        self, route: types.Route, usual_s: float, deadline: float
    ) -> Transfer | Failure:
        """Waits until the link has room for a response.

        Args:
            route: Route of the call.
            usual_s: Usual duration of its requests, in seconds.
            deadline: Loop time at which the caller leaves.

        Returns:
            The transfer, whose end has to be recorded, or the failure if the
            response can't be transferred in time.
        """
        self.backlog.bytes_per_s = transfers.rate_of(self.settings().link_mbps)
        expected = self._sizes(route.name).expected()
        outcome = "started"
        if not self.memory.allows(int(expected)):
            return self._reject(MEMORY_BUSY, MEMORY_RETRY_S)
        while True:
            now = self.loop.time()
            decision = self.backlog.decide(
                expected, usual_s, deadline - now, now
            )
            if decision.verdict is transfers.Verdict.START:
                self._set_busy(False)
                self.outcomes[outcome] += 1
                self.backlog.start(expected)
                return Transfer(self, route.name, expected)
            if decision.verdict is transfers.Verdict.REJECT:
                self._set_busy(True)
                return self._reject(LINK_BUSY, decision.retry_s)
            outcome = "waited"
            await self._wait(decision.retry_s)

    def end(self, transfer: Transfer, size: int, successful: bool) -> None:
        """Records the end of a call that was admitted."""
        if successful:
            self._sizes(transfer.route).record(size)
        self.backlog.finish(transfer.expected_bytes, size, self.loop.time())
        self.ended.set()

    def bytes_taken_on(self) -> float:
        """Returns the bytes of responses that are not yet transferred."""
        return self.backlog.bytes_taken_on(self.loop.time())

    def retain_routes(self, names: frozenset[str]) -> None:
        """Removes routes that are no longer in force."""
        for name in set(self.sizes) - names:
            del self.sizes[name]

    def _reject(self, reason: str, retry_s: float) -> Failure:
        self.outcomes["rejected"] += 1
        retry_after_s = retry_after.available_retry_after_s(retry_s)
        return Failure(ErrorKind.NO_SERVER, reason, retry_after_s)

    def _sizes(self, route: str) -> transfers.Sizes:
        return self.sizes.setdefault(route, transfers.Sizes())

    async def _wait(self, limit_s: float) -> None:
        """Waits for a time, or until a transfer before it has ended."""
        self.ended.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self.ended.wait()
        except TimeoutError:
            return

    def _set_busy(self, busy: bool) -> None:
        if busy == self.busy:
            return
        self.busy = busy
        events.emit(call_events.LinkBusy(busy, round(self.bytes_taken_on())))
