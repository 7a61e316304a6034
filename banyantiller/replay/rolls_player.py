"""Replays a trace of operators who propose, sign and roll bundles."""

import asyncio
import hashlib
from typing import Any, NamedTuple

from banyantiller.bundle import (
    acceptance,
    approval,
    operators,
    options,
    outcomes,
    proposals,
    reading,
    signing,
)
from banyantiller.config import defaults
from banyantiller.replay import paused, traces
from banyantiller.store import memory
from banyantiller.store import table as tables

FLEET = "fleet"
WALL = 1_000_000_000.0
TAIL_S = 60.0
NAMES = {
    outcomes.Rolled: "rolled",
    outcomes.Lost: "lost",
    outcomes.OutOfDate: "out_of_date",
    outcomes.Refused: "refused",
    outcomes.NotReached: "not_reached",
    outcomes.NotKnown: "not_known",
}


class Header(NamedTuple):
    """Fields of the header.

    Attributes:
        trace: Version of the format.
        core: "rolls".
        operators: Names of the operators, at least two.
        about: What the trace shows.
    """

    trace: int
    core: str
    operators: tuple[str, ...]
    about: str = ""


class Propose(NamedTuple):
    """An operator proposes a bundle, and another one signs it.

    Attributes:
        operator: The proposer.
        bundle: Name of the bundle in the trace; makes its content differ.
        sign: Whether it is signed.
    """

    operator: str
    bundle: str
    sign: bool = True


class Roll(NamedTuple):
    """An operator rolls a bundle that was proposed before."""

    operator: str
    bundle: str


INPUTS: dict[str, type] = {
    "propose": Propose,
    "roll": Roll,
    "store": paused.StoreFault,
    "pause": paused.Pause,
    "resume": paused.Resume,
}


class RollsLog:
    """What happened.

    Attributes:
        digests: Digest of each bundle by its name in the trace.
        told: Outcomes of the rolls of each bundle, in order.
        accepted: Version and digest of each head that was written.
    """

    def __init__(self) -> None:
        self.digests: dict[str, str] = {}
        self.told: dict[str, list[str]] = {}
        self.accepted: list[tuple[int, str]] = []

    def is_accepted(self, bundle: str) -> bool:
        """Tells whether a bundle was ever accepted."""
        digest = self.digests.get(bundle)
        return digest in [accepted for _, accepted in self.accepted]


class Told(NamedTuple):
    """The roll of a bundle ends with an outcome.

    Attributes:
        bundle: Name of the bundle.
        outcome: "rolled", "lost", "out_of_date", "refused", "not_reached"
            or "not_known".
        roll: Which roll of the bundle, from 1.
    """

    bundle: str
    outcome: str
    roll: int = 1

    def problem(self, log: RollsLog) -> str:
        """Returns what is otherwise."""
        told = log.told.get(self.bundle, [])
        if len(told) < self.roll:
            return "there was no such roll"
        found = told[self.roll - 1]
        return "" if found == self.outcome else f"it ended with '{found}'"


class OneBundleAVersion(NamedTuple):
    """No version was accepted twice, and versions only rise."""

    def problem(self, log: RollsLog) -> str:
        """Returns what is otherwise."""
        versions = [version for version, _ in log.accepted]
        if versions == sorted(set(versions)):
            return ""
        return f"versions were accepted in the order {versions}"


class ToldTheTruth(NamedTuple):
    """What is told "rolled" was accepted; a certain failure never is."""

    def problem(self, log: RollsLog) -> str:
        """Returns what is otherwise."""
        certain = ("lost", "out_of_date", "refused")
        for bundle, told in log.told.items():
            accepted = log.is_accepted(bundle)
            if "rolled" in told and not accepted:
                return f"{bundle} was not accepted"
            if accepted and any(outcome in certain for outcome in told):
                return f"{bundle} was accepted"
        return ""


class InForce(NamedTuple):
    """A bundle is the accepted one in the end, with a version."""

    bundle: str
    version: int

    def problem(self, log: RollsLog) -> str:
        """Returns what is otherwise."""
        last = log.accepted[-1] if log.accepted else None
        wanted = (self.version, log.digests.get(self.bundle, ""))
        return "" if last == wanted else f"the last accepted is {last}"


EXPECTATIONS: dict[str, type] = {
    "told": Told,
    "one_bundle_a_version": OneBundleAVersion,
    "told_the_truth": ToldTheTruth,
    "in_force": InForce,
}


