"""Whose turn it is to send to a server that takes few requests of all.

The load pattern: a server in need names the requests a second that it takes
from all daemons together, often fewer than there are daemons, and the rest of
the load goes on. Each daemon sees idle slots there and none of the requests
that others send.

Where each daemon has a chance of its own, the sum is right in the mean, and
the more daemons there are the more often several come together. Where somebody
lends parts, they are gone with the lender. So the daemons take turns: each has
a place among those that share with it, and turns follow one another evenly at
the stated rate. A daemon keeps no turn for long, since turns that were saved
could all be used in the same moment. With a view of the fleet that is out of
date, turns are a little denser or sparser until the next answer.
"""

import math
import zlib
from typing import NamedTuple

# How long a turn may be used, in seconds. Turns that began up to so long before
# a window may be used in it.
VALID_S = 0.7
# What a server is sent that names less, in requests a second of all daemons:
# nothing but an answer shows that it takes more again.
MIN_PER_S = 0.1
# Two turns of a daemon are this share of their distance apart, also while it
# is told another place.
MIN_DISTANCE = 0.5


class FleetPosition(NamedTuple):
    """A daemon's place among those that take turns.

    Attributes:
        rank: Its number among the daemons that share with it, from 0.
        count: Number of these daemons.
        relay_count: Number of groups of daemons; each uses the same part.
        ahead_s: How far the group's clock is ahead of the loop's, in seconds.
    """

    rank: int
    count: int
    relay_count: int = 1
    ahead_s: float = 0.0


# Daemons that a daemon without others to count takes for its fleet.
UNCOUNTED_FLEET = 24


def uncounted_position(daemon: str) -> FleetPosition:
    """Returns the place of a daemon that has no others to count."""
    return FleetPosition(
        zlib.crc32(daemon.encode()) % UNCOUNTED_FLEET, UNCOUNTED_FLEET
    )


class TurnUsage(NamedTuple):
    """What a daemon has used of its turns at a server.

    Attributes:
        since: Loop time from which turns count.
        last: Loop time at which the last turn that it used began.
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
    """Returns the loop time at which the next turn of a daemon begins.

    It may send if that is not later than `now`.

    Args:
        position: Its place.
        server: Identity of the server's start; each has turns of its own.
        per_s: Requests a second that the server takes from all daemons.
        usage: What the daemon has used of its turns.
        now: Loop time.
    """
    rate = max(per_s, MIN_PER_S) / (
        position.relay_count * max(1, position.count)
    )
    period_s = 1 / rate
    phase = position.rank / max(1, position.count) + _offset(server)
    earliest = max(
        now - VALID_S, usage.since, usage.last + MIN_DISTANCE * period_s
    )
    number = math.ceil((earliest + position.ahead_s) / period_s - phase)
    return (number + phase) * period_s - position.ahead_s


def _offset(server: str) -> float:
    """Returns a number from 0 to below 1, the same at every daemon."""
    return zlib.crc32(server.encode()) / 2**32
