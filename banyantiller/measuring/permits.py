"""Permits to probe one service, leased without comparing clocks.

A service has a few permits for the whole fleet. A permit allows one probe per
`spacing_s`. It is leased for a stated duration. The holder counts this duration
from before it sends the write that acquires the permit, all other daemons from
when they first observe that write. So one lease starts after the previous one
has ended, even if the wall clocks differ, and no daemon needs to know the size
of the fleet.
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
    """A permit as read from the object API.

    Attributes:
        permit: The permit.
        since: Loop time at which this daemon first observed it.
    """

    permit: objects.Permit
    since: float


@dataclasses.dataclass(slots=True)
class HeldPermit:
    """A permit that this daemon may use.

    Attributes:
        nonce: Nonce of the write that acquired it.
        since: Loop time before that write was sent.
        until: Loop time at which the lease ends.
        wall: Wall-clock time in seconds before that write was sent.
        uses: Remaining probes.
        last_probe_at: Loop time of the last probe, or None.
        batch_adapted: Whether its use has already changed `batch_probes`.
    """

    nonce: str
    since: float
    until: float
    wall: float
    uses: int
    last_probe_at: float | None = None
    batch_adapted: bool = False


class Ledger:
    """One daemon's view of the permits of one service.

    Attributes:
        count: Number of permits that the budget allows.
        spacing_s: Minimum time between two probes of one permit.
        max_uses: Maximum number of probes per lease of a permit.
        observed: Permits as last read, by index; None if they were malformed.
        held: Permits that this daemon acquired last, by index.
        waiting: Whether a daemon has asked the last holders to yield.
        missed_takes: Reads that showed a lease of another daemon since the
            last lease of this one.
        denied_at: Loop time of the last probe that was denied.
        batch_probes: Number of probes to acquire next, adapted to how many
            were used before.
        spent_probes: Number of probes allowed so far.
        next_read_at: Earliest loop time of the next read of the object API.
        jitter_s: Upper bound of the random delay of the next read.
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
        """Applies the budget of the bundle in force."""
        whole = max(1, math.floor(probes_per_second))
        self.count = 0 if probes_per_second <= 0 else min(whole, MAX_PERMITS)
        period_s = max(1.0, 1.0 / max(probes_per_second, 1e-6))
        self.spacing_s = period_s * SPACING_MARGIN
        fitting_uses = int(MAX_USE_S / self.spacing_s)
        self.max_uses = max(1, min(MAX_USES, fitting_uses))
        for index in [i for i in self.held if i >= self.count]:
            del self.held[index]

    def charge(self, now: float, wall: float) -> bool:
        """Spends one probe of the permits held, if there is one.

        Args:
            now: Loop time.
            wall: Wall-clock time in seconds; it reveals a pause that the
                clock of the loop does not count.

        Returns:
            Whether a probe may be sent now.
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
        """Returns whether more permits are wanted than are in use."""
        if self.count == 0 or now - self.denied_at > DEMAND_WINDOW_S:
            return False
        return self._wanted_permits(now) > 0

    def observe(self, value: dict[str, Any], now: float) -> None:
        """Records the permits read from the object API."""
        permits = objects.read_permits(value)
        self.waiting = bool(value.get("waiting"))
        if permits is None:
            self.observed = None
            return
        # A permit that is missing from the object may have been held before
        # the object was replaced, so it is not used for the longest lease.
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
        """Returns a write of new permits, leased from now on to no daemon."""
        permit = objects.Permit(nonce, self._max_lease_s())
        return objects.ResetWrite(objects.to_value([permit] * self.count))

    def plan_write(self, now: float, nonce: str) -> objects.Write | None:
        """Returns the write to send after a read; None to wait."""
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
        """Records permits that an update has acquired.

        Args:
            take: The update that took effect.
            sent_at: Loop time before it was sent.
            wall: Wall-clock time in seconds before it was sent.
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
        """Delays the next read after a conflict or a failed call."""
        self.next_read_at = now + self.random.uniform(0, self.jitter_s)
        self.jitter_s = min(self.jitter_s * 2, MAX_JITTER_S)

    def free_at(self, index: int) -> float:
        """Returns the loop time from which a permit may be acquired.

        If a daemon has asked the last holders to yield, this daemon leaves a
        permit that it held last to the others for one more lease.
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
        """Returns how many permits to acquire in addition to those in use."""
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
        """Schedules the next read, earlier the more leases were missed.

        A daemon that observes a lease late counts its end from then on, so it
        would be late for the next lease as well.
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
        """Doubles the batch if all of it was used, else halves it."""
        for held in self.held.values():
            if held.batch_adapted or (held.uses and now < held.until):
                continue
            held.batch_adapted = True
            if held.uses:
                self.batch_probes = max(1, self.batch_probes // 2)
            else:
                self.batch_probes *= 2
        max_batch = self.max_uses * min(self.count, MAX_PERMITS_PER_TAKE)
        self.batch_probes = max(1, min(self.batch_probes, max_batch))
