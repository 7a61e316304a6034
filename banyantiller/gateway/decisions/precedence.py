"""Decides what a request may use, by what its caller loses without it.

There are three load patterns. In a burst, 2.5 times the usual number of
requests of one kind arrive for some seconds, and the service has too few slots
for all. In the second, all servers of a service reject 0.55 of the requests
although they have free slots, and the retry budget covers a part of the needed
retries. In the third, two kinds of the same priority share a service, and one
needs much more work than the other.

A daemon rarely has two requests at once, so each request is decided by itself:
by its rank, the time that it can lose, its usual duration, and whether its
caller was rejected before. What the fleet knows of the service says whether
anybody has to give way. If that is not known, nobody has to.
"""

from typing import NamedTuple

from banyantiller.gateway.decisions import hedging, service_load, waiting

# Rank of all requests if the document has only one priority.
ONLY_RANK = 0.5
# Requests up to this rank are urgent: a third of the priorities of a document.
# Operators give the highest one also to routes that hardly get requests.
URGENT_RANK = 1 / 3
# Servers that one round of probes covers; see `selection.MAX_PROBED`.
PROBES = 5
# A service is short of capacity if a round of probes finds no usable server in
# more than this share of the cases. It rejects requests if its servers reject
# more than this share although they have free slots.
SHORT_SHARE = 0.25
REJECTING_SHARE = 0.25
# A request is tolerant if its objective is at least four times its usual
# duration: the slack is then three durations.
TOLERANT_DURATIONS = 3.0
# Giving way divides the number of probes of a request by at most four: no kind
# of request may be served less than a quarter as often as all requests. Half of
# that is due to the pause between probes, and half to the servers in a round.
YIELD_PAUSE_S = 2 * waiting.REPROBE_PAUSE_S
YIELD_MORE_PROBES = 2
# Part of its slack that a request which gives way may lose between two probes.
YIELD_SLACK_SHARE = 1 / 32
# Rounds of probes within the usual wait for an idle server; see
# `waiting.LAST_SLOT_SHARE`.
LAST_SLOT_ROUNDS = 3
# Minimum part of the usual wait that the least urgent requests keep, for the
# same reason.
MIN_WAIT_SHARE = 0.25
# Part of its slack that a tolerant request waits at most, so that a retry
# elsewhere can still be in time.
TOLERANT_WAIT_SHARE = 0.5
# A request that has less than this share of its usual duration left is not
# served in time: a server is hardly ever twice as fast as usual.
HOPELESS_SHARE = 0.5
# Minimum part of the window for which retries are reserved, so that returning
# callers find some while servers reject requests for longer than a window.
MIN_WINDOW_LEFT = 0.5
# Part of the retry budget beyond the expected need of returning callers that
# first tries of the most urgent rank may use.
URGENT_RETRY_SHARE = 0.5
# First tries that were refused a retry without any returning caller since; then
# callers don't come back, or can't be recognised.
MAX_UNRETURNED = 4
# A request takes clearly longer than usual beyond this many usual durations,
# since a full server takes that long.
SLOW_DURATIONS = waiting.FULL_SERVER_DURATIONS
# Added to times until a check: a timer may end slightly early, and the check
# would be repeated after a pause.
WAKE_LATER_S = 0.001
# Share of slots at fast servers that must be free for an early hedge.
HEDGE_FREE_SHARE = 0.5
# Share of the retry budget that early hedges may use up.
EARLY_HEDGE_BUDGET_SHARE = 0.25


class RequestCost(NamedTuple):
    """What a caller loses if its request is late or rejected.

    Attributes:
        rank: Position of its priority among those of the document, from 0 for
            the most urgent to 1 for the least urgent.
        slack_s: Time until the objective, less the usual duration, in seconds;
            negative if the request will usually be late.
        usual_s: Usual duration of the route's requests, in seconds.
        returned: Whether the caller came back after a rejection.
        remaining_s: Time until the deadline, in seconds.
    """

    rank: float
    slack_s: float
    usual_s: float
    returned: bool
    remaining_s: float

    @property
    def tolerant(self) -> bool:
        """Whether the request can lose several usual durations."""
        return self.slack_s >= TOLERANT_DURATIONS * self.usual_s


