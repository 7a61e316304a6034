"""Shares a service that is short of capacity among organisations.

Load pattern: 84 organisations call a service through 135 daemons, a few of them
large, some with one request in two seconds. One of them sends 3 to 7 times its
usual rate, still below its allowance, and the servers have no free slots left.

Each relay sees about a third of the requests. It finds a level, the share of
its allowance that each organisation may use: the weighted max-min fair shares
of the requests that servers could run lately, with the allowances as weights.
An organisation that uses a smaller share of its allowance is not limited. The
level follows from all requests of a service, so that it does not depend on the
few requests of a small organisation.

The level is not lowered below the share that the median organisation uses. In a
shortage without a surge of single organisations, the costs of the requests
decide what is rejected, and not their organisations.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller.gateway.decisions import allowances, selection, service_load

# Probability that none of the servers that a daemon probes has a free slot at
# which a service is short, and below which it is not short any more.
SHORT_MISS = 0.5
ENOUGH_MISS = 0.2
# Free slots as a share of all slots at these probabilities: 0.21 and 0.42.
SHORT_FREE_SHARE = 1 - SHORT_MISS ** (1 / selection.MAX_PROBED_LOCAL)
ENOUGH_FREE_SHARE = 1 - ENOUGH_MISS ** (1 / selection.MAX_PROBED_LOCAL)
# Window in which requests are counted. A relay counts 200 requests in it at the
# load above, which are known to 7%.
WINDOW_S = 2.0
# Time after which it is known whether a granted request was executed: daemons
# report the others half a second after a wait for a server. Without it, the
# requests of a surge count as executed for its first second.
SETTLE_S = 1.0
# Weight of the newest count of executed requests.
SMOOTHING = 0.5
# Time between adjustments of the level: daemons report loads this often.
STEP_S = 0.5
# Share of a surplus of free slots that a step gives away, as an exponent. It
# takes effect with a delay of several steps, so that a full correction would
# oscillate. A deficit is corrected in full, as all requests suffer meanwhile.
GIVING = 0.25
# The capacity may be assumed to be larger than the granted requests by this
# factor at most, also if nearly all slots are free.
MAX_CORRECTION = 1.25
# An organisation is served at least this share as often as all of them. The
# requirement is a quarter; the rest is for counting errors.
MIN_SERVED_SHARE = 0.35
# Length of a burst within a fair share, so that no pattern of requests is
# refused that stays within the share in each second.
BURST_S = 1.0
# One more request at each relay: the parts of the relays are not whole numbers.
ROUNDING = 1.0
REFUSAL_WINDOW_S = 1.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0


class Demand(NamedTuple):
    """What one organisation asked for lately.

    Attributes:
        per_s: Requests a second.
        weight: Its allowance, in requests a second.
    """

    per_s: float
    weight: float


def fair_level(demands: Iterable[Demand], capacity: float) -> float:
    """Returns the share of their weights that organisations may use.

    With this share, the smaller ones get all that they ask for, and the rest of
    the capacity is divided among the others by weight.

    Args:
        demands: What the organisations ask for; weights are positive.
        capacity: Requests a second to divide.

    Returns:
        The share, or infinity if the capacity is enough for all.
    """
    ordered = sorted(demands, key=lambda one: one.per_s / one.weight)
    weight_left = sum(one.weight for one in ordered)
    for one in ordered:
        level = capacity / weight_left
        if one.per_s / one.weight > level:
            return level
        capacity = max(0.0, capacity - one.per_s)
        weight_left -= one.weight
    return math.inf


def median_use(demands: Iterable[Demand]) -> float:
    """Returns the weighted median of the shares that organisations use."""
    ordered = sorted(demands, key=lambda one: one.per_s / one.weight)
    middle = sum(one.weight for one in ordered) / 2
    for one in ordered:
        middle -= one.weight
        if middle <= 0:
            return one.per_s / one.weight
    return 0.0


def usable_capacity(run_per_s: float, free_share: float) -> float:
    """Returns the requests a second that leave enough slots free.

    Args:
        run_per_s: Requests a second that servers ran lately.
        free_share: Free slots meanwhile, as a share of all slots.
    """
    used_share = max(1 - free_share, 0.01)
    wanted = (1 - SHORT_FREE_SHARE) / used_share
    if wanted < 1:
        return run_per_s * wanted
    return run_per_s * min(MAX_CORRECTION, wanted**GIVING)


class Refusal(NamedTuple):
    """How a daemon proceeds with refused requests.

    Attributes:
        retry_s: Time after which the share may permit them, in seconds.
        final: Whether no other relay needs to be asked, as this one refuses
            most requests of the organisation.
    """

    retry_s: float
    final: bool


class OrganisationUse:
    """Requests of one organisation for one service at a relay.

    Attributes:
        weight: The relay's part of its allowance, in requests a second.
        asked: New requests of the last seconds.
        refusals: Refused requests of the last second.
        tokens: Requests that may be granted at once while it is limited.
        updated_at: Loop time up to which tokens were added.
        limit: Requests a second that it may run; infinite if not limited.
    """

    def __init__(self, now: float) -> None:
        self.weight = 0.0
        self.asked = allowances.RequestWindow(WINDOW_S)
        self.refusals = allowances.RequestWindow(REFUSAL_WINDOW_S)
        self.tokens = math.inf
        self.updated_at = now
        self.limit = math.inf

    def demand(self, window_s: float = WINDOW_S) -> Demand:
        """Returns what it asked for a second.

        Args:
            window_s: Time in which requests were counted, in seconds.
        """
        return Demand(self.asked.count / window_s, self.weight)

    def set_limit(self, limit: float, now: float) -> None:
        """Limits its requests a second; infinity removes the limit."""
        self.fill(now)
        self.limit = limit
        self.tokens = min(self.tokens, self._capacity())
        if limit == math.inf:
            self.tokens = math.inf

    def grant(self, asked: int, now: float) -> int:
        """Grants up to the number of requests that are asked for."""
        if self.limit == math.inf:
            return asked
        self.fill(now)
        granted = min(asked, math.floor(self.tokens))
        self.tokens -= granted
        if granted < asked:
            self.refusals.add(now, asked - granted)
        return granted

    def take_back(self, number: int) -> None:
        """Returns the tokens of grants that were not used."""
        self.tokens = min(self._capacity(), self.tokens + number)

    def refusal(self) -> Refusal:
        """Returns how a daemon proceeds with requests that were refused."""
        limit = max(self.limit, 1 / MAX_RETRY_S)
        retry_s = self.refusals.count / limit
        bounded_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        return Refusal(bounded_s, self.refusals.count > self._capacity())

    def fill(self, now: float) -> None:
        """Adds the tokens gained since the last call."""
        if self.limit < math.inf:
            gained = (now - self.updated_at) * self.limit
            self.tokens = min(self._capacity(), self.tokens + gained)
        self.updated_at = now

    def _capacity(self) -> float:
        return self.limit * BURST_S + ROUNDING


class ServiceShares:
    """Divides one service among the organisations that ask a relay.

    Attributes:
        by_organisation: Their use by name.
        granted: Granted requests of the last seconds.
        unused: Granted requests that no server executed.
        run_per_s: Requests a second that servers executed lately; 0 before the
            first shortage.
        short: Whether the service is short of capacity.
        level: Share of its allowance that each organisation may use; infinite
            if none is limited.
        next_step_at: Loop time of the next adjustment.
        began_at: Loop time of the first request.
    """

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.by_organisation: dict[str, OrganisationUse] = {}
        self.granted = allowances.RequestWindow(WINDOW_S + SETTLE_S)
        self.unused = allowances.RequestWindow(WINDOW_S)
        self.run_per_s = 0.0
        self.short = False
        self.level = math.inf
        self.next_step_at = now

    def grant(
        self, name: str, weight: float, asked: int, new: int, now: float
    ) -> int:
        """Grants up to the number of requests that are asked for.

        Args:
            name: Name of the organisation.
            weight: The relay's part of its allowance, in requests a second.
            asked: Number of requests.
            new: How many of them no other relay was asked for.
            now: Loop time.
        """
        use = self.by_organisation.get(name)
        if use is None:
            use = self.by_organisation[name] = OrganisationUse(now)
            use.weight = weight
            use.set_limit(self._limit_of(use, math.inf), now)
        use.weight = weight
        use.asked.add(now, new)
        granted = use.grant(asked, now)
        self.granted.add(now, granted)
        return granted

    def take_back(self, name: str, number: int, now: float) -> None:
        """Returns grants whose requests no server executed."""
        self.unused.add(now, number)
        if name in self.by_organisation:
            self.by_organisation[name].take_back(number)

    def is_step_due(self, now: float) -> bool:
        """Returns whether it is time to adjust the level."""
        return now >= self.next_step_at

    def adjust(self, load: service_load.ZoneLoad | None, now: float) -> None:
        """Adapts the level to what is known of the load, if it is time.

        Args:
            load: Load of the service, or None if it is not known. No
                organisation is limited then.
            now: Loop time.
        """
        if not self.is_step_due(now):
            return
        self.next_step_at = now + STEP_S
        self._expire(now)
        if load is None:
            self.short = False
            self.run_per_s = 0.0
            self._set_level(math.inf, 1.0, now)
            return
        if load.free_share < SHORT_FREE_SHARE:
            self.short = True
        elif load.free_share > ENOUGH_FREE_SHARE:
            self.short = False
        if not self.short and self.level == math.inf:
            self.run_per_s = 0.0
            return
        if self._covered_s(now) < STEP_S:
            # It is not known yet what servers execute.
            return
        demands = self._demands(now)
        self._count_executed(now)
        capacity = usable_capacity(self.run_per_s, load.free_share)
        level = max(fair_level(demands, capacity), median_use(demands))
        asked_per_s = sum(one.per_s for one in demands)
        served = min(1.0, capacity / asked_per_s) if asked_per_s else 1.0
        self._set_level(level, served, now)

    def limited(self) -> dict[str, OrganisationUse]:
        """Returns the organisations that were refused requests just now."""
        return {
            name: use
            for name, use in self.by_organisation.items()
            if use.refusals.count
        }

    def _covered_s(self, now: float) -> float:
        """Returns how much of the window has settled requests, in seconds."""
        return min(WINDOW_S, now - self.began_at - SETTLE_S)

    def _demands(self, now: float) -> list[Demand]:
        window_s = min(WINDOW_S, now - self.began_at)
        return [use.demand(window_s) for use in self.by_organisation.values()]

    def _count_executed(self, now: float) -> None:
        settled = sum(
            number
            for start, number in self.granted.slots
            if start <= now - SETTLE_S
        )
        executed = max(0, settled - self.unused.count)
        run_per_s = executed / self._covered_s(now)
        if self.run_per_s:
            run_per_s += (self.run_per_s - run_per_s) * (1 - SMOOTHING)
        self.run_per_s = run_per_s

    def _expire(self, now: float) -> None:
        self.granted.expire(now)
        self.unused.expire(now)
        for name, use in list(self.by_organisation.items()):
            use.asked.expire(now)
            use.refusals.expire(now)
            if not use.asked.count and not use.refusals.count:
                del self.by_organisation[name]

    def _set_level(self, level: float, served: float, now: float) -> None:
        self.level = level
        for use in self.by_organisation.values():
            least = MIN_SERVED_SHARE * served * use.demand().per_s
            use.set_limit(self._limit_of(use, least), now)

    def _limit_of(self, use: OrganisationUse, least: float) -> float:
        return max(self.level * use.weight, least)
