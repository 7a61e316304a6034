"""How long a request waits for a server, and what it takes in the end.

The load pattern: for some seconds more requests come than servers execute at
full speed.

A server slows down when its last slot is taken: all requests on it take longer,
and are late more often. Where a server with
a slot to spare turns up soon, waiting for it serves both. Where none does, last
slots are used all the same, as more work is done with them.

A longer wait for any slot makes none free sooner; all that wait have less time
left when their turn comes, and are late. A caller that is refused early has
time for another try, at a daemon that may know other servers. Where objectives
are wide a wait costs little, and refusing early would serve nobody.
"""

from typing import NamedTuple

# Pause before servers are asked again; a slot frees every 15 ms or so.
REPROBE_PAUSE_S = 0.015
# Longest wait for a server with a slot to spare, as a share of the latency
# objective and of the usual duration: the last slot costs a part of a duration,
# so that waiting for longer than that gains nothing.
LAST_SLOT_SHARE = 0.07
LAST_SLOT_WORK_SHARE = 0.25
# A request needs up to this many usual durations once it is sent: on a full
# server work takes so much longer.
NEEDED = 1.7
# Longest wait for any free slot, as a share of the latency objective, or of
# what it leaves beyond that where it leaves much.
ANY_SHARE = 0.07
LEFT_SHARE = 0.35
# The most urgent routes of a service wait for this share of their objective in
# any case; with the longer wait for all routes nobody would be the first.
URGENT_SHARE = 0.3
# In any case servers are asked twice more: one question may meet a moment in
# which no slot is free.
MIN_WAIT_S = 2 * REPROBE_PAUSE_S


class WaitLimits(NamedTuple):
    """Until when a request waits.

    Attributes:
        keep_last_slot_until: Loop time until which last slots are left alone.
        any_server_until: Loop time until which any free slot is waited for.
    """

    keep_last_slot_until: float
    any_server_until: float


def wait_limits(
    objective_s: float, usual_s: float, urgent: bool, now: float
) -> WaitLimits:
    """Returns until when a request waits that begins now.

    Args:
        objective_s: Latency objective of its route, in seconds.
        usual_s: Usual duration of the route's requests, in seconds.
        urgent: Whether the route is among the most urgent of its service.
        now: Loop time.
    """
    spare_s = min(LAST_SLOT_SHARE * objective_s, LAST_SLOT_WORK_SHARE * usual_s)
    left_s = objective_s - NEEDED * usual_s
    any_s = max(MIN_WAIT_S, ANY_SHARE * objective_s, LEFT_SHARE * left_s)
    if urgent:
        any_s = max(any_s, URGENT_SHARE * objective_s)
    return WaitLimits(now + spare_s, now + any_s)


def no_wait(now: float) -> WaitLimits:
    """Returns the limits of a request that takes what there is or nothing."""
    return WaitLimits(now, now)
