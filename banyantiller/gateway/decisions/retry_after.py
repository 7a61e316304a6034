"""When a caller that is turned away may come back.

Two load patterns. A burst is over within seconds, and a slot frees within tens
of milliseconds, so a caller that comes back soon finds one, unless all that
were refused come back together.

Or servers turn requests away although they have free slots, more often than the
retry budget bears. Nothing gets free then that a caller would have to wait for:
its next try is as good at once as later, and an answer is timely more often.
"""

import random

# When a caller may come back: it has 0.5 s at least, and takes no time that is
# longer than a third of what it has left.
RETRY_AFTER_S = 0.15
# The same for one that servers with free slots turned away: time for a new
# connection.
REJECTED_RETRY_AFTER_S = 0.03
# Each is told another time, by up to this share earlier or later.
RETRY_SPREAD = 0.3
# When a daemon that knows no document yet, or perhaps not the newest, may be
# asked again.
START_RETRY_AFTER_S = 0.5
# When a service may be asked again of which all servers are in evacuated zones.
EVACUATED_RETRY_AFTER_S = 1.0
# Bounds of the time told to a caller where all servers of a service name
# limits: it may come back when it is this daemon's turn at one of them.
MIN_TURN_RETRY_AFTER_S = 0.03
MAX_TURN_RETRY_AFTER_S = 1.0


def turn_retry_after_s(seconds_until_turn: float) -> float:
    """Returns when a caller may come back where servers name limits.

    Args:
        seconds_until_turn: Time until this daemon may send to one, in seconds.
    """
    least_s = max(MIN_TURN_RETRY_AFTER_S, seconds_until_turn)
    return min(least_s, MAX_TURN_RETRY_AFTER_S)


def retry_after_s(rng: random.Random, by_servers: bool = False) -> float:
    """Returns when a caller that was turned away may come back, in seconds.

    Args:
        rng: Source of the spread.
        by_servers: Whether servers that had free slots turned it away.
    """
    usual_s = REJECTED_RETRY_AFTER_S if by_servers else RETRY_AFTER_S
    return usual_s * (1 + rng.uniform(-RETRY_SPREAD, RETRY_SPREAD))
