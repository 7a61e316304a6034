"""Limits the large responses that a daemon admits to what its link carries."""

import asyncio
import collections
import random
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
# Minimum pause before the link is checked again. Calls at servers don't free it
# as time passes, so that a shorter pause would only use the processor.
MIN_RECHECK_S = 0.01
# A rejected caller is told to come back later by up to this share at random.
RETRY_SPREAD = 0.5
# Callers accept no time longer than this share of what they have left.
MAX_REMAINING_SHARE = 1 / 3


class Transfer:
    """One call with a large response that was admitted.

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
        waiting: Expected bytes of the calls that wait, in order of arrival.
    """

    def __init__(
        self,
        settings: Callable[[], options.Settings],
        memory: body_memory.BodyMemory,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.memory = memory
        self.random = rng
        self.loop = asyncio.get_running_loop()
        self.sizes: dict[str, transfers.Sizes] = {}
        self.backlog = transfers.LinkBacklog(
            settings().link_mbps, self.loop.time()
        )
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.busy = False
        self.waiting: dict[int, float] = {}
        self.arrivals = 0
        self.ended = asyncio.Event()

    async def admit(
        self,
        route: types.Route,
        usual_s: float,
        deadline: Callable[[], float],
    ) -> Transfer | Failure:
        """Waits until the link has room for a response.

        Args:
            route: Route of the call.
            usual_s: Usual duration of its requests, in seconds.
            deadline: Returns the loop time at which the caller leaves or this
                daemon exits.

        Returns:
            The transfer, whose end has to be recorded, or the failure if the
            response can't be transferred in time.
        """
        self.backlog.bytes_per_s = transfers.rate_of(self.settings().link_mbps)
        expected = self._sizes(route.name).expected()
        if not self.memory.allows(int(expected)):
            left_s = deadline() - self.loop.time()
            return self._reject(MEMORY_BUSY, MEMORY_RETRY_S, left_s)
        self.arrivals += 1
        number = self.arrivals
        self.waiting[number] = expected
        try:
            return await self._wait_for_turn(number, route, usual_s, deadline)
        finally:
            del self.waiting[number]
            self.ended.set()

    async def _wait_for_turn(
        self,
        number: int,
        route: types.Route,
        usual_s: float,
        deadline: Callable[[], float],
    ) -> Transfer | Failure:
        outcome = "started"
        while True:
            now = self.loop.time()
            left_s = deadline() - now
            expected = self.waiting[number]
            before = sum(
                size for other, size in self.waiting.items() if other < number
            )
            decision = self.backlog.decide(
                expected, usual_s, left_s, now, before
            )
            if decision.verdict is transfers.Verdict.START:
                self._set_busy(False)
                self.outcomes[outcome] += 1
                self.backlog.start(expected)
                return Transfer(self, route.name, expected)
            if decision.verdict is transfers.Verdict.REJECT:
                self._set_busy(True)
                return self._reject(LINK_BUSY, decision.retry_s, left_s)
            outcome = "waited"
            await self._wait(max(MIN_RECHECK_S, decision.retry_s))

    def end(self, transfer: Transfer, size: int, successful: bool) -> None:
        """Records the end of a call that was admitted."""
        if successful:
            self._sizes(transfer.route).record(size)
        self.backlog.finish(transfer.expected_bytes, size, self.loop.time())
        self.ended.set()

    def admitted_bytes(self) -> float:
        """Returns the bytes of responses that are not yet transferred."""
        return self.backlog.admitted_bytes(self.loop.time())

    def retain_routes(self, names: frozenset[str]) -> None:
        """Removes routes that are no longer in force."""
        for name in set(self.sizes) - names:
            del self.sizes[name]

    def _reject(self, reason: str, retry_s: float, left_s: float) -> Failure:
        self.outcomes["rejected"] += 1
        spread_s = retry_s * (1 + self.random.uniform(0, RETRY_SPREAD))
        latest_s = left_s * MAX_REMAINING_SHARE
        return Failure(
            ErrorKind.NO_SERVER,
            reason,
            retry_after.available_retry_after_s(min(spread_s, latest_s)),
        )

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
        events.emit(call_events.LinkBusy(busy, round(self.admitted_bytes())))
