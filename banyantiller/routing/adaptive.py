"""The adaptive routing policy: a state machine over one service's calls."""

from collections.abc import Callable
from functools import partial

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind
from banyantiller.routing import ejection, feedback
from banyantiller.routing.calls import CallState
from banyantiller.routing.scheduling import CallScheduler
from banyantiller.routing.service_state import ServiceState
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.types import (
    Action,
    AttemptResult,
    Call,
    LoadReport,
    Probe,
    ServerState,
)
from banyantiller.routing.views import ServerView

PROBE_TIMEOUT_S = 2.0
BUDGET_RETRY_S = 1.0

Charge = Callable[[float], bool]


class AdaptiveDispatcher:
    """Implements `routing.types.Dispatcher`.

    Attributes:
        state: State of the service.
        scheduler: Calls without a final response.
        charge: Charges one probe to the probe budget and returns whether the
            budget allowed it.
    """

    def __init__(self, state: ServiceState, charge: Charge) -> None:
        self.state = state
        self.scheduler = CallScheduler(state)
        self.charge = charge

    def configure(
        self,
        service: options.Service,
        servers: tuple[ServerState, ...],
        now: float,
    ) -> list[Action]:
        """Applies a new bundle or changed servers; keeps its statistics."""
        self.state.configure(service, servers, now)
        return self.scheduler.start_waiting_calls(now)

    def submit(self, call: Call, now: float) -> list[Action]:
        """Starts, queues or refuses a new call."""
        state = self.state
        state.retry_budget.record_call()
        call_state = CallState.from_call(
            call, state.round_robin.next_group(), now
        )
        self.scheduler.calls[call.call_id] = call_state
        if call.deadline <= now:
            kind = ErrorKind.DEADLINE_BEFORE_START
            return [self.scheduler.refuse(call_state, kind)]
        return self.scheduler.admit(call_state, now)

    def attempt_head(
        self, attempt_id: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Processes the response head, or the failure, of an attempt."""
        scheduler = self.scheduler
        attempt = scheduler.attempts.get(attempt_id)
        if attempt is None or attempt.call.finished:
            return []
        call = attempt.call
        call.replayable = call.replayable and result.replayable
        feedback.record_result(self.state, attempt, result, now)
        if result.ok and not scheduler.should_retry(call, result, now):
            actions = scheduler.relay_response(attempt, now)
        else:
            actions = scheduler.handle_failure(attempt, result, now)
        return actions + self._follow_up(now)

    def attempt_done(self, attempt_id: int, now: float) -> list[Action]:
        """Processes the end of a relayed response, which frees the slot."""
        attempt = self.scheduler.attempts.get(attempt_id)
        if attempt is None:
            return []
        self.scheduler.remove_attempt(attempt)
        self.state.completion_rate.record_completion(now)
        return self.scheduler.start_waiting_calls(now)

    def cancel(self, call_id: int, now: float) -> list[Action]:
        """Drops a call whose caller disconnected; cancels its attempts."""
        call = self.scheduler.calls.get(call_id)
        if call is None:
            return []
        return self.scheduler.abandon_call(call, now) + self._follow_up(now)

    def report(
        self, server: str, report: LoadReport, now: float
    ) -> list[Action]:
        """Processes a load report of a probe; reports from peers are ignored.

        With load figures from peers, every daemon chose the same server at
        once; see the design note.
        """
        view = self.state.views.get(server)
        if view is None or report.source == "peer":
            return []
        feedback.record_report(self.state, view, report, now)
        if report.source == "probe" and view.probing:
            view.probing = False
            view.update_availability()
            ejection.record_success(view)
        return self.scheduler.start_waiting_calls(now)

    def probe_failed(self, server: str, now: float) -> list[Action]:
        """Records that a probe got no response."""
        view = self.state.views.get(server)
        if view is None or not view.probing:
            return []
        view.probing = False
        view.update_availability()
        feedback.record_server_failure(self.state, view, now, conclusive=True)
        return self._follow_up(now)

    def members(self, alive: int, now: float) -> None:
        """Sets the number of daemons considered alive, including this one."""
        del now
        self.state.window.live_daemons = alive

    def own_load(self, now: float) -> dict[str, float]:
        """Returns this daemon's attempts in flight by server."""
        del now
        views = self.state.views.items()
        return {
            name: float(len(view.local_attempts))
            for name, view in views
            if view.local_attempts
        }

    def tick(self, now: float) -> list[Action]:
        """Runs due work: deadlines, hedges, probes and recovery."""
        return self.scheduler.timers.run_due(now) + self._follow_up(now)

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
        next_due = self.scheduler.timers.next_due()
        recheck_at = self.scheduler.recheck_at
        if next_due is None or recheck_at is None:
            return recheck_at if next_due is None else next_due
        return min(next_due, recheck_at)

    def _follow_up(self, now: float) -> list[Action]:
        while self.state.newly_ejected:
            view = self.state.newly_ejected.pop()
            callback = partial(self._probe, view)
            self.scheduler.timers.schedule(view.ejected_until, callback)
        return self.scheduler.start_waiting_calls(now)

    def _probe(self, view: ServerView, now: float) -> list[Action]:
        """Probes a server after its ejection, if probes may restore it."""
        if not self.state.tuning.probe_recovery or not view.awaiting_trial:
            return []
        if view.ejected_until > now or view.probing:
            return []
        if view.backoff_until > now:
            retry = partial(self._probe, view)
            self.scheduler.timers.schedule(view.backoff_until, retry)
            return []
        is_current = self.state.views.get(view.server.name) is view
        if not (is_current and view.is_usable()):
            return []
        if not self.charge(now):
            # The budget records the demand and gets permits within seconds.
            retry = partial(self._probe, view)
            self.scheduler.timers.schedule(now + BUDGET_RETRY_S, retry)
            return []
        view.probing = True
        view.update_availability()
        on_timeout = partial(self._probe_timed_out, view)
        self.scheduler.timers.schedule(now + PROBE_TIMEOUT_S, on_timeout)
        return [Probe(view.server.name)]

    def _probe_timed_out(self, view: ServerView, now: float) -> list[Action]:
        return self.probe_failed(view.server.name, now)


def create(
    service: options.Service,
    servers: tuple[ServerState, ...],
    daemon: str,
    zone: str,
    seed: int,
    now: float,
    charge: Charge,
    constants: Tuning | None = None,
) -> AdaptiveDispatcher:
    """Builds the dispatcher of one service in one daemon.

    Args:
        service: Options of the service.
        servers: Its servers.
        daemon: Name of the daemon.
        zone: Availability zone of the daemon.
        seed: Seed of random choices.
        now: The loop's time.
        charge: Charges one probe to the probe budget; returns whether the
            budget allowed it.
        constants: Overrides the constants of the service's objective.
    """
    del daemon
    state = ServiceState(service, zone, seed, now)
    if constants is not None:
        state.replace_tuning(constants)
    state.configure(service, servers, now)
    return AdaptiveDispatcher(state, charge)
