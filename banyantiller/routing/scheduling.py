"""Lifecycle of calls: starting, queueing, retrying, hedging and refusing."""

from functools import partial

from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.routing import choice, feedback, refusal
from banyantiller.routing.calls import Attempt, CallState
from banyantiller.routing.service_state import ServiceState
from banyantiller.routing.timers import Timers
from banyantiller.routing.types import (
    Action,
    AttemptResult,
    Cancel,
    Refuse,
    Relay,
    Start,
)
from banyantiller.routing.views import ServerView

RETRIED_STATUSES = frozenset({502, 503, 504})
MIN_RECHECK_S = 0.002
MAX_RECHECK_S = 0.05
HEDGE_QUEUE_LIMIT = 0.5
NO_SERVER_RETRY_AFTER_S = 1.0


class CallScheduler:
    """The calls of one service that have no final response yet.

    Attributes:
        state: State of the service.
        calls: Calls without a final response, by number.
        attempts: Running attempts, by number.
        timers: Scheduled callbacks.
        recheck_at: Loop time of the next check of waiting calls, or None.
    """

    def __init__(self, state: ServiceState) -> None:
        self.state = state
        self.calls: dict[int, CallState] = {}
        self.attempts: dict[int, Attempt] = {}
        self.timers = Timers()
        self.recheck_at: float | None = None
        self.last_attempt_id = 0

    def admit(self, call: CallState, now: float) -> list[Action]:
        """Starts, queues or refuses a new call."""
        queue = self.state.waiting[call.group]
        if not queue.waiting:
            view = self._choose_server(call, now)
            if view is not None:
                self.timers.schedule(
                    call.deadline, partial(self._expire_call, call), call
                )
                return [self._start_attempt(call, view, now)]
        if not self.state.has_usable_server():
            return [
                self.refuse(call, ErrorKind.NO_SERVER, NO_SERVER_RETRY_AFTER_S)
            ]
        kind = refusal.early_refusal(self.state, call, queue, now)
        if kind is not None:
            wait = refusal.expected_wait_s(self.state, queue, now)
            return [self.refuse(call, kind, wait)]
        self.timers.schedule(
            call.deadline, partial(self._expire_call, call), call
        )
        wait_until = now + self.state.options.queue.longest_s
        if wait_until < call.deadline:
            self.timers.schedule(
                wait_until, partial(self._expire_wait, call), call
            )
        queue.add(call)
        self._schedule_recheck(now)
        return []

    def remove_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt, which frees its slot."""
        del self.attempts[attempt.attempt_id]
        attempt.view.local_attempts.pop(attempt.attempt_id, None)
        if attempt in attempt.call.running:
            attempt.call.running.remove(attempt)

    def relay_response(self, winner: Attempt, now: float) -> list[Action]:
        """Relays a response and cancels the call's other attempts."""
        call = winner.call
        self._finish_call(call)
        call.running.remove(winner)
        relay = Relay(call.call_id, winner.attempt_id)
        return [relay, *self.cancel_attempts(call, now)]

    def cancel_attempts(self, call: CallState, now: float) -> list[Action]:
        """Cancels the attempts of a call that are still running."""
        actions: list[Action] = []
        for attempt in list(call.running):
            feedback.record_cancellation(self.state, attempt, now)
            self.remove_attempt(attempt)
            actions.append(Cancel(attempt.attempt_id))
        return actions

    def abandon_call(self, call: CallState, now: float) -> list[Action]:
        """Drops a call whose caller disconnected."""
        self._finish_call(call)
        return self.cancel_attempts(call, now)

    def refuse(
        self, call: CallState, kind: ErrorKind, wait_s: float | None = None
    ) -> Refuse:
        """Ends a call with a failure.

        A call that a server may have run is never reported as not run: its
        first ambiguous failure is returned instead.
        """
        self._finish_call(call)
        if (
            call.ambiguous_failure is not None
            and Failure(kind).response.ran is Ran.NO
        ):
            return Refuse(call.call_id, Failure(call.ambiguous_failure))
        if wait_s is None:
            return Refuse(call.call_id, Failure(kind))
        return Refuse(call.call_id, refusal.build_failure(kind, wait_s))

    def handle_failure(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[Action]:
        """Processes an attempt with no response, or with a dropped one."""
        call = attempt.call
        self.remove_attempt(attempt)
        if result.ran is not Ran.NO and call.ambiguous_failure is None:
            call.ambiguous_failure = result.error or ErrorKind.CONNECTION_LOST
        actions: list[Action] = []
        if result.ok:
            actions.append(Cancel(attempt.attempt_id))
        if not call.running:
            actions += self._retry_or_refuse(call, result, now)
        return actions

    def should_retry(
        self, call: CallState, result: AttemptResult, now: float
    ) -> bool:
        """Returns whether to drop a response in favour of another attempt."""
        if result.status not in RETRIED_STATUSES:
            return False
        if len(call.running) > 1:
            return True
        if not self._may_retry(call, result.ran, now):
            return False
        return (
            self.state.retry_budget.tokens >= 1.0
            and self.state.choose(call, now, exclude_tried=True) is not None
        )

    def start_waiting_calls(self, now: float) -> list[Action]:
        """Starts or refuses waiting calls, as servers and deadlines require."""
        if self.recheck_at is None:
            return []
        actions: list[Action] = []
        calls_left = False
        for queue in self.state.waiting.values():
            while (call := queue.earliest()) is not None:
                if refusal.cannot_meet_deadline(self.state, call, now):
                    kind = ErrorKind.DEADLINE_UNREACHABLE
                    wait = refusal.expected_wait_s(self.state, queue, now)
                    actions.append(self.refuse(call, kind, wait))
                    continue
                view = self._choose_server(call, now)
                if view is not None:
                    queue.remove(call)
                    actions.append(self._start_attempt(call, view, now))
                    continue
                if self.state.has_usable_server():
                    calls_left = True
                    break
                kind = ErrorKind.NO_SERVER
                actions.append(self.refuse(call, kind, NO_SERVER_RETRY_AFTER_S))
        self.recheck_at = None
        if calls_left:
            self._schedule_recheck(now)
        return actions

    def _retry_or_refuse(
        self, call: CallState, result: AttemptResult, now: float
    ) -> list[Action]:
        kind = result.error or ErrorKind.INTERNAL
        if not self._may_retry(call, result.ran, now):
            return [self.refuse(call, kind, self._retry_after_s(kind, result))]
        view = self._choose_server(call, now)
        if view is not None and self.state.retry_budget.spend_token():
            return [self._start_attempt(call, view, now)]
        if view is None and self.state.retry_budget.spend_token():
            self.state.waiting[call.group].add(call)
            self._schedule_recheck(now)
            return []
        return [self.refuse(call, kind, self._retry_after_s(kind, result))]

    def _choose_server(self, call: CallState, now: float) -> ServerView | None:
        state = self.state
        window_full = len(self.attempts) + 1 > state.window.size
        if (
            window_full
            and self.attempts
            and "limits" not in state.tuning.disabled
        ):
            return None
        found = state.choose(call, now, exclude_tried=True)
        if found is None and call.tried_servers:
            found = state.choose(call, now, exclude_tried=False)
        return None if found is None else found.view

    def _start_attempt(
        self, call: CallState, view: ServerView, now: float, hedge: bool = False
    ) -> Start:
        self.last_attempt_id += 1
        attempt = Attempt(self.last_attempt_id, call, view, now, hedge)
        self.attempts[attempt.attempt_id] = attempt
        view.local_attempts[attempt.attempt_id] = now
        call.running.append(attempt)
        call.tried_servers.append(view.server.name)
        call.attempts += 1
        if not hedge and call.idempotent and self.state.options.retry.hedge:
            self._schedule_hedge(attempt, now)
        return Start(call.call_id, attempt.attempt_id, view.server.name, hedge)

    def _schedule_hedge(self, attempt: Attempt, now: float) -> None:
        state = self.state
        hedge_delay_s = state.hedge_latency.delay_s()
        if hedge_delay_s is None or "hedges" in state.tuning.disabled:
            return
        early_delay_s = (
            state.tuning.slow_server_hedge_age * state.averages.service_time_s
        )
        self.timers.schedule(
            now + min(early_delay_s, hedge_delay_s),
            partial(self._hedge_attempt, attempt),
            attempt.call,
        )

    def _hedge_attempt(self, attempt: Attempt, now: float) -> list[Action]:
        call = attempt.call
        if call.finished or call.running != [attempt] or not call.replayable:
            return []
        state = self.state
        if call.attempts >= state.options.retry.attempts:
            return []
        hedge_at = attempt.started_at + (state.hedge_latency.delay_s() or 0.0)
        if now < hedge_at and not self._is_slow(attempt, now):
            self.timers.schedule(
                hedge_at, partial(self._hedge_attempt, attempt), attempt.call
            )
            return []
        found = state.choose(call, now, exclude_tried=True)
        if found is None or found.queue_ahead >= HEDGE_QUEUE_LIMIT:
            pause = max(state.averages.service_time_s / 2, MIN_RECHECK_S)
            self.timers.schedule(
                now + pause, partial(self._hedge_attempt, attempt), attempt.call
            )
            return []
        if not state.retry_budget.spend_token(state.tuning.hedge_reserve):
            return []
        return [self._start_attempt(call, found.view, now, hedge=True)]

    def _is_slow(self, attempt: Attempt, now: float) -> bool:
        state = self.state
        factor = choice.slowdown(
            attempt.view, state.averages, state.tuning, now
        )
        return factor >= state.tuning.slow_threshold

    def _may_retry(self, call: CallState, ran: Ran, now: float) -> bool:
        if "retries" in self.state.tuning.disabled or not call.replayable:
            return False
        if not (call.idempotent or ran is Ran.NO):
            return False
        if call.attempts >= self.state.options.retry.attempts:
            return False
        return call.deadline > now

    def _expire_call(self, call: CallState, now: float) -> list[Action]:
        if call.finished:
            return []
        if call.running:
            actions = self.cancel_attempts(call, now)
            kind = ErrorKind.DEADLINE_AFTER_START
            return [*actions, self.refuse(call, kind)]
        kind = ErrorKind.DEADLINE_BEFORE_START
        return [self.refuse(call, kind, self.state.averages.service_time_s)]

    def _expire_wait(self, call: CallState, now: float) -> list[Action]:
        queue = self.state.waiting[call.group]
        if call.finished or call.call_id not in queue.waiting:
            return []
        wait = refusal.expected_wait_s(self.state, queue, now)
        return [self.refuse(call, ErrorKind.QUEUE_FULL, wait)]

    def _retry_after_s(
        self, kind: ErrorKind, result: AttemptResult
    ) -> float | None:
        if result.retry_after_s is not None:
            return result.retry_after_s
        if Failure(kind).response.retry:
            return self.state.averages.service_time_s
        return None

    def _finish_call(self, call: CallState) -> None:
        call.finished = True
        self.calls.pop(call.call_id, None)
        self.state.waiting[call.group].remove(call)

    def _schedule_recheck(self, now: float) -> None:
        pause = self.state.averages.service_time_s / 2
        pause = min(max(pause, MIN_RECHECK_S), MAX_RECHECK_S)
        self.recheck_at = now + pause
