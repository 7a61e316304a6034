"""Which requests a server gets while it is cold.

The load pattern: a whole availability zone comes back at once, all its servers
idle and cold, while all others are full. Hundreds of daemons with requests that
wait see the same idle server within a few milliseconds, and no load that it
tells can warn them of one another. A cold server that gets well more requests a
second than it states ends.

Daemons agree on nothing here, and each may be wrong on how many there are. So
each has a part of its own: its share of the rate that the server states. As
that is less than one request a second, it becomes a chance, drawn once for a
daemon and a start of a server, to send one request a second. The fleet sends
the stated rate in the mean if all daemons press, and the number of those that
were drawn bounds what can come together.
"""

import random
from typing import NamedTuple

# Least time between two requests of one daemon to one cold server.
SPACING_S = 1.0


class ColdAllowance(NamedTuple):
    """What a daemon may send to one cold server.

    Attributes:
        allowed: Whether it may send anything.
        spacing_s: Least time between two of its requests, in seconds.
    """

    allowed: bool
    spacing_s: float


def cold_allowance(
    daemon: str, incarnation: str, per_s: float, share: float
) -> ColdAllowance:
    """Returns the part of a daemon.

    Args:
        daemon: Name of the daemon.
        incarnation: Identity of the server's start.
        per_s: Requests a second that it bears while it is cold, of all daemons.
        share: This daemon's share of that rate.
    """
    rate = per_s * share
    if rate * SPACING_S >= 1:
        return ColdAllowance(True, 1 / rate)
    # The same for as long as the server is cold, whatever asks for it.
    drawn = random.Random(f"{daemon} {incarnation}").random()
    return ColdAllowance(drawn < rate * SPACING_S, SPACING_S)
