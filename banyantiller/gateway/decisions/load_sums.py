"""Weighted sums over observed loads, which daemons add up and exchange.

An observation's weight falls with its age, and sums fall with it, so that sums
of different times can be added without their observations.
"""

import math
import zlib
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import msgspec

from banyantiller.gateway import types
from banyantiller.gateway.decisions import scoring

# Half-life of an observation's weight, in seconds. Messages already delay an
# observation by 0.5 s on average: with a half-life of 0.5 s, the free share is
# off by 0.25 to 0.36 one second into a burst of three times the load. The
# newest observations of a hundred daemons are enough.
HALF_LIFE_S = 0.065
# The same for requests that were sent. There are fewer of them than probes, and
# servers that reject requests do so for seconds.
SEND_HALF_LIFE_S = 0.3
# Age at which observations and reports are dropped, in seconds.
MAX_AGE_S = 2.0
# Larger figures are faults of a daemon; all sums must fit a message.
MAX_COUNT = 2**40
# Maximum number of pairs of service and zone in one message.
MAX_REPORTED = 32
# Sums are reported in hundredths.
SCALE = 100
# Distinct servers of a zone are counted by linear counting: each sets one of
# these bits. The count of 54 servers is off by a tenth.
SERVER_BITS = 63
# How often a relay adds up the reports of its group anew, in seconds. In
# between it replaces single reports in the sums.
REBUILD_S = 0.5

Count = Annotated[int, msgspec.Meta(ge=0)]
# Service and zone.
Key = tuple[str, str]


class LoadFields(NamedTuple):
    """Observations of a service in a zone, in a message between daemons.

    All numbers except `servers` are weighted sums in hundredths.

    Attributes:
        service: Name of the service.
        zone: Availability zone of the servers.
        servers: Bits of the observed servers; see `SERVER_BITS`.
        weight: Observed servers.
        age: Their ages, in seconds.
        slots: Their slots.
        free: Their free slots.
        idle: Servers without a request.
        slow: Servers that are too slow for a request.
        waiting: Their queued requests.
        sends: Requests that were sent to servers.
        rejected: Those that a server with a free slot rejected.
        completed: Requests to which a server responded.
        took: Their durations, in seconds.
    """

    service: str
    zone: str
    servers: Count
    weight: Count
    age: Count
    slots: Count
    free: Count
    idle: Count
    slow: Count
    waiting: Count
    sends: Count
    rejected: Count
    completed: Count
    took: Count


class Sums(NamedTuple):
    """Weighted sums over observations; see `LoadFields`.

    Attributes:
        servers: Bits of the observed servers.
        values: The other numbers in the order of `LoadFields`.
    """

    servers: int
    values: list[float]


# Positions in `Sums.values`.
WEIGHT, AGE, SLOTS, FREE, IDLE, SLOW, WAITING = range(7)
SENDS, REJECTED, COMPLETED, TOOK = range(7, 11)
VALUE_COUNT = 11
NOTHING = Sums(0, [0.0] * VALUE_COUNT)


class OwnZone:
    """What this daemon observed of a service in a zone.

    Attributes:
        loads: Last load of each server and the loop time of it, by instance.
        sends: Requests sent, weighted.
        rejected: Those that a server with a free slot rejected.
        completed: Requests to which a server responded, weighted.
        took_s: Their durations.
        at: Loop time to which the weights refer.
    """

    __slots__ = ("at", "completed", "loads", "rejected", "sends", "took_s")

    def __init__(self, now: float) -> None:
        self.loads: dict[str, tuple[types.Load, float]] = {}
        self.sends = 0.0
        self.rejected = 0.0
        self.completed = 0.0
        self.took_s = 0.0
        self.at = now

    def decay(self, now: float) -> None:
        """Lowers the weights of requests to those at a loop time."""
        factor = decay_factor(now - self.at, SEND_HALF_LIFE_S)
        self.sends *= factor
        self.rejected *= factor
        self.completed *= factor
        self.took_s *= factor
        self.at = now

    def drop_old(self, now: float) -> None:
        """Drops the loads that are too old."""
        for instance, (_, at) in list(self.loads.items()):
            if now - at > MAX_AGE_S:
                del self.loads[instance]

    def sums(self, now: float) -> Sums:
        """Returns the sums at a loop time, and drops what is too old."""
        self.decay(now)
        self.drop_old(now)
        bits = 0
        values = [0.0] * VALUE_COUNT
        for instance, (load, at) in self.loads.items():
            age_s = now - at
            weight = decay_factor(age_s, HALF_LIFE_S)
            slots = max(1, load.slots)
            taken = load.running + load.waiting
            bits |= 1 << (zlib.crc32(instance.encode()) % SERVER_BITS)
            values[WEIGHT] += weight
            values[AGE] += weight * age_s
            values[SLOTS] += weight * slots
            values[FREE] += weight * max(0, slots - taken)
            values[IDLE] += weight * (taken == 0)
            values[SLOW] += weight * (load.slowness > scoring.MAX_SLOWNESS)
            values[WAITING] += weight * load.waiting
        values[SENDS:] = self.sends, self.rejected, self.completed, self.took_s
        return Sums(bits, values)