def wait_limits(
    cost: RequestCost,
    load: service_load.ZoneLoad | None,
    usual: waiting.WaitLimits,
    now: float,
) -> waiting.WaitLimits:
    """Returns until when a request waits for a server.

    Args:
        cost: What its caller loses.
        load: Load of the service, or None if unknown.
        usual: Limits that apply without precedence.
        now: Loop time.
    """
    usual_s = usual.any_server_until - now
    pause_s, more_probes = waiting.REPROBE_PAUSE_S, None
    if cost.rank <= URGENT_RANK:
        wait_s = max(usual_s, cost.slack_s)
        if cost.returned and is_likely_free(load, cost.usual_s):
            wait_s = max(wait_s, cost.usual_s)
    elif load is None or not is_short(load):
        wait_s = usual_s
    elif cost.returned:
        # A longer wait takes slots from requests that would be in time, and is
        # mostly late itself.
        wait_s = usual_s
    elif cost.tolerant:
        wait_s = max(usual_s, TOLERANT_WAIT_SHARE * cost.slack_s)
        pause_s = max(pause_s, YIELD_SLACK_SHARE * cost.slack_s)
        pause_s, more_probes = min(pause_s, YIELD_PAUSE_S), YIELD_MORE_PROBES
    else:
        wait_s = usual_s * (1 - cost.rank * (1 - MIN_WAIT_SHARE))
        wait_s = max(wait_s, waiting.MIN_WAIT_S)
    # A server found later could not respond before the deadline.
    latest_s = max(waiting.MIN_WAIT_S, cost.remaining_s - cost.usual_s)
    wait_s = min(wait_s, latest_s)
    keep_until = usual.keep_last_slot_until
    if may_take_last_slot(cost, load):
        keep_until = now
    return waiting.WaitLimits(keep_until, now + wait_s, pause_s, more_probes)


def may_take_last_slot(
    cost: RequestCost, load: service_load.ZoneLoad | None
) -> bool:
    """Returns whether a request takes the last slot of a server at once.

    It does if the usual wait for an idle server mostly ends without one, or if
    it is tolerant and idle servers are scarce: other requests run alone then.
    """
    if load is None:
        return False
    if cost.tolerant and load.idle_share < 0.5:
        return True
    return _missed_share(load.idle_share) ** LAST_SLOT_ROUNDS > 0.5


def retry_share(
    cost: RequestCost,
    load: service_load.ZoneLoad | None,
    retries_per_request: float,
    max_attempts: int,
    window_left: float = 1.0,
) -> float:
    """Returns the share of the retry budget that a request may use up.

    If servers reject the share q of what they get, a caller whose first try got
    no retry comes back with the probability q. Its second try then needs q
    retries, or q + q^2 with up to three attempts. What the budget has beyond
    that is left to first tries, together with a part of the rest that is larger
    for more urgent requests.

    Args:
        cost: What its caller loses.
        load: Load of the service, or None if unknown.
        retries_per_request: Retries that the budget allows per request.
        max_attempts: Maximum number of attempts of one request.
        window_left: Part of the budget's window that is left since the servers
            began to reject requests. Retries needed after it are not paid from
            what the window allows.
    """
    if cost.returned or not is_rejecting(load):
        return 1.0
    rejected = load.rejected_share
    needed = sum(rejected**power for power in range(2, max_attempts + 1))
    # Retries of callers count as requests too.
    needed *= max(MIN_WINDOW_LEFT, window_left) / (1 + rejected)
    left = 0.0
    if retries_per_request > 0:
        left = max(0.0, 1 - needed / retries_per_request)
    return left + (1 - left) * URGENT_RETRY_SHARE * (1 - cost.rank)


