"""Handles one call: its route, its attempts at servers and its response."""

import asyncio

from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.gateway import (
    allowances,
    attempts,
    call_events,
    crash_detection,
    events,
    exchange,
    forwarding,
    probing,
    progress,
    protocols,
    refusals,
    replies,
    requests,
    routes,
    server_choice,
    target_choice,
    types,
)
from banyantiller.gateway.decisions import budget, hedging, precedence

# With less time left, a server could not execute the request.
MIN_REMAINING_S = 0.01
# Servers that crashed while they executed a request, in this call or in earlier
# ones, after which the call is not sent to another server.
MAX_CRASHES_BEFORE_ATTEMPT = 2


class Call:
    """A request that was read completely.

    Attributes:
        request: The request.
        route: Its route, or None.
        service: Name of the service that it is routed to.
        route_table: Routes that apply, or None before the first document.
        organisation: Organisation that holds the caller's key, or None.
        admission: Grant within the allowance of that organisation.
        urgent: Whether its priority is the most urgent of the service.
        rank: Rank of its priority among those of the document.
        elapsed_s: Time from the caller's first try to the arrival of this one,
            in seconds; 0 if unknown.
        returned: Whether the caller came back after a rejection.
        deadline: Loop time at which it fails for lack of a response.
        progress: State that is logged when the call ends.
        attempted: Instances of the servers that were tried so far.
        attempts: Attempts that are running.
        hedging_stopped: Whether no hedge may be started any more.
        hedging_early: Whether the next hedge is started before the first
            attempt is late.
        next_hedge_at: Loop time before which no hedge is started.
        server_suspected: Whether the server or daemon of the running attempt
            did not respond to a probe.
        failed_response: Last 5xx response of a server, forwarded if no other
            server responds successfully.
        shortage: Why no server could be chosen last.
        by_peer: Refusal by the last daemon that it was forwarded to, or None.
        forwarded_by: Name of the daemon that forwarded it here; empty for a
            call of a caller of this daemon.
        rejection_reported: Whether a relay was asked about that.
    """

    def __init__(
        self, gateway: protocols.CallContext, request: requests.Request
    ) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.request = request
        self.progress = progress.Progress()
        self.service = ""
        self.deadline = request.received + gateway.default_timeout_s
        self.attempted: set[str] = set()
        self.attempts: list[attempts.RunningAttempt] = []
        self.hedging_stopped = False
        self.hedging_early = False
        self.next_hedge_at = 0.0
        self.server_suspected = False
        self.failed_response: exchange.CompleteResponse | None = None
        self.outgoing = request.outgoing(gateway.adapter.wire)
        self.route_table: routes.RouteTable | None = None
        self.version = 0
        self.route: types.Route | None = None
        self.organisation: types.Organisation | None = None
        self.admission = allowances.UNLIMITED
        self.urgent = False
        self.rank = precedence.ONLY_RANK
        self.elapsed_s = 0.0
        self.returned = False
        self.shortage = server_choice.Shortage.NOT_REGISTERED
        self.by_peer: exchange.RefusedByPeer | None = None
        self.forwarded_by = ""
        self.rejection_reported = False

    def look_up_route(self) -> None:
        """Sets route, organisation and deadline from the document in force.

        Called again until the call runs: a call that waits behind another on
        its connection uses the document that is in force when it starts. If
        the route were looked up only when the request is read, callers of a
        daemon that is starting would get 404 for routes in force.
        """
        request = self.request
        self.route_table = self.gateway.store_view.routes
        if self.route_table is None:
            return
        self.version = self.route_table.document.version
        self.route = self.route_table.find(request.host, request.target)
        self.organisation = self.route_table.organisations.get(
            request.key_digest
        )
        self.outgoing = request.outgoing(
            self.gateway.adapter.wire, self.organisation
        )
        if self.route is not None:
            self.urgent = self.route_table.is_urgent(
                self.route, self.organisation
            )
            self.rank = self.route_table.rank(self.route, self.organisation)
            timeout_s = self.route.timeout_s
            if request.remaining_s is not None:
                timeout_s = min(timeout_s, request.remaining_s)
            self.deadline = request.received + timeout_s

    @property
    def idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.route is not None and self.route.idempotent

    async def run(self) -> replies.Reply:
        """Runs the call and returns the reply for the caller."""
        try:
            reply = await self._serve()
        except asyncio.CancelledError:
            self._record_end(0, ErrorKind.CALLER_GONE)
            raise
        except Exception:
            fault = call_events.InternalError(self.request.request_id)
            events.emit(fault, exc_info=True)
            reply = self._fail(Failure(ErrorKind.INTERNAL))
        self._record_end(reply.status, self.progress.error)
        return reply

    async def _serve(self) -> replies.Reply:
        if not self.gateway.store_view.complete.is_set():
            await self.gateway.store_view.wait_for_first_read()
        if self.route is None:
            self.look_up_route()
        if self.route is None:
            return self._fail(
                self.gateway.store_view.refusal_of(ErrorKind.UNKNOWN_SERVICE)
            )
        if not self.forwarded_by:
            if not self.route_table.admits(self.route, self.organisation):
                return self._fail(
                    self.gateway.store_view.refusal_of(ErrorKind.UNKNOWN_KEY)
                )
            refusal = await self._claim_allowance()
            if refusal is not None:
                return self._fail(refusal)
            self.service = self.route_table.choose_service(self.route)
            now = self.loop.time()
            self.gateway.budget_of(self.service).record_request(now)
            self._note_elapsed(now)
            service = self.route_table.document.services[self.service]
        else:
            service = self.gateway.store_view.service(self.service)
        if service is None:
            return self._end_without_server()
        try:
            async with asyncio.timeout_at(self.deadline):
                if self.route.large_responses and self.gateway.shares_load():
                    return await self._run_large(service)
                return await self._run_attempts(service)
        except TimeoutError:
            if self.progress.maybe_ran:
                return self._fail(Failure(ErrorKind.DEADLINE_AFTER_START))
            kind = ErrorKind.DEADLINE_UNREACHABLE
            return self._fail(refusals.with_retry_after(self, kind))

    def _note_elapsed(self, now: float) -> None:
        """Notes what the caller's stated time tells about earlier tries."""
        if not self.gateway.shares_load():
            return
        found = self.gateway.caller_budgets.record(
            self.route.name, self.request.remaining_s, self.route.timeout_s, now
        )
        self.elapsed_s = found.before_s
        self.returned |= found.returned
        if self.returned:
            self.gateway.return_watches[self.service].record_returned()

    async def _claim_allowance(self) -> Failure | None:
        """Returns the failure of a call beyond its organisation's allowance."""
        service = ""
        if self.gateway.shares_load():
            service = routes.main_service(self.route)
        self.admission = await self.gateway.allowances.admit(
            self.organisation, service
        )
        if self.admission.error_kind is None:
            return None
        self.progress.reason = self.admission.reason
        return Failure(
            self.admission.error_kind, retry_after=self.admission.retry_after_s
        )

    async def _run_large(self, service: types.Service) -> replies.Reply:
        """Runs a call with a large response once the link has room for it."""
        usual_s = self.gateway.durations.usual_s(
            self.route.name, self.route.objective_s
        )
        chooser = self.gateway.chooser
        transfer = await self.gateway.transfers.admit(
            self.route,
            usual_s,
            lambda: min(self.deadline, chooser.drain_ends_at),
        )
        if isinstance(transfer, Failure):
            self.progress.reason = transfer.detail
            return self._fail(transfer)
        size, successful = 0, False
        try:
            reply = await self._run_attempts(service)
            size = len(reply.body)
            successful = self.progress.error is None and reply.status < 300
        finally:
            transfer.end(size, successful)
        return reply

    async def _run_attempts(self, service: types.Service) -> replies.Reply:
        """Sends to servers until one responds, with one hedge at most."""
        try:
            while True:
                if not self.attempts or self._hedge_is_due():
                    reply = await self._start_attempt(service)
                    if reply is not None:
                        return reply
                reply = self._process_outcomes(
                    await self._wait_for_attempts(service)
                )
                if reply is not None:
                    return reply
        finally:
            for attempt in self.attempts:
                self.progress.maybe_ran |= attempt.sent
                await attempt.cancel()

    async def _start_attempt(
        self, service: types.Service
    ) -> replies.Reply | None:
        """Starts one more attempt.

        Returns:
            The reply that ends the call if neither a new nor a running
            attempt is left, or None.
        """
        is_hedge = bool(self.attempts)
        if self.progress.sends and not is_hedge:
            await self._check_returned()
        sends_left = self.progress.sends < self.route.max_attempts
        too_late = not self.progress.sends and refusals.is_too_late_to_start(
            self
        )
        if self._is_quarantined() or not sends_left or too_late:
            self.hedging_stopped = True
            return None if is_hedge else self._end_without_server()
        if not is_hedge and target_choice.is_hopeless(self):
            return self._reject_hopeless()
        target = await self._choose_target(service, is_hedge)
        if target is None:
            if not is_hedge:
                await self._check_returned()
            self.next_hedge_at = self.loop.time() + hedging.RECHECK_PAUSE_S
            return None if is_hedge else self._end_without_server()
        if self._is_quarantined() or not self._can_send(is_hedge):
            if isinstance(target, probing.Candidate):
                self.gateway.prober.release([target])
            # A late request may still be hedged.
            self.hedging_stopped = not self.hedging_early
            return None if is_hedge else self._end_without_server()
        if isinstance(target, probing.Candidate):
            self.attempted.add(target.entry.server.instance)
            self.attempts.append(attempts.Attempt(self, target))
        else:
            self.progress.peers.append(target)
            self.attempts.append(forwarding.ForwardedAttempt(self, target))
        return None

    async def _choose_target(
        self, service: types.Service, is_hedge: bool
    ) -> probing.Candidate | str | None:
        """Returns a server, or the address of a daemon, or None."""
        choice = await target_choice.choose_server(self, service, is_hedge)
        if isinstance(choice, probing.Candidate):
            return choice
        self.shortage = choice
        return await target_choice.choose_peer(self, choice)

    async def _check_returned(self) -> None:
        """Asks once whether the caller of a rejected request came back.

        The daemon that forwarded a call asks for it.
        """
        if self.rejection_reported or self.progress.maybe_ran:
            return
        if self.forwarded_by or not self.gateway.shares_load():
            return
        self.rejection_reported = True
        remaining_s = self.deadline - self.loop.time() - MIN_REMAINING_S
        found = await self.gateway.returning_callers.seen_before(
            self.request.fingerprint, self.service, remaining_s
        )
        if found is not None:
            self.returned = found

    def _can_send(self, is_hedge: bool) -> bool:
        if self.progress.sends == 0:
            return not refusals.is_too_late_to_start(self)
        if self.progress.sends >= self.route.max_attempts:
            return False
        retries = self.gateway.budget_of(self.service)
        share = self._hedge_share() if is_hedge else self._retry_share(retries)
        if retries.try_spend(self.loop.time(), share):
            if is_hedge and self.hedging_early:
                self._count_decision("hedged_early", "slow_server")
            return True
        if is_hedge:
            return False
        if share < 1 and retries.may_spend(self.loop.time()):
            self.gateway.return_watches[self.service].record_refused()
            self._count_decision("retry_reserved", "service_rejects")
        elif retries.should_report_spent(self.loop.time()):
            events.emit(
                call_events.BudgetSpent(
                    id=self.request.request_id,
                    service=self.service,
                    used=len(retries.retries),
                    most=round(retries.max_retries, 1),
                    share=round(self.gateway.share(), 4),
                )
            )
        return False

    def _hedge_share(self) -> float:
        """Returns the share of the retry budget that a hedge may use up."""
        if self.hedging_early:
            return precedence.EARLY_HEDGE_BUDGET_SHARE
        return hedging.BUDGET_SHARE

    def _retry_share(self, retries: budget.RetryBudget) -> float:
        """Returns the share of the retry budget that a retry may use up."""
        now = self.loop.time()
        load = self.gateway.shared_load(self.service, now)
        if load is None:
            return 1.0
        watch = self.gateway.return_watches[self.service]
        if self.returned:
            watch.record_returned()
        callers_return = self.gateway.returning_callers.callers_return()
        if not watch.may_reserve or not callers_return:
            return 1.0
        return precedence.retry_share(
            target_choice.cost_of(self, now),
            load,
            retries.retries_per_request,
            self.route.max_attempts,
            watch.window_left(retries.window_s, now),
        )

    def _count_decision(self, decision: str, reason: str) -> None:
        self.progress.decision = decision
        self.gateway.tallies.record_precedence(self.service, decision, reason)

    def _hedge_is_due(self) -> bool:
        """Returns whether the running attempt is slow enough for a hedge.

        Only idempotent requests are hedged. Any other request may not be
        executed twice, so the only option is to wait for its response.
        """
        if (
            self.hedging_stopped
            or not self.idempotent
            or len(self.attempts) > 1
        ):
            return False
        if self.gateway.crash_detector.tracker.is_suspect(
            self.request.fingerprint
        ):
            return False
        if self.progress.sends >= self.route.max_attempts:
            return False
        if self.loop.time() < self.next_hedge_at:
            return False
        first = self._first_attempt()
        self.hedging_early = False
        if hedging.should_hedge(first):
            return True
        self.hedging_early = self._may_hedge_early(first.waited_s)
        return self.hedging_early

    def _may_hedge_early(self, waited_s: float) -> bool:
        """Returns whether a slow attempt may be hedged before it is late."""
        now = self.loop.time()
        load = self.gateway.shared_load(self.service, now)
        if load is None or self.attempts[0].entry is None:
            return False
        retries = self.gateway.budget_of(self.service)
        cost = target_choice.cost_of(self, now)
        return precedence.may_hedge(cost, load, waited_s) and retries.may_spend(
            now, precedence.EARLY_HEDGE_BUDGET_SHARE
        )

    def _first_attempt(self) -> hedging.FirstAttempt:
        first = self.attempts[0]
        return hedging.FirstAttempt(
            self.loop.time() - first.started_at,
            self.route.objective_s,
            self.server_suspected,
            first.probed,
        )

    async def _wait_for_attempts(
        self, service: types.Service
    ) -> list[attempts.RunningAttempt]:
        """Waits until an attempt ends or the next hedging check is due."""
        tasks = {attempt.task for attempt in self.attempts}
        if not tasks:
            return []
        wake_s, check = self._next_wake(self._first_attempt())
        await asyncio.wait(
            tasks, timeout=wake_s, return_when=asyncio.FIRST_COMPLETED
        )
        finished = [attempt for attempt in self.attempts if attempt.task.done()]
        if not finished and check:
            await self._check_slow_attempt(service)
        return finished

    def _next_wake(self, first: hedging.FirstAttempt) -> tuple[float, bool]:
        """Returns the time until a hedge is considered, in seconds.

        The second value says whether the attempt is checked then.
        """
        hedgeable = self.idempotent and not self.hedging_stopped
        now = self.loop.time()
        if (
            not hedgeable
            or len(self.attempts) > 1
            or hedging.should_hedge(first)
            or self.gateway.shared_load(self.service, now) is None
        ):
            return hedging.recheck_after_s(first), True
        return precedence.next_wake(first, target_choice.cost_of(self, now))

    async def _check_slow_attempt(self, service: types.Service) -> None:
        """Checks whether the only attempt waits for something that is gone.

        The attempt continues in any case: the check may fail although the
        response to the request arrives.
        """
        if self.server_suspected or len(self.attempts) != 1:
            return
        attempt = self.attempts[0]
        attempt.probed = True
        # For a server, the result matters only to a hedge.
        hedgeable = self.idempotent and not self.hedging_stopped
        if attempt.entry is not None and not hedgeable:
            return
        self.server_suspected = not await attempt.is_responsive(service)

    def _process_outcomes(
        self, finished: list[attempts.RunningAttempt]
    ) -> replies.Reply | None:
        """Processes ended attempts; returns the reply if there is one."""
        for attempt in finished:
            self.attempts.remove(attempt)
            outcome = attempt.finish()
            if isinstance(outcome, exchange.CompleteResponse):
                if not self._should_retry(outcome):
                    return self._forward_response(outcome)
                self.failed_response = outcome
                self.progress.maybe_ran = True
            elif isinstance(outcome, exchange.BrokenResponse):
                self.progress.maybe_ran = True
                if not self.idempotent or self._crashed_too_many(
                    attempt, outcome
                ):
                    return self._fail(Failure(outcome.kind))
            elif outcome == exchange.NotRun(ErrorKind.CONNECT_FAILED):
                self.gateway.reachability.check(self.service)
            elif isinstance(outcome, exchange.RefusedByPeer):
                self.by_peer = outcome
                # Another attempt may still be running at a server.
                if forwarding.is_final(outcome) and not self.attempts:
                    return self._end_without_server()
        return None

    def _is_quarantined(self) -> bool:
        """Returns whether the request is quarantined for crashing servers.

        Checked before each attempt: otherwise every daemon would crash more
        servers with the same request.
        """
        return self._quarantine_left_s() is not None

    def _quarantine_left_s(self) -> float | None:
        """Returns the rest of the quarantine in seconds, or None."""
        return self.gateway.crash_detector.tracker.quarantine_left_s(
            self.request.fingerprint, self.loop.time()
        )

    def _crashed_too_many(
        self, attempt: attempts.RunningAttempt, broken: exchange.BrokenResponse
    ) -> bool:
        """Returns whether too many servers crashed for another attempt.

        After one crash the request most likely was not the cause. After a
        second one, another attempt would risk crashing a further server.
        """
        if attempt.entry is None:
            return False
        if broken.kind is not ErrorKind.CONNECTION_LOST:
            return False
        incarnation = crash_detection.incarnation_id(attempt.entry.server)
        crashes = self.gateway.crash_detector.tracker.count_crashes(
            self.request.fingerprint, incarnation
        )
        return crashes >= MAX_CRASHES_BEFORE_ATTEMPT

    def _should_retry(self, response: exchange.CompleteResponse) -> bool:
        """Returns whether a 5xx response should be retried elsewhere."""
        return (
            response.status >= 500
            and self.idempotent
            and self.progress.sends < self.route.max_attempts
            and self.deadline - self.loop.time() > MIN_REMAINING_S
        )

    def _forward_response(
        self, response: exchange.CompleteResponse
    ) -> replies.Reply:
        return replies.Reply(
            response.status, response.headers, response.body, response.length
        )

    def _reject_hopeless(self) -> replies.Reply:
        """Returns the reply to a call that can't be served in time."""
        if self.failed_response is not None or self.progress.maybe_ran:
            return self._end_without_server()
        self._count_decision("rejected_early", "deadline")
        self.progress.reason = "too_late"
        return self._fail(
            refusals.with_retry_after(self, ErrorKind.DEADLINE_UNREACHABLE)
        )

    def _end_without_server(self) -> replies.Reply:
        """Returns the reply when no further attempt can be started."""
        if self.failed_response is not None:
            return self._forward_response(self.failed_response)
        if self.progress.maybe_ran:
            return self._fail(Failure(ErrorKind.CONNECTION_LOST))
        wait_s = self._quarantine_left_s()
        if wait_s is not None:
            return self._fail(Failure(ErrorKind.QUARANTINED, "", wait_s))
        return self._fail(
            refusals.failure_without_server(self, self.shortage, self.by_peer)
        )

    def _fail(self, failure: Failure) -> replies.Reply:
        self.progress.error = failure.error_kind
        self.progress.retry_after_s = failure.retry_after
        ran = Ran.UNKNOWN if self.progress.maybe_ran else failure.response.ran
        return replies.from_failure(failure, ran, self.gateway.settings.daemon)

    def _record_end(self, status: int, error: ErrorKind | None) -> None:
        if error is not None and not self.progress.maybe_ran:
            self.gateway.allowances.give_back(self.organisation, self.admission)
        if self.rejection_reported and error is None and status < 500:
            self.gateway.returning_callers.report_served(
                self.request.fingerprint
            )
        self.gateway.record_call(self, status, error)
