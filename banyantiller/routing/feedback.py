"""Updates the state of a server and its service from each result."""

from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import ejection, limits
from banyantiller.routing.calls import Attempt
from banyantiller.routing.service_state import ServiceState
from banyantiller.routing.types import AttemptResult, LoadReport
from banyantiller.routing.views import ServerView

CONCLUSIVE_FAILURES = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.CONNECT_TIMEOUT,
        ErrorKind.TLS_FAILED,
    }
)
MIN_FAILURE_STATUS = 500
CHECK_MARGIN_SERVICE_TIMES = 0.25
DISTRUST_RISE = 0.1
DISTRUST_FALL = 0.01


def record_result(
    state: ServiceState,
    attempt: Attempt,
    result: AttemptResult,
    now: float,
) -> None:
    """Processes the response head or the failure of an attempt."""
    view = attempt.view
    if result.report is not None:
        if len(view.local_attempts) > 1:
            _check_report(state, attempt, result.report, now)
        record_report(state, view, result.report, now)
        state.window.record_load(
            result.report.in_flight, view.slots, state.tuning
        )
    if result.error is ErrorKind.BACKEND_SHED:
        service_time_s = state.averages.service_time_s
        limits.back_off(view, result.retry_after_s, service_time_s, now)
        state.window.record_shed()
        return
    if not result.ok or result.status >= MIN_FAILURE_STATUS:
        conclusive = (
            result.error in CONCLUSIVE_FAILURES and result.ran is Ran.NO
        )
        record_server_failure(state, view, now, conclusive)
        return
    _record_latency(state, attempt, now)
    ejection.record_success(view)


def record_report(
    state: ServiceState,
    view: ServerView,
    report: LoadReport,
    now: float,
) -> None:
    """Processes a report of a server's load."""
    if "reports" in state.tuning.disabled:
        return
    if view.update_load(report, now):
        state.averages.record_peer_requests(view.peer_requests)


def record_cancellation(
    state: ServiceState, attempt: Attempt, now: float
) -> None:
    """Records that an attempt was cancelled: it takes at least its age."""
    age = now - attempt.started_at
    view = attempt.view
    service_time_s = state.averages.service_time_s
    if age < service_time_s:
        return
    view.overdue_cancellations += 1
    view.record_latency(max(age, view.latency_s), now)
    view.possibly_slow = True
    if (
        view.awaiting_trial
        or view.overdue_cancellations >= state.tuning.max_overdue_cancellations
    ):
        record_server_failure(state, view, now, conclusive=True)


def record_server_failure(
    state: ServiceState, view: ServerView, now: float, conclusive: bool
) -> None:
    """Counts a failure of a server; ejects the server if required."""
    group = state.group_of(view)
    if ejection.record_failure(view, group, state.tuning, now, conclusive):
        state.newly_ejected.append(view)


def _record_latency(state: ServiceState, attempt: Attempt, now: float) -> None:
    seconds = now - attempt.started_at
    view = attempt.view
    view.record_latency(seconds, now)
    view.overdue_cancellations = 0
    state.averages.record_latency(seconds)
    if not attempt.hedge:
        state.hedge_latency.record_latency(seconds)
    service_time_s = state.averages.service_time_s
    view.possibly_slow = (
        view.overdue_cancellations > 0
        or view.latency_s > state.tuning.slow_threshold * service_time_s
        or view.awaiting_trial
        or view.failure_rate > 0.0
        or now - view.ramp_started_at < state.tuning.ramp_s
    )


def _check_report(
    state: ServiceState, attempt: Attempt, report: LoadReport, now: float
) -> None:
    """Compares a report with this daemon's attempts that it must include.

    The attempt that carried the report isn't counted, as the server may have
    finished it before it measured the load.
    """
    if "trust" in state.tuning.disabled:
        return
    view = attempt.view
    started_by = (
        now - CHECK_MARGIN_SERVICE_TIMES * state.averages.service_time_s
    )
    min_in_flight = view.count_started_by(started_by) - (
        attempt.started_at <= started_by
    )
    if min_in_flight <= 0:
        return
    wrong = report.in_flight < min_in_flight
    view.distrust = _update_distrust(view.distrust, wrong)
    state.averages.distrust = _update_distrust(state.averages.distrust, wrong)


def _update_distrust(distrust: float, wrong: bool) -> float:
    if wrong:
        return distrust + DISTRUST_RISE * (1.0 - distrust)
    return distrust * (1.0 - DISTRUST_FALL)
