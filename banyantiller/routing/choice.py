"""Selects the server with the least expected delay."""

import math
import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from banyantiller.routing import ramp
from banyantiller.routing.averages import ServiceAverages
from banyantiller.routing.limits import EXTRA_ATTEMPTS_PER_SERVER
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

MAX_CANDIDATES = 24
SLOWDOWN_HALF_AGE_SERVICE_TIMES = 10.0
MAX_DOUBLINGS = 4
FAILURE_PENALTY = 10.0
FAILURE_HALF_AGE_S = 1.0
MAX_REPORT_AGE_DECAYS = 4.0
NON_IDEMPOTENT_TRIAL_DELAY_S = 5.0


class Choice(NamedTuple):
    """A server for a call.

    Attributes:
        view: The server.
        queue_ahead: Requests that the call is expected to wait for there.
    """

    view: ServerView
    queue_ahead: float


def choose(
    views: Sequence[ServerView],
    excluded: Collection[str],
    idempotent: bool,
    averages: ServiceAverages,
    tuning: Tuning,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Returns the server with the least expected delay, or None.

    Args:
        views: Servers of the group.
        excluded: Names of servers that the call was already sent to.
        idempotent: Whether the call may be run twice.
        averages: Averages over the service.
        tuning: Constants.
        now: The loop's time.
        rng: Breaks ties and samples large groups.
    """
    if len(views) > MAX_CANDIDATES:
        views = rng.sample(views, MAX_CANDIDATES)
    first = int(rng.random() * len(views))
    best = None
    least_delay = math.inf
    best_queue_ahead = 0.0
    average_queue_ahead = averages.average_queue_ahead
    zone_enabled = "zone" not in tuning.disabled
    cross_zone_cost = (
        tuning.cross_zone_latency_s / averages.service_time_s
        if zone_enabled
        else 0.0
    )
    oldest_report_at = now - MAX_REPORT_AGE_DECAYS * tuning.report_decay_s(
        averages.service_time_s
    )
    for view in (*views[first:], *views[:first]):
        if view.unavailable_until > now:
            continue
        local_requests = len(view.local_attempts)
        if local_requests >= view.slots + EXTRA_ATTEMPTS_PER_SERVER:
            continue
        queue_ahead = average_queue_ahead[view.slots - local_requests]
        if view.peer_requests_at > oldest_report_at:
            queue_ahead = estimate_queue_ahead(
                view, queue_ahead, averages, tuning, now
            )
        delay = 1.0 + queue_ahead / view.slots
        if view.possibly_slow:
            if view.awaiting_trial and not _may_run_trial(
                view, idempotent, now
            ):
                continue
            delay *= slowdown(view, averages, tuning, now)
        if not view.in_local_zone:
            delay += cross_zone_cost
        if delay < least_delay and view.server.name not in excluded:
            best = view
            least_delay = delay
            best_queue_ahead = queue_ahead
    return None if best is None else Choice(best, best_queue_ahead)


def _may_run_trial(view: ServerView, idempotent: bool, now: float) -> bool:
    if view.local_attempts:
        return False
    return idempotent or now > view.ejected_until + NON_IDEMPOTENT_TRIAL_DELAY_S


def estimate_queue_ahead(
    view: ServerView,
    average: float,
    averages: ServiceAverages,
    tuning: Tuning,
    now: float,
) -> float:
    """Returns how many requests a new call is expected to wait for.

    This daemon's own requests are known exactly. The weight of the reported
    load of peers falls with the report's age and with distrust; the average
    over the service takes its place.

    Args:
        view: The server.
        average: Requests that a new call waits for at an average server.
        averages: Averages over the service.
        tuning: Constants.
        now: The loop's time.
    """
    age = now - view.peer_requests_at
    weight = math.exp(-age / tuning.report_decay_s(averages.service_time_s))
    distrust = max(averages.distrust, view.distrust)
    if distrust > tuning.distrust_threshold:
        weight *= max(0.0, 2.0 - distrust / tuning.distrust_threshold)
    reported = max(
        0.0, view.peer_requests + 1.0 - view.slots + len(view.local_attempts)
    )
    return average + (reported - average) * weight


def slowdown(
    view: ServerView, averages: ServiceAverages, tuning: Tuning, now: float
) -> float:
    """Returns by which factor a server is estimated to be slower than average.

    The weight of its average latency falls with age, so that a server that
    recovered gets calls again. A cancelled attempt counts with the time that
    it had taken until then.
    """
    service_time_s = averages.service_time_s
    factor = 1.0
    if "slowness" not in tuning.disabled:
        half_age = (
            SLOWDOWN_HALF_AGE_SERVICE_TIMES
            * service_time_s
            * 2 ** min(view.overdue_cancellations, MAX_DOUBLINGS)
        )
        weight = half_age / (half_age + now - view.latency_updated_at)
        factor += (view.latency_s / service_time_s - 1.0) * weight
        if factor < tuning.slow_threshold:
            factor = 1.0
        repeated_cancellations = max(0, view.overdue_cancellations - 1)
        factor += tuning.overdue_factor * repeated_cancellations * weight
    if view.failure_rate > 0.0:
        failure_weight = FAILURE_HALF_AGE_S / (
            FAILURE_HALF_AGE_S + now - view.last_failed_at
        )
        factor *= 1.0 + FAILURE_PENALTY * view.failure_rate * failure_weight
    return factor * ramp.cold_start_factor(view, tuning, now)