def may_hedge(
    cost: RequestCost, load: service_load.ZoneLoad | None, waited_s: float
) -> bool:
    """Returns whether a slow request may be hedged before it is late.

    Args:
        cost: What its caller loses.
        load: Load of the service, or None if unknown.
        waited_s: Time since the request was sent, in seconds.
    """
    if load is None or is_rejecting(load):
        return False
    in_time = cost.slack_s >= 0
    slow = waited_s >= SLOW_DURATIONS * cost.usual_s
    return in_time and slow and _usable_share(load) >= HEDGE_FREE_SHARE


def next_wake(
    first: hedging.FirstAttempt, cost: RequestCost
) -> tuple[float, bool]:
    """Returns the time until a hedge of the only attempt is considered.

    Args:
        first: The attempt, which is not late yet.
        cost: What the caller loses.

    Returns:
        The time in seconds, and whether the attempt's server is probed then.
    """
    probe_s = hedging.PROBE_SHARE * first.objective_s - first.waited_s
    late_s = hedging.LATE_SHARE * first.objective_s - first.waited_s
    wake_s = late_s if first.probed else max(0.0, probe_s)
    if cost.slack_s > 0:
        slow_s = SLOW_DURATIONS * cost.usual_s - first.waited_s
        early_s = slow_s if slow_s > 0 else hedging.RECHECK_PAUSE_S
        if early_s < wake_s:
            return early_s + WAKE_LATER_S, False
    return wake_s + WAKE_LATER_S, not first.probed


def is_hopeless(
    cost: RequestCost, load: service_load.ZoneLoad | None = None
) -> bool:
    """Returns whether a request can't be served before the deadline any more.

    While the service is short, a request that would usually miss the deadline
    takes a slot from one that would not.
    """
    share = 1.0 if load is not None and is_short(load) else HOPELESS_SHARE
    return cost.remaining_s < share * cost.usual_s


def is_short(load: service_load.ZoneLoad) -> bool:
    """Returns whether requests often find no usable server."""
    return _missed_share(_usable_share(load)) > SHORT_SHARE


def is_rejecting(load: service_load.ZoneLoad | None) -> bool:
    """Returns whether servers reject many requests despite free slots."""
    return load is not None and load.rejected_share > REJECTING_SHARE


def is_likely_free(load: service_load.ZoneLoad | None, usual_s: float) -> bool:
    """Returns whether a slot is known to become free within one request.

    While the service is short, others wait for the slot as well: in trials of a
    burst, requests that waited beyond their objective made others late.
    """
    if load is None or is_short(load):
        return False
    return load.freed_per_s * usual_s >= 1


class ReturnWatch:
    """Notices that rejected callers of a service don't seem to come back.

    Retries that are reserved for them would be left unused then.

    Attributes:
        unreturned: First tries that were refused a retry since the last caller
            came back.
        rejecting: Whether servers rejected many requests at the last update.
        began_at: Loop time at which they began to.
    """

    def __init__(self) -> None:
        self.unreturned = 0
        self.rejecting = False
        self.began_at = 0.0

    def update(self, load: service_load.ZoneLoad | None, now: float) -> bool:
        """Returns whether the servers began or ended to reject requests."""
        before = self.rejecting
        self.rejecting = is_rejecting(load)
        if self.rejecting and not before:
            self.began_at = now
        return before != self.rejecting

    def window_left(self, window_s: float, now: float) -> float:
        """Returns the part of a window left since the servers rejected."""
        if not self.rejecting or window_s <= 0:
            return 1.0
        return max(0.0, 1 - (now - self.began_at) / window_s)

    def record_returned(self) -> None:
        """Records that a caller came back."""
        self.unreturned = 0

    def record_refused(self) -> None:
        """Records that a first try got no retry, which was reserved."""
        self.unreturned += 1

    @property
    def may_reserve(self) -> bool:
        """Whether reserved retries are likely to be used."""
        return self.unreturned < MAX_UNRETURNED


def _usable_share(load: service_load.ZoneLoad) -> float:
    return load.free_share * (1 - load.slow_share)


def _missed_share(share: float) -> float:
    """Returns how often a round of probes misses a share of the servers."""
    return (1 - min(1.0, max(0.0, share))) ** PROBES
