"""Limits what each daemon sends to a server that is still cold.

Load pattern: a whole availability zone comes back at once. All its servers are
idle and cold while all others are full. Hundreds of daemons with waiting
requests find the same idle server within a few milliseconds, and the load that
it reports cannot show them each other's requests. A cold server that gets many
more requests a second than it states crashes.

The daemons do not coordinate here, and each may be wrong about their number.
So each daemon has a share of the rate that the server states. The share is
mostly less than one request a second. It then becomes a probability, drawn once
per daemon and server incarnation, of sending one request a second. If all
daemons have requests waiting, the fleet sends the stated rate on average, and
the number of daemons drawn bounds how many requests can coincide.
"""

import random
from typing import NamedTuple

# Minimum time between two requests of one daemon to one cold server.
MIN_SPACING_S = 1.0


class ColdAllowance(NamedTuple):
    """What a daemon may send to one cold server.

    Attributes:
        allowed: Whether it may send any request.
        spacing_s: Minimum time between two of its requests, in seconds.
    """

    allowed: bool
    spacing_s: float


def cold_allowance(
    daemon: str, incarnation: str, per_s: float, share: float
) -> ColdAllowance:
    """Returns what a daemon may send to a cold server.

    Args:
        daemon: Name of the daemon.
        incarnation: Identity of the server's incarnation.
        per_s: Requests a second that the server accepts from all daemons
            together while it is cold.
        share: This daemon's share of that rate, 0 to 1.
    """
    rate = per_s * share
    if rate * MIN_SPACING_S >= 1:
        return ColdAllowance(True, 1 / rate)
    # The draw is seeded, so each request gets the same result for as long as
    # the server is cold.
    drawn = random.Random(f"{daemon} {incarnation}").random()
    return ColdAllowance(drawn < rate * MIN_SPACING_S, MIN_SPACING_S)
