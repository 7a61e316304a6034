"""Choice of a server: least expected delay by what is believed now."""

import random
from collections.abc import Collection, Sequence

from banyantiller.routing import ramp
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import ServerView

MOST_CANDIDATES = 24
FIRST_SERVICE_S = 0.02
AVERAGE_WEIGHT = 0.02
SUSPECT_AGE = 3.0
SLOWNESS_HALF = 10.0
FAILURE_PENALTY = 10.0
FAILURE_HALF_S = 1.0


class Believed:
    """Averages over a service that give each server's figures a scale.

    Attributes:
        service_s: Moving average of the time to an answer head; a guess
            before the first.
        others_per_slot: Moving average of the reported requests of other
            daemons, for each slot.
        answers: Number of answer heads seen.
    """

    def __init__(self) -> None:
        self.service_s = FIRST_SERVICE_S
        self.others_per_slot = 0.0
        self.answers = 0

    def learn_latency(self, seconds: float) -> None:
        """Takes the time that one answer head took."""
        self.answers += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / self.answers)
        self.service_s += weight * (seconds - self.service_s)

    def learn_others(self, per_slot: float) -> None:
        """Takes one report of other daemons' requests for each slot."""
        change = per_slot - self.others_per_slot
        self.others_per_slot += AVERAGE_WEIGHT * change


def believed_load(
    view: ServerView, believed: Believed, tuning: Tuning, now: float
) -> float:
    """Returns the requests believed to be on a server.

    Own calls are known. The last report of others' calls fades with its age
    into the average over all servers.
    """
    slots = view.state.slots
    usual = believed.others_per_slot * slots
    half = tuning.belief_half * believed.service_s
    weight = half / (half + now - view.others_at)
    return len(view.own) + usual + (view.others - usual) * weight


def slowness(view: ServerView, believed: Believed, now: float) -> float:
    """Returns how many times slower than usual a server is believed to be.

    An average fades with its age, so that a server that got better is tried
    again. A try that is overdue counts at once.
    """
    usual = believed.service_s
    factor = 1.0
    if view.latency > 0.0:
        half = SLOWNESS_HALF * usual
        weight = half / (half + now - view.latency_at)
        factor += (view.latency / usual - 1.0) * weight
    oldest = view.oldest_start()
    if oldest is not None:
        overdue = (now - oldest) / usual
        if overdue > SUSPECT_AGE:
            factor = max(factor, overdue)
    return max(factor, 0.5)


def expected_delay(
    view: ServerView, believed: Believed, tuning: Tuning, now: float
) -> float:
    """Returns the seconds that a call is expected to take on a server."""
    off = tuning.off
    load = (
        len(view.own)
        if "reports" in off
        else believed_load(view, believed, tuning, now)
    )
    factor = 1.0 if "slowness" in off else slowness(view, believed, now)
    factor *= ramp.factor(view, tuning, now)
    if view.failures > 0.0:
        fading = FAILURE_HALF_S / (FAILURE_HALF_S + now - view.failed_at)
        factor *= 1.0 + FAILURE_PENALTY * view.failures * fading
    delay = believed.service_s * factor * (load + 1.0) / view.state.slots
    if not view.local:
        delay += tuning.cross_zone_s
    return delay


def may_start(
    view: ServerView, idempotent: bool, tuning: Tuning, now: float
) -> bool:
    """Tells whether a server may get a new try now."""
    if view.state.leaving or view.draining:
        return False
    if view.ejected_until > now or view.hold_until > now or view.probing:
        return False
    if view.trial and (view.own or not idempotent):
        return False
    return len(view.own) < view.limit or "limits" in tuning.off


def choose(
    views: Sequence[ServerView],
    without: Collection[str],
    idempotent: bool,
    believed: Believed,
    tuning: Tuning,
    now: float,
    rng: random.Random,
) -> ServerView | None:
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
    best = None
    least = 0.0
    for view in views:
        if view.state.name in without:
            continue
        if not may_start(view, idempotent, tuning, now):
            continue
        delay = expected_delay(view, believed, tuning, now)
        delay *= 1.0 + 0.02 * rng.random()
        if best is None or delay < least:
            best = view
            least = delay
    return best
