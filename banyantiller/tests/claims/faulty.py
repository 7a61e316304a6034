"""A store with scripted faults, and a backend that counts runs."""

import asyncio
import collections
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from banyantiller.claims import arbiter, types
from banyantiller.store import interface, memory, table

RESPONSE = types.RecordedResponse(
    201, (("content-type", "text/plain"),), b"made"
)

Gate = Callable[[str], Awaitable[None]]


class Step(NamedTuple):
    """The behaviour of the store on one call.

    Attributes:
        before_s: Delay before the call takes effect, in seconds.
        after_s: Delay before it returns, in seconds.
        fault: "", "lost", "late", "unavailable" or "stale".
    """

    before_s: float = 0.0
    after_s: float = 0.0
    fault: str = ""


async def no_gate(point: str) -> None:
    """Never blocks."""


class FaultyStore(memory.MemoryStore):
    """Awaits a gate before and after the effect of each call."""

    def __init__(
        self,
        objects: table.ObjectTable,
        gate: Gate = no_gate,
        steps: tuple[Step, ...] = (),
    ) -> None:
        super().__init__(objects)
        self.gate = gate
        self.steps = itertools.chain(steps, itertools.repeat(Step()))
        self.previous = objects.snapshot()

    async def _read(self, effect: Callable[[], Any]) -> Any:
        step = next(self.steps)
        await self._before_effect(step)
        if step.fault == "unavailable":
            return interface.Unavailable("scripted fault")
        self.stale_view = self.previous if step.fault == "stale" else None
        outcome = effect()
        self.stale_view = None
        self.previous = self.table.snapshot()
        await self._after_effect(step)
        return outcome

    async def _write(self, effect: Callable[[], Any]) -> Any:
        step = next(self.steps)
        if step.fault == "late":
            asyncio.get_running_loop().call_later(7.0, effect)
            await self._before_effect(step)
            return interface.Unknown("scripted fault")
        await self._before_effect(step)
        if step.fault == "unavailable":
            return interface.Unavailable("scripted fault")
        outcome = effect()
        await self._after_effect(step)
        if step.fault == "lost":
            return interface.Unknown("scripted fault")
        return outcome

    async def _before_effect(self, step: Step) -> None:
        await self.gate("before")
        await asyncio.sleep(step.before_s)

    async def _after_effect(self, step: Step) -> None:
        await asyncio.sleep(step.after_s)
        await self.gate("after")


class Fleet:
    """Daemons that share a table, and a backend that counts runs by key."""

    def __init__(self) -> None:
        self.table = table.ObjectTable()
        self.runs: collections.Counter[str] = collections.Counter()
        self.count = itertools.count()
        self.skipped_s = 0.0

    def wall(self) -> float:
        """Returns wall-clock seconds, with `skipped_s` added to loop time."""
        return 1e9 + self.skipped_s + asyncio.get_running_loop().time()

    def daemon(
        self, name: str, gate: Gate = no_gate, steps: tuple[Step, ...] = ()
    ) -> arbiter.StoreClaims:
        """Returns the claims of one daemon."""
        return arbiter.StoreClaims.from_settings(
            FaultyStore(self.table, gate, steps),
            "fleet",
            name,
            self.wall,
            lambda: f"nonce-{name}-{next(self.count)}",
        )

    async def serve(
        self,
        daemon: arbiter.StoreClaims,
        request: types.ClaimRequest,
        deadline: float,
        refused: bool = False,
    ) -> types.ClaimOutcome:
        """Handles a keyed request as a proxy does."""
        gate = daemon.store.gate
        outcome = await daemon.claim(request, deadline)
        if not isinstance(outcome, types.Granted):
            return outcome
        if refused:
            await daemon.release(request, outcome.nonce)
            return outcome
        await gate("send")
        self.runs[request.key] += 1
        await gate("sent")
        await daemon.finish(request, outcome.nonce, RESPONSE)
        return outcome
