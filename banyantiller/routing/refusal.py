"""Expected waiting times, and the refusals that follow from them."""

import math

from banyantiller.errors import ErrorKind, Failure
from banyantiller.routing.calls import CallState
from banyantiller.routing.service_state import ServiceState
from banyantiller.routing.waiting import WaitingCalls

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
MIN_RATE_SHARE = 0.05
MIN_SERVICE_TIME_SHARE = 0.5


def early_refusal(
    state: ServiceState,
    call: CallState,
    queue: WaitingCalls,
    now: float,
) -> ErrorKind | None:
    """Returns why a call may not be queued, or None if it may."""
    if len(queue) >= state.options.queue.limit:
        return ErrorKind.QUEUE_FULL
    if state.averages.responses == 0:
        return None
    latest = call.deadline - state.averages.service_time_s
    latest = min(latest, now + state.options.queue.longest_s)
    if now + expected_wait_s(state, queue, now) > latest:
        return ErrorKind.DEADLINE_UNREACHABLE
    return None


def cannot_meet_deadline(
    state: ServiceState, call: CallState, now: float
) -> bool:
    """Returns whether a waiting call is unlikely to get a response in time.

    While no server is available, it can't start before the first one becomes
    available; while a probe is running, that may happen at any time.
    """
    if state.averages.responses == 0:
        return False
    min_left_s = MIN_SERVICE_TIME_SHARE * state.averages.service_time_s
    start = now
    if not any(view.probing for view in state.views.values()):
        start = max(now, next_available_at(state))
    return call.deadline - start < min_left_s


def next_available_at(state: ServiceState) -> float:
    """Returns when the first server is available; in the past if one is."""
    views = state.views.values()
    available_at = min((view.unavailable_until for view in views), default=0.0)
    return available_at if math.isfinite(available_at) else 0.0


def expected_wait_s(
    state: ServiceState, queue: WaitingCalls, now: float
) -> float:
    """Returns the seconds until a call at the end of a queue starts."""
    views = state.views.values()
    slots = sum(view.slots for view in views)
    min_rate = MIN_RATE_SHARE * max(slots, 1) / state.averages.service_time_s
    rate = max(state.completion_rate.per_second(now), min_rate)
    wait = (len(queue) + 1) / rate
    return max(wait, next_available_at(state) - now)


def build_failure(kind: ErrorKind, wait_s: float) -> Failure:
    """Builds a failure that says when to retry."""
    wait = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Failure(kind, retry_after=wait)
