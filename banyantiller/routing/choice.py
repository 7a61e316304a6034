"""Choice of a server: least expected delay by what is believed now."""

import math
import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from banyantiller.routing import ramp
from banyantiller.routing.beliefs import Believed
from banyantiller.routing.limits import SPARE
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

MOST_CANDIDATES = 24
SLOWNESS_HALF = 10.0
MOST_DOUBLINGS = 4
FAILURE_PENALTY = 10.0
FAILURE_HALF_S = 1.0
FORGOTTEN_AGE = 4.0
TRIAL_PATIENCE_S = 5.0


class Choice(NamedTuple):
    """A server for a call.

    Attributes:
        view: The server.
        ahead: Requests that the call is expected to wait for there.
    """

    view: ServerView
    ahead: float


def choose(
    views: Sequence[ServerView],
    without: Collection[str],
    idempotent: bool,
    believed: Believed,
    tuning: Tuning,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Returns the server with the least expected delay, or None.

    Args:
        views: Servers of the group.
        without: Names of servers that the call has tried.
        idempotent: Whether the call may be run twice.
        believed: Averages over the service.
        tuning: Constants.
        now: The loop's time.
        rng: Breaks ties and samples large groups.
    """
    if len(views) > MOST_CANDIDATES:
        views = rng.sample(views, MOST_CANDIDATES)
    first = int(rng.random() * len(views))
    best = None
    least = math.inf
    best_ahead = 0.0
    excess = believed.excess
    zone = "zone" not in tuning.off
    far = tuning.cross_zone_s / believed.service_s if zone else 0.0
    recent = now - FORGOTTEN_AGE * tuning.belief_s(believed.service_s)
    for view in (*views[first:], *views[:first]):
        if view.closed_until > now:
            continue
        own = len(view.own)
        if own >= view.slots + SPARE:
            continue
        ahead = excess[view.slots - own]
        if view.others_at > recent:
            ahead = blend(view, ahead, believed, tuning, now)
        delay = 1.0 + ahead / view.slots
        if view.watched:
            if view.trial and not _may_try(view, idempotent, now):
                continue
            delay *= slowness(view, believed, tuning, now)
        if not view.local:
            delay += far
        if delay < least and view.state.name not in without:
            best = view
            least = delay
            best_ahead = ahead
    return None if best is None else Choice(best, best_ahead)


def _may_try(view: ServerView, idempotent: bool, now: float) -> bool:
    if view.own:
        return False
    return idempotent or now > view.ejected_until + TRIAL_PATIENCE_S


def blend(
    view: ServerView,
    usual: float,
    believed: Believed,
    tuning: Tuning,
    now: float,
) -> float:
    """Returns how many requests a new call is expected to wait for.

    Own calls are known. What the server said of others' calls fades with
    its age, and with doubt, into what is usual at a server of the service.

    Args:
        view: The server.
        usual: Requests that a new call waits for at a usual server.
        believed: Averages over the service.
        tuning: Constants.
        now: The loop's time.
    """
    age = now - view.others_at
    weight = math.exp(-age / tuning.belief_s(believed.service_s))
    doubt = max(believed.doubt, view.doubt)
    if doubt > tuning.doubt_from:
        weight *= max(0.0, 2.0 - doubt / tuning.doubt_from)
    reported = max(0.0, view.others + 1.0 - view.slots + len(view.own))
    return usual + (reported - usual) * weight


def slowness(
    view: ServerView, believed: Believed, tuning: Tuning, now: float
) -> float:
    """Returns how many times slower than usual a server is believed to be.

    An average fades with its age, so that a server that got better is tried
    again. A try that was given up counts with the time that it took.
    """
    usual = believed.service_s
    factor = 1.0
    if "slowness" not in tuning.off:
        half = SLOWNESS_HALF * usual * 2 ** min(view.given_up, MOST_DOUBLINGS)
        weight = half / (half + now - view.latency_at)
        factor += (view.latency / usual - 1.0) * weight
        if factor < tuning.slow_from:
            factor = 1.0
        repeated = max(0, view.given_up - 1)
        factor += tuning.given_up_factor * repeated * weight
    if view.failures > 0.0:
        fading = FAILURE_HALF_S / (FAILURE_HALF_S + now - view.failed_at)
        factor *= 1.0 + FAILURE_PENALTY * view.failures * fading
    return factor * ramp.factor(view, tuning, now)
