"""Scores servers for one request, by the load that they reported last."""

from banyantiller.gateway import types

# A server works slower for all its requests, by a factor of 1 + FULL_SLOWDOWN,
# once more than the share FULL_SHARE of its slots is busy.
FULL_SLOWDOWN = 0.7
FULL_SHARE = 0.8
# Cost factor of servers in other zones: they are farther away, which breaks a
# tie and counts for no more.
OTHER_ZONE_FACTOR = 1.03
# Cost factor of a server that is warming up: its requests take about twice as
# long.
WARMUP_FACTOR = 2.0
# Cost of the failure rate: a server that fails half of its requests is as bad
# as one whose requests take five times as long.
FAILURE_COST = 8.0
# A server that is slower than usual by more than this factor gets no request:
# noisy neighbours slow a server for tenths of a second only, and a request sent
# meanwhile would be late.
MAX_SLOWNESS = 2.0


def duration_factor(load: types.Load) -> float:
    """Returns the duration of one more request, in usual durations."""
    slots = max(1, load.slots)
    taken = load.running + load.waiting + 1
    factor = load.slowness
    if min(taken, slots) / slots > FULL_SHARE:
        factor *= 1 + FULL_SLOWDOWN
    if taken > slots:
        factor *= 1 + (taken - slots) / slots
    return factor


def takes_last_slot(load: types.Load) -> bool:
    """Returns whether one more request takes the last of several slots."""
    return load.slots > 1 and load.running + 1 >= load.slots


def has_free_slot(load: types.Load) -> bool:
    """Returns whether a request would start at once."""
    return load.waiting == 0 and load.running < max(1, load.slots)


def score(
    load: types.Load, failure_rate: float, same_zone: bool, warming: bool
) -> float:
    """Returns the cost of a server for one request; lower is better.

    Args:
        load: Its load.
        failure_rate: Its failure rate, 0 to 1.
        same_zone: Whether it is in the daemon's local availability zone.
        warming: Whether it is still warming up.
    """
    cost = duration_factor(load) * (1 + FAILURE_COST * failure_rate)
    if not same_zone:
        cost *= OTHER_ZONE_FACTOR
    if warming:
        cost *= WARMUP_FACTOR
    return cost
