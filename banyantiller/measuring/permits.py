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
MAX_USES = 8
INITIAL_BATCH_PROBES = 2
MAX_USE_S = 8.5
MAX_PERMITS_PER_TAKE = 8
DEMAND_WINDOW_S = 5.0
YIELD_MARGIN_S = 1.0
POLL_S = 2.0
INITIAL_JITTER_S = 0.5
MAX_JITTER_S = 4.0
MAX_PERMITS = 200


class ObservedPermit(NamedTuple):
    """A permit and since when this daemon knows it.

    Attributes:
        permit: The permit.
        since: Loop time at which it was seen first.
    """

    permit: objects.Permit
    since: float


@dataclasses.dataclass(slots=True)
class HeldPermit:
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
    last_probe_at: float | None = None
    batch_adapted: bool = False


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
        self.observed: dict[int, ObservedPermit] | None = None
        self.held: dict[int, HeldPermit] = {}
        self.waiting = False
        self.missed_takes = 0
        self.denied_at = -math.inf
        self.batch_probes = INITIAL_BATCH_PROBES
        self.spent_probes = 0
        self.next_read_at = 0.0
        self.jitter_s = INITIAL_JITTER_S
        self.configure(probes_per_second)

    def configure(self, probes_per_second: float) -> None:
        """Takes the budget of the bundle in force."""
        whole = max(1, math.floor(probes_per_second))
        self.count = 0 if probes_per_second <= 0 else min(whole, MAX_PERMITS)
        period_s = max(1.0, 1.0 / max(probes_per_second, 1e-6))
        self.spacing_s = period_s * SPACING_MARGIN
        fitting = int(MAX_USE_S / self.spacing_s)
        self.max_uses = max(1, min(MAX_USES, fitting))
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
                held.last_probe_at = now
                self.spent_probes += 1
                return True
        self.denied_at = now
        return False

    def wants_permits(self, now: float) -> bool:
        """Tells whether more permits are wanted than are in use."""
        if self.count == 0 or now - self.denied_at > DEMAND_WINDOW_S:
            return False
        return self._wanted_permits(now) > 0

    def observe(self, value: dict[str, Any], now: float) -> None:
        """Takes what was read from the object API."""
        permits = objects.read_permits(value)
        self.waiting = bool(value.get("waiting"))
        if permits is None:
            self.observed = None
            return
        # A permit that the object lacks may have been held before the object
        # was written anew, so it too is left alone for the longest time.
        missing = objects.Permit("", self._max_lease_s())
        permits += [missing] * (self.count - len(permits))
        before = self.observed or {}
        self.observed = {}
        for index, permit in enumerate(permits):
            previous = before.get(index)
            is_same = previous is not None and previous.permit == permit
            self.observed[index] = (
                previous if is_same else ObservedPermit(permit, now)
            )
        self.missed_takes += any(
            entry.since == now for entry in self.observed.values()
        )

    def plan_reset(self, nonce: str) -> objects.ResetWrite:
        """Returns permits that count as taken just now by nobody."""
        permit = objects.Permit(nonce, self._max_lease_s())
        return objects.ResetWrite(objects.to_value([permit] * self.count))

    def plan_write(self, now: float, nonce: str) -> objects.Write | None:
        """Decides what to write after a read; None means to wait."""
        if self.observed is None:
            return self.plan_reset(nonce)
        free = [i for i in range(self.count) if now >= self.free_at(i)]
        if not free:
            self._schedule_read(now)
            return self._plan_yield_request()
        number = min(max(self._wanted_permits(now), 1), len(free))
        indexes = tuple(self.random.sample(free, number))
        uses = min(self.batch_probes, self.max_uses)
        if self.waiting:
            uses = math.ceil(uses / 2)
        use_s = (uses - 1) * self.spacing_s + GRACE_S
        taken = objects.Permit(nonce, use_s + self.spacing_s)
        return objects.TakeWrite(
            self._value_with_taken(indexes, taken), indexes, uses, use_s
        )

    def record_take(
        self, take: objects.TakeWrite, sent_at: float, wall: float
    ) -> None:
        """The update took effect.

        Args:
            take: What was written.
            sent_at: Loop time before it was sent.
            wall: Wall-clock seconds before it was sent.
        """
        self._adapt_batch(sent_at)
        self.observe(take.value, sent_at)
        until = sent_at + take.use_s
        for index in set(take.indexes) & set(range(self.count)):
            nonce = self.observed[index].permit.nonce
            self.held[index] = HeldPermit(
                nonce, sent_at, until, wall, take.uses
            )
        self.missed_takes = 0
        self.jitter_s = max(self.jitter_s / 2, INITIAL_JITTER_S)
        self.next_read_at = sent_at + GRACE_S

    def record_failure(self, now: float) -> None:
        """Another daemon was faster, or the object API did not answer."""
        self.next_read_at = now + self.random.uniform(0, self.jitter_s)
        self.jitter_s = min(self.jitter_s * 2, MAX_JITTER_S)

    def free_at(self, index: int) -> float:
        """Returns the loop time from which a permit may be taken.

        One that this daemon held last is left to others for a turn if they
        ask for it.
        """
        observed = (self.observed or {}).get(index)
        if observed is None:
            return math.inf
        wait_s = observed.permit.lasts_s * DRIFT_MARGIN + WAIT_MARGIN_S
        if self.waiting and self._is_held_locally(observed.permit):
            wait_s += wait_s + YIELD_MARGIN_S
        return observed.since + wait_s

    def _max_lease_s(self) -> float:
        return self.max_uses * self.spacing_s + GRACE_S

    def _is_held_locally(self, permit: objects.Permit) -> bool:
        return any(h.nonce == permit.nonce for h in self.held.values())

    def _wanted_permits(self, now: float) -> int:
        """Returns how many permits to take besides those in use."""
        in_use = sum(h.uses > 0 and now < h.until for h in self.held.values())
        wanted = math.ceil(self.batch_probes / self.max_uses)
        return min(wanted, self.count, MAX_PERMITS_PER_TAKE) - in_use

    def _plan_yield_request(self) -> objects.YieldRequest | None:
        observed = self.observed or {}
        if self.waiting:
            return None
        if any(
            self._is_held_locally(entry.permit) for entry in observed.values()
        ):
            return None
        permits = [entry.permit for entry in observed.values()]
        return objects.YieldRequest(objects.to_value(permits, waiting=True))

    def _schedule_read(self, now: float) -> None:
        """Plans the next read, earlier the more turns were missed.

        Who sees a take late may take the next turn late only, and would miss
        that one too.
        """
        soonest = min(self.free_at(index) for index in range(self.count))
        pause_s = max(POLL_S, (soonest - now) / max(1, self.missed_takes))
        wake_at = min(soonest, now + pause_s)
        self.next_read_at = wake_at + self.random.uniform(0, self.jitter_s)

    def _may_use(self, held: HeldPermit, now: float, wall: float) -> bool:
        limit_s = held.until - held.since
        if not held.uses or not held.since <= now <= held.until:
            return False
        if not 0 <= wall - held.wall <= limit_s:
            return False
        return (
            held.last_probe_at is None
            or now - held.last_probe_at >= self.spacing_s
        )

    def _value_with_taken(
        self, indexes: tuple[int, ...], taken: objects.Permit
    ) -> dict[str, Any]:
        permits = [entry.permit for entry in (self.observed or {}).values()]
        for index in indexes:
            permits[index] = taken
        return objects.to_value(permits)

    def _adapt_batch(self, now: float) -> None:
        """Doubles what is taken while all of it is used, else halves it."""
        for held in self.held.values():
            if held.batch_adapted or (held.uses and now < held.until):
                continue
            held.batch_adapted = True
            if held.uses:
                self.batch_probes = max(1, self.batch_probes // 2)
            else:
                self.batch_probes *= 2
        most = self.max_uses * min(self.count, MAX_PERMITS_PER_TAKE)
        self.batch_probes = max(1, min(self.batch_probes, most))