class Report(NamedTuple):
    """What another daemon reported.

    Attributes:
        by_key: Its sums by service and zone.
        composed_at: Loop time at which it composed the report.
    """

    by_key: dict[Key, Sums]
    composed_at: float


class GroupSums:
    """Sums over the reports of a relay's group.

    Attributes:
        reports: Last report by daemon.
        received_at: Loop time at which each of them was received.
        by_key: Sums by service and zone, weighted as at `at`.
        at: Loop time at which the sums were added up.
    """

    def __init__(self) -> None:
        self.reports: dict[str, Report] = {}
        self.received_at: dict[str, float] = {}
        self.by_key: dict[Key, Sums] = {}
        self.at = 0.0

    def replace(self, source: str, report: Report, now: float) -> None:
        """Puts a daemon's report into the place of its earlier one."""
        self.rebuild_if_due(now)
        earlier = self.reports.get(source)
        if earlier is not None:
            add_report(self.by_key, earlier, self.at, -1.0)
        add_report(self.by_key, report, self.at)
        self.reports[source] = report
        self.received_at[source] = now

    def rebuild_if_due(self, now: float) -> None:
        """Drops old reports and adds up the others from time to time.

        This also removes the bits of servers that are observed no more, and
        the rounding errors of replacements.
        """
        if now - self.at < REBUILD_S:
            return
        self.at = now
        self.by_key = {}
        for source, report in list(self.reports.items()):
            if now - report.composed_at > MAX_AGE_S:
                del self.reports[source]
                del self.received_at[source]
            else:
                add_report(self.by_key, report, now)


def decay_factor(age_s: float, half_life_s: float) -> float:
    """Returns the weight of an observation of this age."""
    # A report from the future must not outweigh all others.
    return 0.5 ** (max(age_s, -REBUILD_S) / half_life_s)


def count_bits(bits: int) -> float:
    """Returns the number of servers that set these bits, estimated."""
    unset = SERVER_BITS - bits.bit_count()
    return SERVER_BITS * math.log(SERVER_BITS / max(0.5, unset))


def add_sums(total: Sums, more: Sums, age_s: float, sign: float = 1.0) -> Sums:
    """Returns the total of sums and of others that are `age_s` older."""
    return _add(total, more, age_s, _factors(age_s, sign))


def add_report(
    total: dict[Key, Sums], report: Report, at: float, sign: float = 1.0
) -> None:
    """Adds a report to sums that refer to a loop time, or subtracts it.

    Sums that are subtracted must be part of the total.
    """
    age_s = at - report.composed_at
    factors = _factors(age_s, sign)
    for key, sums in report.by_key.items():
        known = total.get(key)
        if known is not None:
            total[key] = _add(known, sums, age_s, factors)
        elif sign > 0:
            total[key] = _add(NOTHING, sums, age_s, factors)


def _factors(age_s: float, sign: float) -> tuple[float, ...]:
    factor = sign * decay_factor(age_s, HALF_LIFE_S)
    send_factor = sign * decay_factor(age_s, SEND_HALF_LIFE_S)
    return (factor,) * SENDS + (send_factor,) * (VALUE_COUNT - SENDS)


def _add(
    total: Sums, more: Sums, age_s: float, factors: tuple[float, ...]
) -> Sums:
    values = [
        a + b * c
        for a, b, c in zip(total.values, more.values, factors, strict=True)
    ]
    values[AGE] += factors[0] * age_s * more.values[WEIGHT]
    return Sums(total.servers | more.servers, values)


def to_fields(by_key: dict[Key, Sums]) -> list[LoadFields]:
    """Returns the sums of the most observed zones for a message."""
    least = 1 / SCALE
    known = [
        (key, sums)
        for key, sums in by_key.items()
        if max(sums.values[WEIGHT], sums.values[SENDS]) >= least
    ]
    if len(known) > MAX_REPORTED:
        known.sort(key=lambda item: -item[1].values[WEIGHT])
    return [
        LoadFields(*key, sums.servers, *_rounded(sums.values))
        for key, sums in known[:MAX_REPORTED]
    ]


def _rounded(values: list[float]) -> list[int]:
    """Returns sums in hundredths; without a weight, no slots are observed."""
    rounded = [round(value * SCALE) for value in values]
    if min(rounded) < 0:
        rounded = [max(0, value) for value in rounded]
    if rounded[WEIGHT] == 0:
        rounded[:SENDS] = [0] * SENDS
    return rounded


def from_fields(fields: Iterable[LoadFields], composed_at: float) -> Report:
    """Returns the report that a message contains."""
    by_key = {
        (one.service, one.zone): Sums(
            one.servers, [min(value, MAX_COUNT) / SCALE for value in one[3:]]
        )
        for one in list(fields)[:MAX_REPORTED]
    }
    return Report(by_key, composed_at)
