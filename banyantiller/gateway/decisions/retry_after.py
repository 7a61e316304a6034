"""Times after which rejected callers may retry.

There are two load patterns. In a burst, which is over within seconds, a slot
becomes free within tens of milliseconds. A caller that retries soon finds one,
unless all rejected callers retry at the same moment.

In the other, servers reject requests although they have free slots, more often
than the retry budget covers. Waiting gains nothing then: an immediate retry is
as likely to succeed as a later one, and its response is more often in time.
"""

import random

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
