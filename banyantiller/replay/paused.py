"""A paused clock and stores that fail as a trace says."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

from banyantiller import exceptions
from banyantiller.store import memory
from banyantiller.store import table as tables

T = TypeVar("T")


class StoreFault(NamedTuple):
    """How the object API behaves from now on.

    Attributes:
        owner: Daemon or operator whose way to it fails; empty means all.
        down: Whether no call has an effect.
        slow_s: Time until a call takes effect. A write slower than its
            timeout is not known to its caller and takes effect afterwards.
        lose_answers: Next writes whose answer is lost.
        stale: Whether reads show the state of this moment from now on.
    """

    owner: str = ""
    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    stale: bool = False


class Pause(NamedTuple):
    """A daemon or operator stops at its next step."""

    owner: str


class Resume(NamedTuple):
    """A paused daemon or operator goes on."""

    owner: str


class OwnedStore(memory.MemoryStore):
    """The store as one daemon or operator reaches it.

    Attributes:
        running: Set unless the owner is paused.
    """

    def __init__(self, objects: tables.ObjectTable) -> None:
        super().__init__(objects)
        self.running = asyncio.Event()
        self.running.set()

    def fail(self, fault: StoreFault) -> None:
        """Takes a fault."""
        self.faults = memory.Faults(
            fault.down, fault.slow_s, fault.lose_answers
        )
        self.serve_stale(fault.stale)

    async def _answer(
        self, effect: Callable[[], Any], late: Callable[[str], Any]
    ) -> Any:
        await self.running.wait()
        outcome = await super()._answer(effect, late)
        await self.running.wait()
        return outcome


class Stores:
    """The stores of all daemons or operators over one table.

    Attributes:
        table: The objects.
        owned: Stores by owner.
    """

    def __init__(self, owners: tuple[str, ...]) -> None:
        self.table = tables.ObjectTable()
        self.owned = {owner: OwnedStore(self.table) for owner in owners}

    def take(self, item: Any) -> bool:
        """Takes a fault, pause or resume; False for any other input."""
        match item:
            case StoreFault():
                names = [item.owner] if item.owner else list(self.owned)
                for name in names:
                    self.owned[name].fail(item)
            case Pause(owner):
                self.owned[owner].running.clear()
            case Resume(owner):
                self.owned[owner].running.set()
            case _:
                return False
        return True


def run(body: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a loop whose clock advances only when idle.

    Raises:
        PluginError: The library that pauses the clock is not installed.
    """
    try:
        from banyantiller.replay import clock
    except ImportError as error:
        body.close()
        raise exceptions.PluginError(
            "Traces of this core need the extra 'replay'."
        ) from error
    with asyncio.Runner(loop_factory=clock.PausedLoop) as runner:
        return runner.run(body)
