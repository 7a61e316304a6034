"""Recognises callers that come back after their request was rejected.

Load pattern: for some seconds a service rejects half of the requests of over a
hundred daemons. Each caller retries once, at another daemon, which sees a
request like any other. If retries of its own go to whoever asks first, some
callers get two chances at two daemons and others none.

So the relay that a request's fingerprint selects counts its rejections. A relay
sees only those returning callers that are rejected again. The share of rejected
callers that come back is therefore the number seen divided by the number that
would be seen if all came back: each is rejected again as often as the other
requests of that time are.
"""

import collections
import hashlib
from collections.abc import Sequence
from typing import NamedTuple

# Rejections are remembered for this long, in seconds.
MEMORY_S = 5.0
# A caller comes back within a third of the time that it has left, at most 6 s.
RETURN_S = 2.0
# Rejections after which a request has no precedence: a caller that retries at
# once and often would take the place of those that wait.
REPEATED = 3
# At 312 daemons that reject two requests a second each, a third of the
# fingerprints of `MEMORY_S` are 1,040 entries.
MAX_ENTRIES = 4096
# Callers from which the share that comes back is computed.
MAX_OUTCOMES = 512
# Callers expected to be seen again before which the share is not known: the
# standard deviation at a share of a half is 0.14 then.
MIN_EXPECTED = 25.0
# How fast the counts that give the share of rejected requests are forgotten,
# for each rejection.
REJECTION_MEMORY = 0.98


class OtherRequests(NamedTuple):
    """Recent requests of the service at the daemon that rejects one.

    Attributes:
        count: Number of requests, without the rejected one.
        rejected: How many of them were rejected as well.
    """

    count: int
    rejected: int


class Rejections:
    """Rejections of one request.

    Attributes:
        times: Loop times of the last ones, at most `REPEATED`.
        first_at: Loop time of the first one.
        last_at: Loop time of the last one.
        returned: Whether it came back within `RETURN_S`.
    """

    __slots__ = ("first_at", "last_at", "returned", "times")

    def __init__(self, now: float) -> None:
        self.times = [now]
        self.first_at = now
        self.last_at = now
        self.returned = False


class RejectionTable:
    """Recent rejections by the fingerprint of the request.

    Attributes:
        entries: Rejections by fingerprint, the oldest first.
        pending: Loop time and fingerprint of first rejections of which it is
            not known yet whether the caller comes back.
        outcomes: Whether a caller came back, and with which probability it
            would have been seen if it had.
        others: Decaying sum of other requests at the daemons that rejected.
        others_rejected: The same of those that were rejected.
    """

    def __init__(self) -> None:
        self.entries: collections.OrderedDict[bytes, Rejections] = (
            collections.OrderedDict()
        )
        self.pending: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=MAX_ENTRIES)
        )
        self.outcomes: collections.deque[tuple[bool, float]] = (
            collections.deque(maxlen=MAX_OUTCOMES)
        )
        self.others = 0.0
        self.others_rejected = 0.0

    def record(self, fingerprint: bytes, now: float) -> int:
        """Records a rejection and returns the number of earlier ones."""
        self.expire(now)
        found = self.entries.get(fingerprint)
        if found is None or not found.times:
            self.entries.pop(fingerprint, None)
            if len(self.entries) >= MAX_ENTRIES:
                self.entries.popitem(last=False)
            self.entries[fingerprint] = Rejections(now)
            self.pending.append((now, fingerprint))
            return 0
        oldest = now - MEMORY_S
        earlier = sum(1 for time in found.times if time > oldest)
        found.times = [*found.times, now][-REPEATED:]
        found.last_at = now
        found.returned |= now <= found.first_at + RETURN_S
        self.entries.move_to_end(fingerprint)
        return earlier

    def record_others(self, others: OtherRequests) -> None:
        """Records the other requests at a daemon that rejected one."""
        self.others = self.others * REJECTION_MEMORY + others.count
        self.others_rejected = (
            self.others_rejected * REJECTION_MEMORY + others.rejected
        )

    def withdraw(self, fingerprint: bytes) -> None:
        """Forgets the rejections of a request that was served after all."""
        found = self.entries.get(fingerprint)
        if found is None:
            return
        if found.returned:
            # Still counts for the share of callers that come back.
            found.times = []
        else:
            del self.entries[fingerprint]

    def expire(self, now: float) -> None:
        """Drops old entries and counts which callers came back."""
        while self.pending and self.pending[0][0] <= now - RETURN_S:
            first_at, fingerprint = self.pending.popleft()
            found = self.entries.get(fingerprint)
            if found is not None and found.first_at == first_at and self.others:
                probability = self.others_rejected / self.others
                self.outcomes.append((found.returned, probability))
        while self.entries:
            fingerprint, found = next(iter(self.entries.items()))
            if found.last_at > now - MEMORY_S:
                return
            del self.entries[fingerprint]

    def returned_share(self) -> float | None:
        """Returns the share of callers that come back, or None if unknown."""
        expected = sum(probability for _, probability in self.outcomes)
        if expected < MIN_EXPECTED:
            return None
        returned = sum(returned for returned, _ in self.outcomes)
        return min(1.0, returned / expected)


class ReturnQueue:
    """Callers that a relay expects back, in the order of their rejections.

    The queue shortens as slots become free, whether or not callers are seen.

    Attributes:
        length: Number of callers.
        updated_at: Loop time of that number.
    """

    def __init__(self) -> None:
        self.length = 0.0
        self.updated_at = 0.0

    def join(self, freed_per_s: float, now: float) -> float:
        """Adds a caller and returns its position, from 1.

        Args:
            freed_per_s: Slots that become free a second for these callers.
            now: Loop time.
        """
        freed = (now - self.updated_at) * freed_per_s
        position = max(0.0, self.length - freed) + 1
        # No caller waits longer, so that those behind would never come.
        self.length = min(position, max(1.0, freed_per_s * RETURN_S))
        self.updated_at = now
        return position


def has_precedence(earlier: int) -> bool:
    """Returns whether a request goes before new ones of the same cost.

    Args:
        earlier: Number of its earlier rejections within `MEMORY_S`.
    """
    return 0 < earlier < REPEATED


def choose_relay(fingerprint: bytes, relays: Sequence[str]) -> str:
    """Returns the relay that counts the rejections of a request.

    By rendezvous hashing, the requests of a relay that settings no longer name
    are divided among the others, and all other requests keep theirs.
    """
    return max(
        relays,
        key=lambda relay: hashlib.blake2b(
            fingerprint + relay.encode(), digest_size=8
        ).digest(),
    )
