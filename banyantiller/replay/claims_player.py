"""Replays a trace of keyed requests against the real claims.

Each request does what the proxy does with one: it claims the key, runs if
that was granted, and tells the claims how it ended.
"""

import asyncio
import collections
import itertools
from typing import Any, NamedTuple

from banyantiller.claims import arbiter, types
from banyantiller.errors import Ran
from banyantiller.replay import paused, traces

FLEET = "fleet"
WALL = 1_000_000_000.0
TAIL_S = 60.0
STEP_S = 0.001
ANSWER = types.RecordedResponse(201, (), b"made")


class Header(NamedTuple):
    """Fields of the header.

    Attributes:
        trace: Version of the format.
        core: "claims".
        daemons: Names of the daemons.
        about: What the trace shows.
        retention_s: How long a key is remembered.
    """

    trace: int
    core: str
    daemons: tuple[str, ...]
    about: str = ""
    retention_s: float = 86400.0


class Request(NamedTuple):
    """A keyed request reaches a daemon.

    Attributes:
        call: Its number.
        daemon: The daemon.
        key: Idempotency key.
        patience_s: Time to its deadline.
        work_s: Time that the backend server takes.
        ends: "run", "unknown" if the answer is lost, or "not_sent" if no
            byte reached a server.
        fingerprint: Digest of the request.
    """

    call: int
    daemon: str
    key: str
    patience_s: float = 5.0
    work_s: float = 0.05
    ends: str = "run"
    fingerprint: str = "f"


class Kill(NamedTuple):
    """A daemon dies and is replaced by a new one of the same name."""

    daemon: str


INPUTS: dict[str, type] = {
    "request": Request,
    "kill": Kill,
    "store": paused.StoreFault,
    "pause": paused.Pause,
    "resume": paused.Resume,
}


