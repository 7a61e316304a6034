"""Keeps the requests of an organisation within an allowance of the fleet.

Load pattern: an organisation sends several times what it is allowed, spread
over all daemons. Each of them sees so few of its requests that a fixed share
would refuse most of what is allowed, and counts that daemons exchange are
outdated before the allowance is spent: 135 daemons receive seven times an
organisation's usual rate within 0.2 s of its limit.

So daemons ask before they admit a request. Each relay owns an equal part of
every allowance and grants it request by request, from a bucket of tokens that
fills at its part of the rate. The parts add up to the whole whatever daemons
believe of each other, no relay needs to know the others, and while one is lost
the rest of the allowance remains. A relay that starts begins with an empty
bucket: what the process before it granted in some time and what the new one
grants are together no more than the rate for that time and one full bucket.
"""

import collections
import math
import random
from typing import NamedTuple

# Resolution of the times of requests, in seconds.
SLOT_S = 0.05
# Share of the slack that is part of the buckets, and share with which a relay
# starts. Small organisations have less than one request of burst at each relay.
SLACK_SHARE = 0.5
# A relay grants single requests, however small its part of a burst is.
MIN_TOKENS = 1.0
# Refusals a second of one organisation at a relay at which daemons are told to
# wait for a second before they ask again.
REFUSALS_PER_WAIT_S = 50
MAX_WAIT_S = 2.0
# Share of an allowance that all daemons admit together while no relay responds
# to them. If this is so for a quarter of the daemons, as in one of four
# availability zones, a tenth more than the allowance may run.
ALONE_SHARE = 0.4
# Size of the fleet assumed by a daemon that no relay ever counted. If there are
# fewer daemons, they admit less.
LARGEST_FLEET = 400


def allowed_requests(per_s: float, burst: float, window_s: float) -> int:
    """Returns the requests that an allowance permits in any window."""
    return math.floor(per_s * window_s + burst)


def requests_alone(
    allowed: int, daemons: int | None, rng: random.Random
) -> int:
    """Returns the requests in a window that a daemon admits without a relay.

    The part of one daemon is rounded up or down at random, so that the parts of
    many daemons add up to what all of them may admit.

    Args:
        allowed: Requests that the allowance permits in the window.
        daemons: Number of daemons, or None if it is not known.
        rng: Source of the rounding.
    """
    part = ALONE_SHARE * allowed / max(1, daemons or LARGEST_FLEET)
    return math.floor(part + rng.random())


class RequestWindow:
    """Counts requests within a sliding window.

    Attributes:
        window_s: Length of the window, in seconds.
        slots: Start time and requests of each slot of the window with requests.
        count: Number of requests in the window.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.slots: collections.deque[list[float]] = collections.deque()
        self.count = 0

    def add(self, now: float, number: int = 1) -> None:
        """Counts requests."""
        start = math.floor(now / SLOT_S) * SLOT_S
        if not self.slots or self.slots[-1][0] < start:
            self.slots.append([start, 0])
        self.slots[-1][1] += number
        self.count += number

    def expire(self, now: float) -> None:
        """Drops the requests that are older than the window."""
        while self.slots and self.slots[0][0] + SLOT_S <= now - self.window_s:
            self.count -= int(self.slots.popleft()[1])


class BucketLimits(NamedTuple):
    """A relay's part of an allowance.

    Attributes:
        per_s: Tokens that its bucket gains, per second.
        capacity: Maximum number of tokens.
        start: Tokens with which a relay starts.
    """

    per_s: float
    capacity: float
    start: float


def relay_part(
    per_s: float, burst: float, slack: float, count: int
) -> BucketLimits:
    """Returns a relay's part of an allowance.

    Args:
        per_s: Requests a second that all daemons may run.
        burst: Requests beyond that rate.
        slack: Requests by which a window may exceed the allowance.
        count: Number of relays.
    """
    start = slack * SLACK_SHARE / count
    return BucketLimits(
        per_s / count, max(MIN_TOKENS, burst / count + start), start
    )


class RelayAllowance:
    """A relay's bucket of tokens for one organisation.

    Attributes:
        tokens: Requests that may be granted at once.
        updated_at: Loop time up to which the bucket was filled.
        refusals: Refusals of the last second.
        refused_at: Loop time of the last refusal.
    """

    def __init__(self, limits: BucketLimits, started_at: float) -> None:
        self.tokens = min(limits.start, limits.capacity)
        self.updated_at = started_at
        self.refusals = RequestWindow(1.0)
        self.refused_at = -math.inf

    def grant(self, asked: int, limits: BucketLimits, now: float) -> int:
        """Grants up to the number of requests that are asked for."""
        self.fill(limits, now)
        self.refusals.expire(now)
        granted = min(asked, math.floor(self.tokens))
        self.tokens -= granted
        if granted < asked:
            self.refusals.add(now, asked - granted)
            self.refused_at = now
        return granted

    def fill(self, limits: BucketLimits, now: float) -> None:
        """Adds the tokens gained since the last call."""
        gained = (now - self.updated_at) * limits.per_s
        self.tokens = min(limits.capacity, self.tokens + gained)
        self.updated_at = now

    def take_back(self, number: int) -> None:
        """Returns the tokens of grants that were not used."""
        self.tokens += number

    def wait_s(self, limits: BucketLimits) -> float:
        """Returns how long a refused daemon should not ask again.

        The time grows with the rate of refusals. Without that, an organisation
        beyond its limit would cost each relay a message per request.
        """
        next_token_s = max(0.0, 1 - self.tokens) / limits.per_s
        wait_s = self.refusals.count / REFUSALS_PER_WAIT_S
        return min(MAX_WAIT_S, max(wait_s, min(next_token_s, SLOT_S)))
