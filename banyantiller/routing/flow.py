"""Calls on their way: starting, waiting, retrying, hedging and refusing."""

from functools import partial

from banyantiller.errors import ErrorKind, Failure, Ran
from banyantiller.routing import choice, learning, refusal
from banyantiller.routing.calls import Attempt, CallState
from banyantiller.routing.service import ServiceKnowledge
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
LEAST_RECHECK_S = 0.002
MOST_RECHECK_S = 0.05
HEDGE_AHEAD = 0.5
NO_SERVER_RETRY_S = 1.0


class CallFlow:
    """The calls of one service that have no final answer yet.

    Attributes:
        known: What is known of the service.
        calls: Calls without a final answer, by number.
        attempts: Running tries, by number.
        timers: Work that is due at a time.
        recheck_at: When waiting calls are looked at again, or None.
    """

    def __init__(self, known: ServiceKnowledge) -> None:
        self.known = known
        self.calls: dict[int, CallState] = {}
        self.attempts: dict[int, Attempt] = {}
        self.timers = Timers()
        self.recheck_at: float | None = None
        self.last_attempt = 0

    def begin(self, call: CallState, now: float) -> list[Action]:
        """Starts a new call, queues it or refuses it."""
        queue = self.known.waiting[call.group]
        if not queue.waiting:
            view = self._server_for(call, now)
            if view is not None:
                self.timers.at(call.deadline, partial(self._expire, call), call)
                return [self._start(call, view, now)]
        if not self.known.has_usable():
            return [self.refuse(call, ErrorKind.NO_SERVER, NO_SERVER_RETRY_S)]
        kind = refusal.early(self.known, call, queue, now)
        if kind is not None:
            wait = refusal.expected_wait(self.known, queue, now)
            return [self.refuse(call, kind, wait)]
        self.timers.at(call.deadline, partial(self._expire, call), call)
        longest = now + self.known.options.queue.longest_s
        if longest < call.deadline:
            self.timers.at(longest, partial(self._waited_too_long, call), call)
        queue.add(call)
        self._plan_recheck(now)
        return []

    def end(self, attempt: Attempt) -> None:
        """Forgets a try; its slot is free."""
        del self.attempts[attempt.attempt_id]
        attempt.view.own.pop(attempt.attempt_id, None)
        if attempt in attempt.call.running:
            attempt.call.running.remove(attempt)

    def relay(self, winner: Attempt, now: float) -> list[Action]:
        """Relays an answer and gives up the call's other tries."""
        call = winner.call
        self._finish(call)
        call.running.remove(winner)
        relay = Relay(call.call_id, winner.attempt_id)
        return [relay, *self.give_up_tries(call, now)]

    def give_up_tries(self, call: CallState, now: float) -> list[Action]:
        """Cancels the tries of a call that are still running."""
        actions: list[Action] = []
        for attempt in list(call.running):
            learning.learn_cancelled(self.known, attempt, now)
            self.end(attempt)
            actions.append(Cancel(attempt.attempt_id))
        return actions

    def forget(self, call: CallState, now: float) -> list[Action]:
        """Forgets a call whose caller is gone."""
        self._finish(call)
        return self.give_up_tries(call, now)

    def refuse(
        self, call: CallState, kind: ErrorKind, wait_s: float | None = None
    ) -> Refuse:
        """Gives a call its final failure at once.

        A call that a server may have run is never told that it was not run.
        """
        self._finish(call)
        if call.unsure is not None and Failure(kind).answer.ran is Ran.NO:
            return Refuse(call.call_id, Failure(call.unsure))
        if wait_s is None:
            return Refuse(call.call_id, Failure(kind))
        return Refuse(call.call_id, refusal.failure(kind, wait_s))

    def failed(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[Action]:
        """Takes a try that got no answer, or one that is not relayed."""
        call = attempt.call
        self.end(attempt)
        if result.ran is not Ran.NO and call.unsure is None:
            call.unsure = result.error or ErrorKind.CONNECTION_LOST
        actions: list[Action] = []
        if result.ok:
            actions.append(Cancel(attempt.attempt_id))
        if not call.running:
            actions += self._retry(call, result, now)
        return actions

    def worth_retry(
        self, call: CallState, result: AttemptResult, now: float
    ) -> bool:
        """Tells whether an answer is dropped in favour of another try."""
        if result.status not in RETRIED_STATUSES:
            return False
        if len(call.running) > 1:
            return True
        if not self._may_retry(call, result.ran, now):
            return False
        return (
            self.known.extra.tokens >= 1.0
            and self.known.choose(call, now, fresh=True) is not None
        )

    def start_waiting(self, now: float) -> list[Action]:
        """Starts waiting calls for which there is a server now."""
        if self.recheck_at is None:
            return []
        actions: list[Action] = []
        some_left = False
        for queue in self.known.waiting.values():
            while (call := queue.first()) is not None:
                if refusal.is_hopeless(self.known, call, now):
                    kind = ErrorKind.DEADLINE_UNREACHABLE
                    wait = refusal.expected_wait(self.known, queue, now)
                    actions.append(self.refuse(call, kind, wait))
                    continue
                view = self._server_for(call, now)
                if view is not None:
                    queue.remove(call)
                    actions.append(self._start(call, view, now))
                    continue
                if self.known.has_usable():
                    some_left = True
                    break
                kind = ErrorKind.NO_SERVER
                actions.append(self.refuse(call, kind, NO_SERVER_RETRY_S))
        self.recheck_at = None
        if some_left:
            self._plan_recheck(now)
        return actions

    def _retry(
        self, call: CallState, result: AttemptResult, now: float
    ) -> list[Action]:
        kind = result.error or ErrorKind.INTERNAL
        if not self._may_retry(call, result.ran, now):
            return [self.refuse(call, kind, self._retry_hint(kind, result))]
        view = self._server_for(call, now)
        if view is not None and self.known.extra.take():
            return [self._start(call, view, now)]
        if view is None and self.known.extra.take():
            self.known.waiting[call.group].add(call)
            self._plan_recheck(now)
            return []
        return [self.refuse(call, kind, self._retry_hint(kind, result))]

    def _server_for(self, call: CallState, now: float) -> ServerView | None:
        known = self.known
        busy = len(self.attempts) + 1 > known.window.size
        if busy and self.attempts and "limits" not in known.tuning.off:
            return None
        found = known.choose(call, now, fresh=True)
        if found is None and call.tried:
            found = known.choose(call, now, fresh=False)
        return None if found is None else found.view

    def _start(
        self, call: CallState, view: ServerView, now: float, hedge: bool = False
    ) -> Start:
        self.last_attempt += 1
        attempt = Attempt(self.last_attempt, call, view, now, hedge)
        self.attempts[attempt.attempt_id] = attempt
        view.own[attempt.attempt_id] = now
        call.running.append(attempt)
        call.tried.append(view.state.name)
        call.attempts += 1
        if not hedge and call.idempotent and self.known.options.retry.hedge:
            self._plan_hedge(attempt, now)
        return Start(call.call_id, attempt.attempt_id, view.state.name, hedge)

    def _plan_hedge(self, attempt: Attempt, now: float) -> None:
        known = self.known
        late = known.late.delay()
        if late is None or "hedges" in known.tuning.off:
            return
        early = known.tuning.hedge_early * known.believed.service_s
        self.timers.at(
            now + min(early, late), partial(self._hedge, attempt), attempt.call
        )

    def _hedge(self, attempt: Attempt, now: float) -> list[Action]:
        call = attempt.call
        if call.finished or call.running != [attempt] or not call.replayable:
            return []
        known = self.known
        if call.attempts >= known.options.retry.attempts:
            return []
        late_at = attempt.started + (known.late.delay() or 0.0)
        if now < late_at and not self._is_suspect(attempt, now):
            self.timers.at(late_at, partial(self._hedge, attempt), attempt.call)
            return []
        found = known.choose(call, now, fresh=True)
        if found is None or found.ahead >= HEDGE_AHEAD:
            pause = max(known.believed.service_s / 2, LEAST_RECHECK_S)
            self.timers.at(
                now + pause, partial(self._hedge, attempt), attempt.call
            )
            return []
        if not known.extra.take(known.tuning.hedge_reserve):
            return []
        return [self._start(call, found.view, now, hedge=True)]

    def _is_suspect(self, attempt: Attempt, now: float) -> bool:
        known = self.known
        factor = choice.slowness(
            attempt.view, known.believed, known.tuning, now
        )
        return factor >= known.tuning.slow_from

    def _may_retry(self, call: CallState, ran: Ran, now: float) -> bool:
        if "retries" in self.known.tuning.off or not call.replayable:
            return False
        if not (call.idempotent or ran is Ran.NO):
            return False
        if call.attempts >= self.known.options.retry.attempts:
            return False
        return call.deadline > now

    def _expire(self, call: CallState, now: float) -> list[Action]:
        if call.finished:
            return []
        if call.running:
            actions = self.give_up_tries(call, now)
            kind = ErrorKind.DEADLINE_AFTER_START
            return [*actions, self.refuse(call, kind)]
        kind = ErrorKind.DEADLINE_BEFORE_START
        return [self.refuse(call, kind, self.known.believed.service_s)]

    def _waited_too_long(self, call: CallState, now: float) -> list[Action]:
        queue = self.known.waiting[call.group]
        if call.finished or call.call_id not in queue.waiting:
            return []
        wait = refusal.expected_wait(self.known, queue, now)
        return [self.refuse(call, ErrorKind.QUEUE_FULL, wait)]

    def _retry_hint(
        self, kind: ErrorKind, result: AttemptResult
    ) -> float | None:
        if result.retry_after_s is not None:
            return result.retry_after_s
        if Failure(kind).answer.retry:
            return self.known.believed.service_s
        return None

    def _finish(self, call: CallState) -> None:
        call.finished = True
        self.calls.pop(call.call_id, None)
        self.known.waiting[call.group].remove(call)

    def _plan_recheck(self, now: float) -> None:
        pause = self.known.believed.service_s / 2
        pause = min(max(pause, LEAST_RECHECK_S), MOST_RECHECK_S)
        self.recheck_at = now + pause
