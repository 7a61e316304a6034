"""Schedules turns at a server that limits its requests from all daemons.

Load pattern: a server in trouble names the number of requests a second that it
accepts from all daemons together, often fewer than there are daemons, while
requests keep coming at the same rate. Each daemon sees free slots there and
none of the requests that its peers send.

If each daemon sent with a probability of its own, the total would be right on
average, but the more daemons there are, the more often several would send at
once. If a coordinator leased shares, they would be lost if it crashed. So the
daemons take turns: each has a position among those that share the limit, and
turns follow each other evenly at the stated rate. A turn expires soon, since
saved turns could all be used at the same moment. With an outdated view of the
fleet, turns are slightly too close or too far apart until the next reply.
"""

import math
import zlib
from typing import NamedTuple

# How long a turn may be used, in seconds. Turns that began up to this long
# before a time window may be used within it.
VALID_S = 0.7
# Rate used for a server that names a lower one, in requests a second of all
# daemons: only a response can show that it accepts more again.
MIN_PER_S = 0.1
# Minimum distance between two turns of a daemon, as a share of the usual
# distance. It holds also while the daemon's position changes.
MIN_DISTANCE_SHARE = 0.5


class FleetPosition(NamedTuple):
    """Position of a daemon among those that take turns.

    Attributes:
        rank: Index among the daemons that share with it, from 0.
        count: Number of these daemons, including itself.
        relay_count: Number of groups of daemons, one per relay; each group
            gets the same share.
        ahead_s: How far the group's clock is ahead of the loop's, in seconds.
    """

    rank: int
    count: int
    relay_count: int = 1
    ahead_s: float = 0.0


# Fleet size assumed by a daemon that cannot count its peers.
UNCOUNTED_FLEET = 24


def uncounted_position(daemon: str) -> FleetPosition:
    """Returns the position of a daemon that cannot count its peers."""
    return FleetPosition(
        zlib.crc32(daemon.encode()) % UNCOUNTED_FLEET, UNCOUNTED_FLEET
    )


class TurnUsage(NamedTuple):
    """Which of its turns at a server a daemon has used.

    Attributes:
        since: Loop time from which turns count.
        last: Loop time at which the last used turn began.
    """

    since: float
    last: float = -math.inf


def next_turn(
    position: FleetPosition,
    server: str,
    per_s: float,
    usage: TurnUsage,
    now: float,
) -> float:
    """Returns the loop time at which a daemon's next turn begins.

    The daemon may send if that is not later than `now`.

    Args:
        position: Its position.
        server: Identity of the server's incarnation; each has its own turns.
        per_s: Requests a second that the server accepts from all daemons.
        usage: Which turns the daemon has used.
        now: Loop time.
    """
    rate = max(per_s, MIN_PER_S) / (
        position.relay_count * max(1, position.count)
    )
    period_s = 1 / rate
    phase = position.rank / max(1, position.count) + _phase_offset(server)
    earliest = max(
        now - VALID_S, usage.since, usage.last + MIN_DISTANCE_SHARE * period_s
    )
    number = math.ceil((earliest + position.ahead_s) / period_s - phase)
    return (number + phase) * period_s - position.ahead_s


def _phase_offset(server: str) -> float:
    """Returns a number from 0 to below 1, the same at each daemon."""
    return zlib.crc32(server.encode()) / 2**32
