"""Keeps the requests of an organisation within an allowance of the fleet.

Load pattern: an organisation sends several times what it is allowed, spread
over all daemons. Each of them sees so few of its requests that a fixed share
would refuse most of what is allowed, and counts that daemons exchange are
outdated before the allowance is spent: 135 daemons receive seven times an
organisation's usual rate within 0.2 s of its limit.

So daemons ask before they admit a request. Each relay owns an equal part of
every allowance and grants it request by request. The parts add up to the whole
whatever daemons believe of each other, no relay needs to know the others, and
while one is lost the rest of the allowance remains. A relay that starts takes
its part for spent and regains it evenly over one window: the process before it
may have granted all of it.
"""

import collections
import math
import zlib

# Resolution of the times of grants, in seconds.
SLOT_S = 0.05
# Share of the slack that relays may grant again after a restart. The rest is
# for requests whose grant is given back although they reached a server.
RESTART_SLACK_SHARE = 0.5
# Refusals a second of one organisation at a relay at which daemons are told to
# wait for a second before they ask again.
REFUSALS_PER_WAIT_S = 50
MAX_WAIT_S = 2.0


def allowed_requests(per_s: float, burst: float, window_s: float) -> int:
    """Returns the requests that an allowance permits in any window."""
    return math.floor(per_s * window_s + burst)


def relay_part(total: int, name: str, index: int, count: int) -> int:
    """Returns a relay's part of the requests in a window.

    Args:
        total: Requests that the fleet is allowed.
        name: Name of the organisation, by which remainders are distributed.
        index: Index of the relay, from 0.
        count: Number of relays.
    """
    whole, remainder = divmod(total, count)
    offset = zlib.crc32(name.encode())
    return whole + ((index + offset) % count < remainder)


class GrantWindow:
    """Counts grants within a sliding window.

    Attributes:
        window_s: Length of the window, in seconds.
        slots: Start time and grants of each slot of the window with grants.
        count: Number of grants in the window.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.slots: collections.deque[list[float]] = collections.deque()
        self.count = 0

    def add(self, now: float, number: int = 1) -> None:
        """Counts grants."""
        start = math.floor(now / SLOT_S) * SLOT_S
        if not self.slots or self.slots[-1][0] < start:
            self.slots.append([start, 0])
        self.slots[-1][1] += number
        self.count += number

    def take_back(self, number: int) -> None:
        """Removes the latest grants, as they were not used."""
        while number > 0 and self.slots:
            removed = min(number, int(self.slots[-1][1]))
            self.slots[-1][1] -= removed
            self.count -= removed
            number -= removed
            if not self.slots[-1][1]:
                self.slots.pop()

    def expire(self, now: float) -> None:
        """Drops the grants that are older than the window."""
        while self.slots and self.slots[0][0] + SLOT_S <= now - self.window_s:
            self.count -= int(self.slots.popleft()[1])

    def next_free_s(self, now: float) -> float:
        """Returns the time until the oldest grants leave the window."""
        if not self.slots:
            return 0.0
        return max(0.0, self.slots[0][0] + SLOT_S + self.window_s - now)


class RelayAllowance:
    """A relay's part of the allowance of one organisation.

    Attributes:
        grants: Grants in the current window.
        refusals: Refusals of the last second.
        refused_at: Loop time of the last refusal.
    """

    def __init__(self, window_s: float) -> None:
        self.grants = GrantWindow(window_s)
        self.refusals = GrantWindow(1.0)
        self.refused_at = -math.inf

    def grant(
        self,
        asked: int,
        part: int,
        restart_slack: float,
        age_s: float,
        now: float,
    ) -> int:
        """Grants up to the number of requests that are asked for.

        Args:
            asked: Requests to grant.
            part: The relay's part of the allowance.
            restart_slack: Requests that may be granted twice after a restart.
            age_s: Time since the relay started, in seconds.
            now: Loop time.
        """
        self.grants.expire(now)
        self.refusals.expire(now)
        unknown_share = max(0.0, 1 - age_s / self.grants.window_s)
        spent = math.ceil(max(0.0, part * unknown_share - restart_slack))
        granted = min(asked, max(0, part - spent - self.grants.count))
        if granted:
            self.grants.add(now, granted)
        if granted < asked:
            self.refusals.add(now, asked - granted)
            self.refused_at = now
        return granted

    def wait_s(self, now: float) -> float:
        """Returns how long a refused daemon should not ask again.

        The time grows with the rate of refusals. Without that, an organisation
        beyond its limit would cost each relay a message per request.
        """
        wait_s = self.refusals.count / REFUSALS_PER_WAIT_S
        return min(
            MAX_WAIT_S, max(wait_s, min(self.grants.next_free_s(now), SLOT_S))
        )
