"""How good a server is for one request, from its load a moment ago."""

from banyantiller.gateway import types

# A server works slower for everybody once this share of its slots is busy.
FULL_SLOWDOWN = 0.7
FULL_SHARE = 0.8
# Other zones are farther: enough to break a tie and no more.
OTHER_ZONE = 1.03
# A server that still warms up works about twice as long.
WARMING = 2.0
# How a failure rate counts: a server that fails half of its requests is as
# bad as one that takes five times as long.
FAILURE_COST = 8.0


def duration_factor(load: types.Load) -> float:
    """Returns how long one more request takes, in usual durations."""
    slots = max(1, load.slots)
    taken = load.running + load.waiting + 1
    factor = load.slowness
    if min(taken, slots) / slots > FULL_SHARE:
        factor *= 1 + FULL_SLOWDOWN
    if taken > slots:
        factor *= 1 + (taken - slots) / slots
    return factor


def takes_last_slot(load: types.Load) -> bool:
    """Tells whether one more request takes the last of several slots."""
    return load.slots > 1 and load.running + 1 >= load.slots


def has_free_slot(load: types.Load) -> bool:
    """Tells whether a request would start at once."""
    return load.waiting == 0 and load.running < max(1, load.slots)


def score(
    load: types.Load, failures: float, same_zone: bool, warming: bool
) -> float:
    """Returns the cost of a server for one request; less is better.

    Args:
        load: Its load.
        failures: Its failure rate, 0 to 1.
        same_zone: Whether it is in the daemon's own availability zone.
        warming: Whether it started a moment ago.
    """
    cost = duration_factor(load) * (1 + FAILURE_COST * failures)
    if not same_zone:
        cost *= OTHER_ZONE
    if warming:
        cost *= WARMING
    return cost
