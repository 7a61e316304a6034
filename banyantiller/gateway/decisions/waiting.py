"""Limits how long a request waits for a server.

Load pattern: for some seconds more requests arrive than the servers can handle
at full speed.

A server slows down when its last slot is taken: all requests on it take longer
and are late more often. If a server with a second free slot turns up soon,
waiting for it is better for both requests. If none does, last slots are used
all the same, since the servers then get more work done.

A longer wait for any slot frees none sooner. All waiting requests have less
time left when they get a slot, and are late. A caller that is rejected early
has time for a retry at another daemon, which may know other servers. If the
objective is long, waiting costs little, and early rejection would help nobody.
"""

from typing import NamedTuple

# Pause before servers are probed again; a slot frees every 15 ms or so.
REPROBE_PAUSE_S = 0.015
# Maximum wait for a server whose last slot stays free, as a share of the
# latency objective and of the usual duration. Taking the last slot costs a
# fraction of a duration, so a longer wait gains nothing.
LAST_SLOT_SHARE = 0.07
LAST_SLOT_WORK_SHARE = 0.25
# A request needs up to this many usual durations once it is sent, since a full
# server takes that much longer.
FULL_SERVER_DURATIONS = 1.7
# Maximum wait for any free slot, as a share of the latency objective, or of the
# time that remains of it after the request itself, whichever is longer.
ANY_SERVER_SHARE = 0.07
REMAINING_SHARE = 0.35
# The most urgent routes of a service may always wait for this share of their
# objective. If all routes waited this long, none would have precedence.
URGENT_SHARE = 0.3
# Servers are always probed at least twice more: a single probe may hit a moment
# without a free slot.
MIN_WAIT_S = 2 * REPROBE_PAUSE_S


class WaitLimits(NamedTuple):
    """Until when a request waits.

    Attributes:
        keep_last_slot_until: Loop time until which the last slots of servers
            are kept free.
        any_server_until: Loop time until which it waits for any free slot.
        reprobe_pause_s: Pause before servers are probed again, in seconds.
        max_more_probes: Maximum number of servers in the second part of a round
            of probes, mostly of other zones; None for the usual number.
    """

    keep_last_slot_until: float
    any_server_until: float
    reprobe_pause_s: float = REPROBE_PAUSE_S
    max_more_probes: int | None = None


def wait_limits(
    objective_s: float, usual_s: float, urgent: bool, now: float
) -> WaitLimits:
    """Returns until when a request that begins now waits.

    Args:
        objective_s: Latency objective of its route, in seconds.
        usual_s: Usual duration of the route's requests, in seconds.
        urgent: Whether the route is among the most urgent of its service.
        now: Loop time.
    """
    keep_s = min(LAST_SLOT_SHARE * objective_s, LAST_SLOT_WORK_SHARE * usual_s)
    left_s = objective_s - FULL_SERVER_DURATIONS * usual_s
    any_s = max(
        MIN_WAIT_S, ANY_SERVER_SHARE * objective_s, REMAINING_SHARE * left_s
    )
    if urgent:
        any_s = max(any_s, URGENT_SHARE * objective_s)
    return WaitLimits(now + keep_s, now + any_s)


def no_wait(now: float) -> WaitLimits:
    """Returns the limits of a request that does not wait for a server."""
    return WaitLimits(now, now)