class ClaimsLog:
    """What happened.

    Attributes:
        runs: How often a backend server ran a request, by key.
        ran: Calls that a backend server ran.
        told: What each call was told: "run", "unknown", "not_sent",
            "finished" or a kind of failure.
        not_run: Calls that were told "not run".
        took: Time that each call took, in seconds.
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.ran: set[int] = set()
        self.told: dict[int, str] = {}
        self.not_run: set[int] = set()
        self.took: dict[int, float] = {}


class RunsAtMostOnce(NamedTuple):
    """No key is run twice."""

    def problem(self, log: ClaimsLog) -> str:
        """Returns what is otherwise."""
        twice = {key: n for key, n in log.runs.items() if n > 1}
        return f"runs by key: {twice}" if twice else ""


class Runs(NamedTuple):
    """A key is run so often."""

    key: str
    count: int

    def problem(self, log: ClaimsLog) -> str:
        """Returns what is otherwise."""
        runs = log.runs[self.key]
        return "" if runs == self.count else f"it was run {runs} times"


class ToldNotRunWasNotRun(NamedTuple):
    """No call that is told "not run" was run."""

    def problem(self, log: ClaimsLog) -> str:
        """Returns what is otherwise."""
        wrong = sorted(log.not_run & log.ran)
        return f"calls {wrong} were run" if wrong else ""


class Told(NamedTuple):
    """A call gets an outcome, within a time; empty means none."""

    call: int
    outcome: str
    within_s: float = 1e9

    def problem(self, log: ClaimsLog) -> str:
        """Returns what is otherwise."""
        told = log.told.get(self.call, "")
        if told != self.outcome:
            return f"it was told '{told}'"
        took = log.took.get(self.call, 0.0)
        return "" if took <= self.within_s else f"it took {took:.3f} s"


EXPECTATIONS: dict[str, type] = {
    "runs_at_most_once": RunsAtMostOnce,
    "runs": Runs,
    "told_not_run_was_not_run": ToldNotRunWasNotRun,
    "told": Told,
}


class ClaimsPlayer:
    """One replay.

    Attributes:
        log: What happened so far.
        daemons: Claims of each daemon by name.
        tasks: Running tasks of each daemon by name.
    """

    def __init__(self, header: Header) -> None:
        self.header = header
        self.log = ClaimsLog()
        self.stores = paused.Stores(header.daemons)
        self.loop = asyncio.get_running_loop()
        self.nonces = itertools.count()
        self.daemons: dict[str, arbiter.StoreClaims] = {}
        self.tasks: dict[str, set[asyncio.Task[None]]] = {}
        for name in header.daemons:
            self._start(name)

    async def play(self, inputs: list[tuple[traces.Line, Any]]) -> ClaimsLog:
        """Feeds all inputs, then waits until everything has settled."""
        begin = self.loop.time()
        for line, item in inputs:
            await asyncio.sleep(begin + line.at - self.loop.time())
            match item:
                case Request():
                    self._spawn(item.daemon, self._serve(item))
                case Kill(daemon):
                    await self._stop(daemon)
                    self._start(daemon)
                case _:
                    self.stores.take(item)
        await asyncio.sleep(TAIL_S)
        for name in self.header.daemons:
            await self._stop(name)
        return self.log

    def _start(self, name: str) -> None:
        store = self.stores.owned[name]
        store.running.set()
        claims = arbiter.StoreClaims.from_settings(
            store,
            FLEET,
            name,
            lambda: WALL + self.loop.time(),
            lambda: f"nonce-{next(self.nonces)}",
        )
        self.daemons[name] = claims
        self._spawn(name, claims.run())

    def _spawn(self, name: str, body: Any) -> None:
        task = asyncio.create_task(body)
        self.tasks.setdefault(name, set()).add(task)

    async def _stop(self, name: str) -> None:
        ending = self.tasks.pop(name, set())
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    async def _serve(self, request: Request) -> None:
        begin = self.loop.time()
        claims = self.daemons[request.daemon]
        wanted = types.ClaimRequest(
            "service",
            request.key,
            request.fingerprint,
            self.header.retention_s,
        )
        outcome = await claims.claim(wanted, begin + request.patience_s)
        if isinstance(outcome, types.Granted):
            await self._use(request, claims, wanted, outcome.nonce)
        elif isinstance(outcome, types.Finished):
            self.log.told[request.call] = "finished"
        else:
            self.log.told[request.call] = outcome.failure.error_kind
            if outcome.failure.response.ran is Ran.NO:
                self.log.not_run.add(request.call)
        self.log.took[request.call] = self.loop.time() - begin

    async def _use(
        self,
        request: Request,
        claims: arbiter.StoreClaims,
        wanted: types.ClaimRequest,
        nonce: str,
    ) -> None:
        await asyncio.sleep(STEP_S)
        await self.stores.owned[request.daemon].running.wait()
        if request.ends == "not_sent":
            await claims.release(wanted, nonce)
            self.log.not_run.add(request.call)
        else:
            self.log.runs[request.key] += 1
            self.log.ran.add(request.call)
            await asyncio.sleep(request.work_s)
            if request.ends == "unknown":
                await claims.mark_unknown(wanted, nonce)
            else:
                await claims.finish(wanted, nonce, ANSWER)
        self.log.told[request.call] = request.ends


def play(trace: traces.Trace) -> tuple[traces.Result, ...]:
    """Replays a trace and checks its stated outcomes.

    Raises:
        TraceError: The trace is not valid.
    """
    header = traces.from_fields(trace.header, Header, "Line 1")
    inputs = traces.typed_lines(trace.inputs, INPUTS)
    for line, item in inputs:
        _check(line, item, header)

    async def body() -> ClaimsLog:
        return await ClaimsPlayer(header).play(inputs)

    return traces.check(trace, EXPECTATIONS, paused.run(body()))


def _check(line: traces.Line, item: Any, header: Header) -> None:
    name = getattr(item, "daemon", None) or getattr(item, "owner", "")
    if name and name not in header.daemons:
        raise traces.TraceError(
            f"Line {line.number}: '{name}' is not a daemon of the header."
        )
    ends = ("run", "unknown", "not_sent")
    if isinstance(item, Request) and item.ends not in ends:
        raise traces.TraceError(
            f"Line {line.number}: 'ends' is not one of {', '.join(ends)}."
        )