class RollsPlayer:
    """One replay.

    Attributes:
        log: What happened so far.
        trusted: Keys of all operators.
    """

    def __init__(self, header: Header) -> None:
        self.header = header
        self.log = RollsLog()
        self.loop = asyncio.get_running_loop()
        self.stores = paused.Stores(header.operators)
        self.keys = {name: _key(name) for name in header.operators}
        self.trusted = tuple(
            defaults.TrustedKey(name, pair.public)
            for name, pair in self.keys.items()
        )

    async def play(self, inputs: list[tuple[traces.Line, Any]]) -> RollsLog:
        """Feeds all inputs, then waits until everything has settled."""
        begin = self.loop.time()
        watching = asyncio.create_task(self._watch())
        tasks = []
        for line, item in inputs:
            await asyncio.sleep(begin + line.at - self.loop.time())
            match item:
                case Propose():
                    await self._propose(item)
                case Roll():
                    tasks.append(asyncio.create_task(self._roll(item)))
                case _:
                    self.stores.take(item)
        await asyncio.sleep(TAIL_S)
        watching.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(watching, *tasks, return_exceptions=True)
        return self.log

    async def _propose(self, item: Propose) -> None:
        healthy = memory.MemoryStore(self.stores.table)
        service = options.Service(
            "service",
            (options.BackendServer("server-1", "127.0.0.1", 9000),),
        )
        bundle = options.Bundle((service,), f"Bundle {item.bundle}.")
        proposed = await proposals.propose(
            healthy, FLEET, bundle, self._operator(item.operator)
        )
        if not isinstance(proposed, outcomes.Proposed):
            raise traces.TraceError(f"Bundle {item.bundle}: {proposed}.")
        self.log.digests[item.bundle] = proposed.digest
        if item.sign:
            signer = next(n for n in self.keys if n != item.operator)
            await approval.sign(
                healthy, FLEET, proposed.digest, self._operator(signer)
            )

    async def _roll(self, item: Roll) -> None:
        outcome = await acceptance.roll(
            self.stores.owned[item.operator],
            FLEET,
            self.log.digests[item.bundle],
            self._operator(item.operator),
        )
        told = self.log.told.setdefault(item.bundle, [])
        told.append(NAMES[type(outcome)])

    async def _watch(self) -> None:
        """Notes each head that is written."""
        objects = self.stores.table
        revision = objects.revision
        while True:
            for entry in objects.writes_since(reading.HEADS, revision) or ():
                self._note(entry)
            revision = objects.revision
            await objects.wait(TAIL_S)

    def _note(self, entry: tables.HistoryEntry) -> None:
        head = reading.decode_head(entry.event.item)
        if isinstance(head, outcomes.HeadFound):
            version = head.accepted.manifest.version
            self.log.accepted.append((version, head.digest))

    def _operator(self, name: str) -> operators.Operator:
        return operators.Operator(
            name,
            self.keys[name].private,
            self.trusted,
            _audit,
            lambda: WALL + self.loop.time(),
        )


def play(trace: traces.Trace) -> tuple[traces.Result, ...]:
    """Replays a trace and checks its stated outcomes.

    Raises:
        TraceError: The trace is not valid.
    """
    header = traces.from_fields(trace.header, Header, "Line 1")
    if len(set(header.operators)) < 2:
        raise traces.TraceError("Line 1: there are fewer than two operators.")
    inputs = traces.typed_lines(trace.inputs, INPUTS)
    proposed = set()
    for line, item in inputs:
        name = getattr(item, "operator", None) or getattr(item, "owner", "")
        if name and name not in header.operators:
            raise traces.TraceError(
                f"Line {line.number}: '{name}' is not an operator."
            )
        if isinstance(item, Propose):
            proposed.add(item.bundle)
        if isinstance(item, Roll) and item.bundle not in proposed:
            raise traces.TraceError(
                f"Line {line.number}: '{item.bundle}' was not proposed."
            )

    async def body() -> RollsLog:
        return await RollsPlayer(header).play(inputs)

    return traces.check(trace, EXPECTATIONS, paused.run(body()))


async def _audit(action: str, detail: dict[str, Any]) -> str:
    """Stands in for the audit trail, which a trace does not cover."""
    del action, detail
    return ""


def _key(name: str) -> signing.KeyPair:
    private = hashlib.sha256(f"replay {name}".encode()).hexdigest()
    return signing.KeyPair.from_private(private)
