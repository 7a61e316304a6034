"""The right to probe one service, handed on without comparing clocks.

A service has a few permits for the whole fleet. A permit allows one probe
each `spacing_s`. It is held for a stated duration, counted by its holder from
before it asks for it, and by everybody else from when they first see that it
was taken. So the next holder begins after the last one's end, whatever their
wall clocks say, and nobody needs to know how many daemons there are.
"""

import dataclasses
import math
import random
from typing import Any, NamedTuple

from banyantiller.measuring import objects

SPACING_MARGIN = 1.05
DRIFT_MARGIN = 1.02
WAIT_MARGIN_S = 0.05
GRACE_S = 1.0
MOST_USES = 8
FIRST_APPETITE = 2
LONGEST_USE_S = 8.5
MOST_TAKEN = 8
WISH_S = 5.0
LEAVE_S = 1.0
POLL_S = 2.0
FIRST_JITTER_S = 0.5
LONGEST_JITTER_S = 4.0
MOST_PERMITS = 200


class Seen(NamedTuple):
    """A permit and since when this daemon knows it.

    Attributes:
        permit: The permit.
        since: Loop time at which it was seen first.
    """

    permit: objects.Permit
    since: float


@dataclasses.dataclass(slots=True)
class Held:
    """A permit that this daemon may use.

    Attributes:
        nonce: Nonce of the take.
        since: Loop time of the request that took it.
        until: Loop time of its end.
        wall: Wall-clock seconds of the request.
        uses: Probes that are left.
        last: Loop time of the last probe, or None.
        counted: Whether its use has changed the appetite.
    """

    nonce: str
    since: float
    until: float
    wall: float
    uses: int
    last: float | None = None
    counted: bool = False


