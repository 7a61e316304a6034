"""Times after which rejected callers may retry.

There are two load patterns. In a burst, which is over within seconds, a slot
becomes free within tens of milliseconds. A caller that retries soon finds one,
unless all rejected callers retry at the same moment.

In the other, servers reject requests although they have free slots, more often
than the retry budget covers. Waiting gains nothing then: an immediate retry is
as likely to succeed as a later one, and its response is more often in time.
"""

import random

from banyantiller.gateway.decisions import precedence, service_load

# Time after which a caller may retry. A caller has at least 0.5 s left, and
# accepts no time longer than a third of what it has left.
RETRY_AFTER_S = 0.15
# The same for a caller that servers with free slots rejected: time for a new
# connection.
REJECTED_RETRY_AFTER_S = 0.03
# Each caller's time is varied at random by up to this share, up or down.
RETRY_SPREAD = 0.3
# Time after which to retry at a daemon that has no document yet, or possibly
# not the latest.
START_RETRY_AFTER_S = 0.5
# Time after which to retry if all servers of the service are in evacuated
# zones.
EVACUATED_RETRY_AFTER_S = 1.0
# Bounds of the time given to a caller if all servers of a service limit their
# requests or asked for a backoff: it may retry when the first one accepts
# requests of this daemon again.
MIN_AVAILABLE_RETRY_AFTER_S = 0.03
MAX_AVAILABLE_RETRY_AFTER_S = 1.0
# Minimum time given to a caller that is expected to find a free slot: time for
# a new connection.
MIN_FREED_RETRY_AFTER_S = 0.03
# Callers wait no longer than this share of the time that they have left.
MAX_REMAINING_SHARE = 1 / 3


def available_retry_after_s(seconds_until_available: float) -> float:
    """Returns when a caller may retry if no server accepts requests now.

    Args:
        seconds_until_available: Time until this daemon may send to one, in
            seconds.

    Returns:
        The time in seconds.
    """
    bounded_s = max(MIN_AVAILABLE_RETRY_AFTER_S, seconds_until_available)
    return min(bounded_s, MAX_AVAILABLE_RETRY_AFTER_S)


def freed_retry_after_s(
    load: service_load.ZoneLoad | None,
    expected: float | None,
    remaining_s: float,
    rng: random.Random,
) -> float | None:
    """Returns when a slot is expected to be free for a rejected caller.

    Load pattern: a burst fills all servers, and each of many daemons rejects a
    few of the callers. Slots become free one after the other, so the callers
    are told to come back one after the other: none earlier than its slot, as it
    would take that of another one, and none together with all others.

    Args:
        load: Load of the service, or None if it is not known.
        expected: Number of callers that are expected back, this one included,
            or None if it is not known.
        remaining_s: Time until the caller's deadline, in seconds.
        rng: Source of the random variation.

    Returns:
        The time in seconds, or None if it is not known.
    """
    if load is None or expected is None or load.freed_per_s <= 0:
        return None
    if precedence.is_rejecting(load):
        # Waiting for a slot gains nothing then.
        return None
    longest_s = max(0.0, remaining_s) * MAX_REMAINING_SHARE
    turn_s = max(MIN_FREED_RETRY_AFTER_S, expected / load.freed_per_s)
    if turn_s > longest_s:
        # No slot is free for it in time. Another caller may not come back.
        return longest_s * (1 - rng.uniform(0, RETRY_SPREAD))
    return min(longest_s, turn_s * (1 + rng.uniform(0, RETRY_SPREAD)))


def spread_retry_after_s(wait_s: float, rng: random.Random) -> float:
    """Returns when a caller beyond its organisation's allowance may retry.

    Args:
        wait_s: Time until the allowance may permit a request, in seconds.
        rng: Source of the random variation, so that the callers of an
            organisation don't come back together.

    Returns:
        The time in seconds.
    """
    bounded_s = max(MIN_AVAILABLE_RETRY_AFTER_S, wait_s)
    return bounded_s * rng.uniform(1.0, 2.0)


def retry_after_s(rng: random.Random, by_servers: bool = False) -> float:
    """Returns the time after which a rejected caller may retry, in seconds.

    Args:
        rng: Source of the random variation.
        by_servers: Whether servers with free slots rejected the request.
    """
    mean_s = REJECTED_RETRY_AFTER_S if by_servers else RETRY_AFTER_S
    return mean_s * (1 + rng.uniform(-RETRY_SPREAD, RETRY_SPREAD))
