"""Replays a trace against a real dispatcher.

The player does what the proxy's driver does: it passes inputs with their
times, carries out actions, and ticks when the dispatcher asks for it. Tries
on servers whose behaviour the trace states are answered accordingly; others
get the recorded heads.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from banyantiller.replay import call_log, dispatcher_expectations, traces
from banyantiller.replay import dispatcher_inputs as inputs
from banyantiller.routing import adaptive, types

MOST_STEPS = 2_000_000
LONGEST_TAIL_S = 120.0
LATE_TICK_S = 0.05

Create = Callable[..., types.Dispatcher]
Work = Callable[[], None]


class DispatcherPlayer:
    """One replay.

    Attributes:
        log: What happened so far.
        now: Time of the replay.
        behaviours: How servers answer, by name.
        attempts: Running tries and their calls, by the dispatcher's number.
        busy: When each slot of a server is free, as a heap, by server.
        tick_after_s: Time by which a tick of the player's own comes later
            than it is due, so that a recorded one comes first.
    """

    def __init__(self, header: inputs.Header, create: Create) -> None:
        self.log = call_log.CallLog()
        self.now = header.start
        self.header = header
        self.service = header.service
        self.servers = header.servers
        self.behaviours: dict[str, inputs.Behaves] = {}
        self.attempts: dict[int, tuple[int, call_log.Try]] = {}
        self.recorded: dict[tuple[int, int], int] = {}
        self.charges: list[bool] = []
        self.probed_at = -float("inf")
        self.busy: dict[str, list[float]] = {}
        self.tick_after_s = 0.0
        self.work: list[tuple[float, int, Work]] = []
        self.order = itertools.count()
        self.dispatcher = create(
            header.service,
            header.servers,
            header.daemon,
            header.zone,
            header.seed,
            header.start,
            self._charge,
        )

    def add(self, at: float, item: Any) -> None:
        """Plans a typed input; a server's behaviour precedes other inputs."""
        match item:
            case inputs.Calls():
                for index in range(item.count):
                    self._plan_call(at + index * item.every_s, item, index)
            case inputs.Tick():
                self.tick_after_s = LATE_TICK_S
                self.at(at, lambda: self._input(item))
            case inputs.Charged():
                self.charges.append(item.granted)
            case _:
                self.at(at, lambda: self._input(item))

    def at(self, when: float, work: Work) -> None:
        """Plans work at a time."""
        heapq.heappush(self.work, (when, next(self.order), work))

    def run(self) -> call_log.CallLog:
        """Runs until nothing is left to do."""
        end = max((when for when, _, _ in self.work), default=self.now)
        for _ in range(MOST_STEPS):
            due = self._next_due()
            if due is None or due > end + LONGEST_TAIL_S:
                break
            self._step(due)
        else:
            raise traces.TraceError("The replay does not come to an end.")
        self.log.ended_at = self.now
        return self.log

    def _next_due(self) -> float | None:
        tick = self.dispatcher.next_tick()
        if tick is not None:
            tick += self.tick_after_s
        planned = self.work[0][0] if self.work else None
        times = [when for when in (tick, planned) if when is not None]
        return max(min(times), self.now) if times else None

    def _step(self, due: float) -> None:
        self.now = due
        if self.work and self.work[0][0] <= due:
            _, _, work = heapq.heappop(self.work)
            work()
        else:
            self._perform(self.dispatcher.tick(self.now))

    def _plan_call(self, at: float, calls: inputs.Calls, index: int) -> None:
        item = inputs.Submit(
            calls.first + index,
            calls.idempotent,
            at + calls.patience_s,
            calls.replayable,
        )
        self.at(at, lambda: self._input(item))

    def _input(self, item: Any) -> None:
        dispatcher = self.dispatcher
        match item:
            case inputs.Submit():
                self._submit(types.Call(*item))
            case inputs.Head():
                self._recorded_head(item)
            case inputs.Done(call, number):
                attempt_id = self.recorded.get((call, number), 0)
                self._done(attempt_id)
            case inputs.Cancel(call):
                self._cancel_call(call)
            case inputs.Reported():
                self._reported(item.server, types.LoadReport(*item[1:]))
            case inputs.ProbeFailed(server):
                self._perform(dispatcher.probe_failed(server, self.now))
            case inputs.Members(alive):
                dispatcher.members(alive, self.now)
            case inputs.Configure(service, servers):
                self._configure(service, servers)
            case inputs.Tick():
                self._perform(dispatcher.tick(self.now))
            case inputs.Behaves():
                self.behaviours[item.server] = item

    def _submit(self, call: types.Call) -> None:
        if call.call_id in self.log.calls:
            raise traces.TraceError(f"Call {call.call_id} occurs twice.")
        record = call_log.CallRecord(call, self.now)
        self.log.calls[call.call_id] = record
        self._perform(self.dispatcher.submit(call, self.now))

    def _cancel_call(self, call: int) -> None:
        record = self.log.calls.get(call)
        if record is None or record.endings:
            return
        record.cancelled = True
        record.endings += 1
        self._perform(self.dispatcher.cancel(call, self.now))

    def _configure(
        self, service: Any, servers: tuple[types.ServerState, ...]
    ) -> None:
        self.service = service
        self.servers = servers
        self._perform(self.dispatcher.configure(service, servers, self.now))

    def _reported(self, server: str, report: types.LoadReport) -> None:
        self._perform(self.dispatcher.report(server, report, self.now))

    def _leave(self, server: str) -> None:
        """Gives a server that says it drains nothing new, as the proxy does.

        In a recording the proxy's own input follows instead.
        """
        servers = tuple(
            item._replace(leaving=True) if item.name == server else item
            for item in self.servers
        )
        if servers != self.servers:
            self._configure(self.service, servers)

    def _charge(self, now: float) -> bool:
        if self.charges:
            return self.charges.pop(0)
        pause = self.header.probe_every_s
        if not pause or now - self.probed_at < pause:
            return False
        self.probed_at = now
        return True

    def _perform(self, actions: list[types.Action]) -> None:
        for action in actions:
            match action:
                case types.Start():
                    self._start(action)
                case types.Relay(call_id, attempt_id):
                    self._relay(call_id, attempt_id)
                case types.Cancel(attempt_id):
                    self._cancel_try(attempt_id)
                case types.Refuse():
                    self._refuse(action)
                case types.Probe(server):
                    self._probe(server)

    def _start(self, action: types.Start) -> None:
        record = self.log.calls[action.call_id]
        item = call_log.Try(
            action.attempt_id, action.server, self.now, action.hedge
        )
        record.tries.append(item)
        self.attempts[action.attempt_id] = (action.call_id, item)
        number = len(record.tries)
        self.recorded[action.call_id, number] = action.attempt_id
        behaviour = self.behaviours.get(action.server)
        if behaviour is not None and not behaviour.silent:
            result = behaviour.result()
            when = self._slot_free_at(behaviour) + behaviour.answer_s
            self.at(when, lambda: self._answer(action.attempt_id, result))
            if result.ok:
                when += behaviour.body_s
                self.at(when, lambda: self._done(action.attempt_id))

    def _slot_free_at(self, behaviour: inputs.Behaves) -> float:
        """Takes a slot of a server; returns when it is free."""
        if not behaviour.slots:
            return self.now
        busy = self.busy.setdefault(behaviour.server, [])
        while len(busy) < behaviour.slots:
            busy.append(self.now)
        begin = max(self.now, heapq.heappop(busy))
        heapq.heappush(busy, begin + behaviour.answer_s + behaviour.body_s)
        return begin

    def _recorded_head(self, head: inputs.Head) -> None:
        attempt_id = self.recorded.get((head.call, head.attempt), 0)
        if attempt_id in self.attempts:
            self.attempts[attempt_id][1].recorded = head.server
            self._head(attempt_id, head.result())

    def _head(self, attempt_id: int, result: types.AttemptResult) -> None:
        found = self.attempts.get(attempt_id)
        if found is None or found[1].over:
            return
        item = found[1]
        item.result = result
        if not result.ok:
            item.over = True
            del self.attempts[attempt_id]
        self._perform(
            self.dispatcher.attempt_head(attempt_id, result, self.now)
        )

    def _answer(self, attempt_id: int, result: types.AttemptResult) -> None:
        server = self._server_of(attempt_id)
        self._head(attempt_id, result)
        if server and result.report is not None and result.report.draining:
            self._leave(server)

    def _server_of(self, attempt_id: int) -> str:
        found = self.attempts.get(attempt_id)
        return found[1].server if found else ""

    def _done(self, attempt_id: int) -> None:
        found = self.attempts.pop(attempt_id, None)
        if found is None:
            return
        found[1].over = True
        self._perform(self.dispatcher.attempt_done(attempt_id, self.now))

    def _relay(self, call_id: int, attempt_id: int) -> None:
        del attempt_id
        record = self.log.calls[call_id]
        record.answered_at = self.now
        record.endings += 1

    def _cancel_try(self, attempt_id: int) -> None:
        found = self.attempts.pop(attempt_id, None)
        if found is not None:
            found[1].over = True

    def _refuse(self, action: types.Refuse) -> None:
        record = self.log.calls[action.call_id]
        record.failure = action.failure
        record.refused_at = self.now
        record.endings += 1

    def _probe(self, server: str) -> None:
        self.log.probes.append((self.now, server))
        behaviour = self.behaviours.get(server)
        if behaviour is None or behaviour.silent:
            return
        self.at(self.now + behaviour.answer_s, lambda: self._probed(behaviour))

    def _probed(self, behaviour: inputs.Behaves) -> None:
        if behaviour.error:
            actions = self.dispatcher.probe_failed(behaviour.server, self.now)
            self._perform(actions)
            return
        report = behaviour.load("probe") or types.LoadReport(0, source="probe")
        self._reported(behaviour.server, report)
        if report.draining:
            self._leave(behaviour.server)


def play(
    trace: traces.Trace, create: Create = adaptive.create
) -> tuple[traces.Result, ...]:
    """Replays a trace and checks its stated outcomes.

    Args:
        trace: The trace.
        create: Makes the dispatcher; see `routing.types.Dispatcher`.

    Raises:
        TraceError: The trace is not valid.
    """
    header = traces.from_fields(trace.header, inputs.Header, "Line 1")
    player = DispatcherPlayer(header, create)
    for line, item in traces.typed_lines(trace.inputs, inputs.INPUTS):
        try:
            _check_names(item)
        except ValueError as error:
            raise traces.TraceError(f"Line {line.number}: {error}.") from error
        player.add(line.at, item)
    log = player.run()
    expectations = dispatcher_expectations.EXPECTATIONS
    try:
        return traces.check(trace, expectations, log)
    except LookupError as error:
        raise traces.TraceError(f"An expectation fails: {error}.") from error


def _check_names(item: Any) -> None:
    if isinstance(item, inputs.Head | inputs.Behaves):
        item.result()
