"""One request: its route, its tries at servers, and its answer."""

import asyncio
import math

from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.gateway import (
    attempts,
    call_events,
    crash_detection,
    events,
    exchange,
    probing,
    progress,
    protocols,
    replies,
    routes,
    server_choice,
    types,
)
from banyantiller.gateway import requests as reading
from banyantiller.gateway.decisions import hedging, retry_after, waiting

# Less time than this is too little to run anything.
MIN_TIME_S = 0.01
# Servers that ended with a request on them, in this call or before, after which
# a call is not sent to another one.
MAX_CRASHES_BEFORE_ATTEMPT = 2


class Call:
    """A request that was read whole.

    Attributes:
        request: The request.
        route: Its route, or None.
        service: Name of the service that takes it.
        table: Routes that it is served by, or None before the first document.
        urgent: Whether its route is among the most urgent of the service.
        deadline: Loop time at which it ends unanswered.
        progress: How far it has come.
        attempted: Servers that it was sent to or that turned it away.
        attempts: Tries that are running.
        sole: Whether no further server may be tried beside the running one.
        next_second: Loop time from which a second server is looked for.
        suspected: Whether the server of the running try seems to be dead.
        failed_answer: A server's own failure, in case no other does better.
    """

    def __init__(
        self, gateway: protocols.CallContext, request: reading.Request
    ) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.request = request
        self.progress = progress.Progress()
        self.service = ""
        self.deadline = request.received + gateway.default_timeout_s
        self.attempted: set[str] = set()
        self.attempts: list[attempts.Attempt] = []
        self.sole = False
        self.next_second = 0.0
        self.suspected = False
        self.failed_answer: exchange.CompleteResponse | None = None
        self.outgoing = request.outgoing(gateway.adapter.wire)
        self.table: routes.RouteTable | None = None
        self.version = 0
        self.route: types.Route | None = None
        self.urgent = False

    def look_up_route(self) -> None:
        """Takes routes, its route and its timeout from the document in force.

        Called again until the call runs: one that waits behind another on its
        connection is served by the document in force when its turn comes. If
        it is looked up only when the request is read, callers of daemons that
        start get 404 for routes in force.
        """
        request = self.request
        self.table = self.gateway.store_view.routes
        if self.table is None:
            return
        self.version = self.table.document.version
        self.route = self.table.find(request.host, request.target)
        if self.route is not None:
            self.urgent = self.route.name in self.table.urgent
            timeout_s = self.route.timeout_s
            if request.remaining_s is not None:
                timeout_s = min(timeout_s, request.remaining_s)
            self.deadline = request.received + timeout_s

    @property
    def idempotent(self) -> bool:
        """Whether it may be executed more than once."""
        return self.route is not None and self.route.idempotent

    async def run(self) -> replies.Reply:
        """Returns the answer for the caller; the call is then over."""
        try:
            reply = await self._answer()
        except asyncio.CancelledError:
            self._finish(0, ErrorKind.CALLER_GONE)
            raise
        except Exception:
            fault = call_events.CallFault(self.request.request_id)
            events.emit(fault, exc_info=True)
            reply = self._fail(ErrorKind.INTERNAL)
        self._finish(reply.status, self.progress.error)
        return reply

    async def _answer(self) -> replies.Reply:
        if not self.gateway.store_view.complete.is_set():
            await self.gateway.store_view.wait_for_first_read()
        if self.route is None:
            self.look_up_route()
        if self.route is None:
            failure = self.gateway.store_view.refusal_of(
                ErrorKind.UNKNOWN_SERVICE
            )
            return self._fail(failure.error_kind, failure.retry_after)
        self.service = self.table.choose_service(self.route)
        self.gateway.budget_of(self.service).record_request(self.loop.time())
        try:
            async with asyncio.timeout_at(self.deadline):
                return await self._try_servers(self.table)
        except TimeoutError:
            if self.progress.maybe_ran:
                return self._fail(ErrorKind.DEADLINE_AFTER_START)
            return self._refuse(ErrorKind.DEADLINE_UNREACHABLE)

    async def _try_servers(self, table: routes.RouteTable) -> replies.Reply:
        """Tries servers until one answers; a second one may run beside."""
        service = table.document.services[self.service]
        try:
            while True:
                if not self.attempts or self._second_is_due():
                    reply = await self._start_another(service)
                    if reply is not None:
                        return reply
                reply = self._take(await self._next_ended(service))
                if reply is not None:
                    return reply
        finally:
            for attempt in self.attempts:
                self.progress.maybe_ran |= attempt.sent
                await attempt.cancel()

    async def _start_another(
        self, service: types.Service
    ) -> replies.Reply | None:
        """Sends to one more server; returns an answer if that can't be."""
        beside = bool(self.attempts)
        if self._is_quarantined():
            self.sole = True
            return None if beside else self._give_up()
        candidate = await self._choose(service, beside)
        if candidate is None:
            self.next_second = self.loop.time() + hedging.RETRY_PAUSE_S
            return None if beside else self._give_up()
        if self._is_quarantined() or not self._may_send(beside):
            self.gateway.prober.release([candidate])
            self.sole = True
            return None if beside else self._give_up()
        self.attempted.add(candidate.entry.server.instance)
        self.attempts.append(attempts.Attempt(self, candidate))
        return None

    async def _choose(
        self, service: types.Service, beside: bool
    ) -> probing.Candidate | None:
        """Finds a server; one that is tried beside another must be good."""
        now = self.loop.time()
        objective_s = self.route.objective_s
        in_time = now < self.request.received + objective_s
        usual_s = self.gateway.durations.usual_s(self.route.name, objective_s)
        limits = waiting.wait_limits(objective_s, usual_s, self.urgent, now)
        self.progress.usual_s = usual_s
        wanted = server_choice.SelectionRequest(
            self.route,
            service,
            waiting.no_wait(now) if beside else limits,
            frozenset(self.attempted),
            hedging.MAX_SCORE if beside and in_time else math.inf,
        )
        return await self.gateway.chooser.choose(wanted)

    def _may_send(self, beside: bool) -> bool:
        if self.progress.sends == 0:
            return True
        if self.progress.sends >= self.route.max_attempts:
            return False
        budget = self.gateway.budget_of(self.service)
        share = hedging.BUDGET_SHARE if beside else 1.0
        if budget.try_spend(self.loop.time(), share):
            return True
        if not beside and budget.should_report_spent(self.loop.time()):
            events.emit(
                call_events.BudgetSpent(
                    id=self.request.request_id,
                    service=self.service,
                    used=len(budget.retries),
                    most=round(budget.max_retries, 1),
                    share=round(self.gateway.share(), 4),
                )
            )
        return False

    def _second_is_due(self) -> bool:
        """Tells whether the running try has taken so long that another runs.

        Only where the request may be executed again: of any other request the
        answer may still come, and nothing better can be done.
        """
        if self.sole or not self.idempotent or len(self.attempts) > 1:
            return False
        if self.gateway.crash_detector.watch.is_suspect(
            self.request.fingerprint
        ):
            return False
        if self.progress.sends >= self.route.max_attempts:
            return False
        late = hedging.should_hedge(self._first())
        return late and self.loop.time() >= self.next_second

    def _first(self) -> hedging.FirstAttempt:
        waited_s = self.loop.time() - self.attempts[0].started_at
        return hedging.FirstAttempt(
            waited_s, self.route.objective_s, self.suspected
        )

    async def _next_ended(
        self, service: types.Service
    ) -> list[attempts.Attempt]:
        """Waits until a try ends or it is time to look again."""
        tasks = {attempt.task for attempt in self.attempts}
        if not tasks:
            return []
        look_s = hedging.recheck_after_s(self._first())
        await asyncio.wait(
            tasks, timeout=look_s, return_when=asyncio.FIRST_COMPLETED
        )
        ended = [attempt for attempt in self.attempts if attempt.task.done()]
        if not ended and self.idempotent:
            await self._doubt(service)
        return ended

    async def _doubt(self, service: types.Service) -> None:
        """Asks the server of the only try whether it lives.

        The try goes on in any case: the question may be lost where the answer
        is not.
        """
        if self.sole or self.suspected or len(self.attempts) != 1:
            return
        entry = self.attempts[0].entry
        if not entry.usable(self.loop.time()):
            return
        found = await self.gateway.prober.probe([entry], service.health_path)
        self.gateway.prober.release(found)
        if not found:
            self.suspected = True
            events.emit(
                call_events.ServerSuspected(
                    self.request.request_id, entry.server.instance
                )
            )

    def _take(self, ended: list[attempts.Attempt]) -> replies.Reply | None:
        """Takes the outcomes of tries; returns the answer, if there is one."""
        for attempt in ended:
            self.attempts.remove(attempt)
            outcome = attempt.finish()
            if isinstance(outcome, exchange.CompleteResponse):
                if not self._worth_another(outcome):
                    return self._relay(outcome)
                self.failed_answer = outcome
                self.progress.maybe_ran = True
            elif isinstance(outcome, exchange.BrokenResponse):
                self.progress.maybe_ran = True
                if not self.idempotent or self._ends_servers(attempt, outcome):
                    return self._fail(outcome.kind)
        return None

    def _is_quarantined(self) -> bool:
        """Tells whether it is refused since servers ended under it.

        Asked before each try: else every daemon ends servers with it anew.
        """
        return self._quarantine_s() is not None

    def _quarantine_s(self) -> float | None:
        """Returns how long it is still refused, in seconds, or None."""
        return self.gateway.crash_detector.watch.quarantine_left_s(
            self.request.fingerprint, self.loop.time()
        )

    def _ends_servers(
        self, attempt: attempts.Attempt, broken: exchange.BrokenResponse
    ) -> bool:
        """Tells whether too many servers ended under it for another try.

        With one, it most likely was only there; after a second, the next
        server would be risked for a request that perhaps ends it too.
        """
        if broken.kind is not ErrorKind.CONNECTION_LOST:
            return False
        lost = crash_detection.incarnation_id(attempt.entry.server)
        found = self.gateway.crash_detector.watch.count_crashes(
            self.request.fingerprint, lost
        )
        return found >= MAX_CRASHES_BEFORE_ATTEMPT

    def _worth_another(self, answer: exchange.CompleteResponse) -> bool:
        """Tells whether another server may do better than this failure."""
        return (
            answer.status >= 500
            and self.idempotent
            and self.progress.sends < self.route.max_attempts
            and self.deadline - self.loop.time() > MIN_TIME_S
        )

    def _relay(self, answer: exchange.CompleteResponse) -> replies.Reply:
        return replies.Reply(
            answer.status, answer.headers, answer.body, answer.length
        )

    def _give_up(self) -> replies.Reply:
        """Ends a call for which no further server is to be had."""
        if self.failed_answer is not None:
            return self._relay(self.failed_answer)
        if self.progress.maybe_ran:
            return self._fail(ErrorKind.CONNECTION_LOST)
        wait_s = self._quarantine_s()
        if wait_s is not None:
            return self._fail(ErrorKind.QUARANTINED, wait_s)
        now = self.loop.time()
        if self.gateway.store_view.table.all_evacuated(self.service, now):
            self.progress.reason = "zone_evacuated"
            return self._fail(
                ErrorKind.NO_SERVER, retry_after.EVACUATED_RETRY_AFTER_S
            )
        shed = self.progress.sends > 0
        kind = ErrorKind.BACKEND_SHED if shed else ErrorKind.NO_SERVER
        turn_in_s = self.gateway.chooser.seconds_until_turn(
            self.service, self.attempted
        )
        if 0 < turn_in_s < math.inf:
            self.progress.reason = "servers_limited"
            return self._fail(kind, retry_after.turn_retry_after_s(turn_in_s))
        return self._refuse(kind)

    def _refuse(self, kind: ErrorKind) -> replies.Reply:
        by_servers = kind is ErrorKind.BACKEND_SHED
        retry_after_s = retry_after.retry_after_s(
            self.gateway.random, by_servers
        )
        return self._fail(kind, retry_after_s)

    def _fail(
        self, kind: ErrorKind, retry_after_s: float | None = None
    ) -> replies.Reply:
        self.progress.error = kind
        failure = Failure(kind, retry_after=retry_after_s)
        ran = Ran.UNKNOWN if self.progress.maybe_ran else failure.response.ran
        return replies.from_failure(failure, ran, self.gateway.settings.daemon)

    def _finish(self, status: int, error: ErrorKind | None) -> None:
        self.gateway.record_call(self, status, error)