class Ledger:
    """What one daemon knows and holds of one service's permits.

    Attributes:
        count: Permits that the budget allows.
        spacing_s: Least time between two probes of one permit.
        most_uses: Most probes for which a permit is held.
        seen: Permits as last read, by index, or None if none could be read.
        held: Permits that this daemon took last, by index.
        waiting: Whether a daemon asked the last holders for the next turn.
        missed: Turns of others seen since this daemon's own last turn.
        wished_at: Loop time of the last probe that was not allowed.
        appetite: Probes to take next, from how many were used before.
        spent: Probes allowed so far.
        due: Loop time before which the object API need not be asked.
    """

    def __init__(self, probes_per_second: float, rng: random.Random) -> None:
        self.random = rng
        self.seen: dict[int, Seen] | None = None
        self.held: dict[int, Held] = {}
        self.waiting = False
        self.missed = 0
        self.wished_at = -math.inf
        self.appetite = FIRST_APPETITE
        self.spent = 0
        self.due = 0.0
        self.jitter_s = FIRST_JITTER_S
        self.configure(probes_per_second)

    def configure(self, probes_per_second: float) -> None:
        """Takes the budget of the bundle in force."""
        whole = max(1, math.floor(probes_per_second))
        self.count = 0 if probes_per_second <= 0 else min(whole, MOST_PERMITS)
        period_s = max(1.0, 1.0 / max(probes_per_second, 1e-6))
        self.spacing_s = period_s * SPACING_MARGIN
        fitting = int(LONGEST_USE_S / self.spacing_s)
        self.most_uses = max(1, min(MOST_USES, fitting))
        for index in [i for i in self.held if i >= self.count]:
            del self.held[index]

    def charge(self, now: float, wall: float) -> bool:
        """Takes one probe out of what is held.

        Args:
            now: Loop time.
            wall: Wall-clock seconds; shows a pause that the loop's clock
                does not count.

        Returns:
            Whether a probe may be sent at once.
        """
        for held in self.held.values():
            if self._may_use(held, now, wall):
                held.uses -= 1
                held.last = now
                self.spent += 1
                return True
        self.wished_at = now
        return False

    def wishes(self, now: float) -> bool:
        """Tells whether more permits are wanted than are in use."""
        if self.count == 0 or now - self.wished_at > WISH_S:
            return False
        return self._wanted(now) > 0

    def observe(self, value: dict[str, Any], now: float) -> None:
        """Takes what was read from the object API."""
        permits = objects.read_permits(value)
        self.waiting = bool(value.get("waiting"))
        if permits is None:
            self.seen = None
            return
        # A permit that the object lacks may have been held before the object
        # was written anew, so it too is left alone for the longest time.
        missing = objects.Permit("", self._longest_s())
        permits += [missing] * (self.count - len(permits))
        before = self.seen or {}
        self.seen = {}
        for index, permit in enumerate(permits):
            known = before.get(index)
            is_same = known is not None and known.permit == permit
            self.seen[index] = known if is_same else Seen(permit, now)
        self.missed += any(seen.since == now for seen in self.seen.values())

    def begin(self, nonce: str) -> objects.Begin:
        """Returns permits that count as taken just now by nobody."""
        permit = objects.Permit(nonce, self._longest_s())
        return objects.Begin(objects.to_value([permit] * self.count))

    def plan(self, now: float, nonce: str) -> objects.Write | None:
        """Decides what to write after a read; None means to wait."""
        if self.seen is None:
            return self.begin(nonce)
        free = [i for i in range(self.count) if now >= self.free_at(i)]
        if not free:
            self._wait(now)
            return self._ask()
        number = min(max(self._wanted(now), 1), len(free))
        indexes = tuple(self.random.sample(free, number))
        uses = min(self.appetite, self.most_uses)
        if self.waiting:
            uses = math.ceil(uses / 2)
        use_s = (uses - 1) * self.spacing_s + GRACE_S
        taken = objects.Permit(nonce, use_s + self.spacing_s)
        return objects.Take(
            self._value_with(indexes, taken), indexes, uses, use_s
        )

    def took(self, take: objects.Take, sent_at: float, wall: float) -> None:
        """The update took effect.

        Args:
            take: What was written.
            sent_at: Loop time before it was sent.
            wall: Wall-clock seconds before it was sent.
        """
        self._learn_appetite(sent_at)
        self.observe(take.value, sent_at)
        until = sent_at + take.use_s
        for index in set(take.indexes) & set(range(self.count)):
            nonce = self.seen[index].permit.nonce
            self.held[index] = Held(nonce, sent_at, until, wall, take.uses)
        self.missed = 0
        self.jitter_s = max(self.jitter_s / 2, FIRST_JITTER_S)
        self.due = sent_at + GRACE_S

    def lost(self, now: float) -> None:
        """Another daemon was faster, or the object API did not answer."""
        self.due = now + self.random.uniform(0, self.jitter_s)
        self.jitter_s = min(self.jitter_s * 2, LONGEST_JITTER_S)

    def free_at(self, index: int) -> float:
        """Returns the loop time from which a permit may be taken.

        One that this daemon held last is left to others for a turn if they
        ask for it.
        """
        seen = (self.seen or {}).get(index)
        if seen is None:
            return math.inf
        wait_s = seen.permit.lasts_s * DRIFT_MARGIN + WAIT_MARGIN_S
        if self.waiting and self._is_mine(seen.permit):
            wait_s += wait_s + LEAVE_S
        return seen.since + wait_s

    def _longest_s(self) -> float:
        return self.most_uses * self.spacing_s + GRACE_S

    def _is_mine(self, permit: objects.Permit) -> bool:
        return any(h.nonce == permit.nonce for h in self.held.values())

    def _wanted(self, now: float) -> int:
        """Returns how many permits to take besides those in use."""
        in_use = sum(h.uses > 0 and now < h.until for h in self.held.values())
        wanted = math.ceil(self.appetite / self.most_uses)
        return min(wanted, self.count, MOST_TAKEN) - in_use

    def _ask(self) -> objects.Ask | None:
        seen = self.seen or {}
        if self.waiting:
            return None
        if any(self._is_mine(known.permit) for known in seen.values()):
            return None
        permits = [known.permit for known in seen.values()]
        return objects.Ask(objects.to_value(permits, waiting=True))

    def _wait(self, now: float) -> None:
        """Plans the next read, earlier the more turns were missed.

        Who sees a take late may take the next turn late only, and would miss
        that one too.
        """
        soonest = min(self.free_at(index) for index in range(self.count))
        pause_s = max(POLL_S, (soonest - now) / max(1, self.missed))
        wake_at = min(soonest, now + pause_s)
        self.due = wake_at + self.random.uniform(0, self.jitter_s)

    def _may_use(self, held: Held, now: float, wall: float) -> bool:
        limit_s = held.until - held.since
        if not held.uses or not held.since <= now <= held.until:
            return False
        if not 0 <= wall - held.wall <= limit_s:
            return False
        return held.last is None or now - held.last >= self.spacing_s

    def _value_with(
        self, indexes: tuple[int, ...], taken: objects.Permit
    ) -> dict[str, Any]:
        permits = [known.permit for known in (self.seen or {}).values()]
        for index in indexes:
            permits[index] = taken
        return objects.to_value(permits)

    def _learn_appetite(self, now: float) -> None:
        """Doubles what is taken while all of it is used, else halves it."""
        for held in self.held.values():
            if held.counted or (held.uses and now < held.until):
                continue
            held.counted = True
            if held.uses:
                self.appetite = max(1, self.appetite // 2)
            else:
                self.appetite *= 2
        most = self.most_uses * min(self.count, MOST_TAKEN)
        self.appetite = max(1, min(self.appetite, most))
