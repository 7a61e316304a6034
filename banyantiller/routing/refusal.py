"""How soon waiting calls start, and so when to refuse and come back."""

import math

from banyantiller.errors import ErrorKind, Failure
from banyantiller.routing.calls import CallState
from banyantiller.routing.service import ServiceKnowledge
from banyantiller.routing.waiting import WaitingCalls

LEAST_RETRY_AFTER_S = 0.05
MOST_RETRY_AFTER_S = 30.0
LEAST_PART = 0.05
HOPELESS_PART = 0.5


def early(
    known: ServiceKnowledge,
    call: CallState,
    queue: WaitingCalls,
    now: float,
) -> ErrorKind | None:
    """Returns why a call may not wait, or None if it may."""
    if len(queue) >= known.options.queue.limit:
        return ErrorKind.QUEUE_FULL
    if known.believed.answers == 0:
        return None
    latest = call.deadline - known.believed.service_s
    latest = min(latest, now + known.options.queue.longest_s)
    if now + expected_wait(known, queue, now) > latest:
        return ErrorKind.DEADLINE_UNREACHABLE
    return None


def is_hopeless(known: ServiceKnowledge, call: CallState, now: float) -> bool:
    """Tells whether a waiting call would hardly be answered in time.

    While every server is left alone, it can't start before one opens again;
    a probe may open one at any time.
    """
    if known.believed.answers == 0:
        return False
    least = HOPELESS_PART * known.believed.service_s
    start = now
    if not any(view.probing for view in known.views.values()):
        start = max(now, opens_at(known))
    return call.deadline - start < least


def opens_at(known: ServiceKnowledge) -> float:
    """Returns when the first server takes calls; in the past if one does."""
    views = known.views.values()
    opens = min((view.closed_until for view in views), default=0.0)
    return opens if math.isfinite(opens) else 0.0


def expected_wait(
    known: ServiceKnowledge, queue: WaitingCalls, now: float
) -> float:
    """Returns the seconds until a call at the end of a queue starts."""
    views = known.views.values()
    slots = sum(view.slots for view in views)
    at_least = LEAST_PART * max(slots, 1) / known.believed.service_s
    rate = max(known.drain.per_second(now), at_least)
    wait = (len(queue) + 1) / rate
    return max(wait, opens_at(known) - now)


def failure(kind: ErrorKind, wait_s: float) -> Failure:
    """Builds a failure that says when to come back."""
    wait = min(max(wait_s, LEAST_RETRY_AFTER_S), MOST_RETRY_AFTER_S)
    return Failure(kind, retry_after=wait)
