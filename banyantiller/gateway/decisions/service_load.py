"""Estimates how full the servers of a service are, zone by zone.

Load pattern: over a hundred daemons send two requests a second each, and the
demand for a service doubles within a second. No daemon probes enough servers to
notice it alone.

Each daemon keeps the last load that it observed of each server. It reports
sums over these, which its relay adds to those of other daemons. Everything
that is estimated is a quotient of two sums, so that an observation which is
counted twice for a moment, as while a daemon changes its relay, shifts weights
but no totals.
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
# Weight below which a load is not known. One observation is enough for 0.4 s,
# and a hundred for 0.8 s: the fewer there are, the newer they must be.
MIN_WEIGHT = 0.01
# Weight below which a zone does not count in the load of a service: after sums
# were subtracted, rounding errors of that size remain.
MIN_ZONE_WEIGHT = MIN_WEIGHT / 10
# Weighted requests below which their outcomes are forgotten.
MIN_REQUESTS = 0.01
# Larger figures are faults of a server or of a daemon; one of them must not
# outweigh all others, and sums over all daemons must fit a message.
MAX_SLOTS = 1000
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
# How long a relay uses the same sums for its replies, in seconds. A relay gets
# 208 queries a second from 104 daemons; adding up for each takes 4% of a core.
REPLY_VALID_S = 0.05
# Weight of one request in the usual duration at a service, which is used while
# no daemon reports durations.
USUAL_WEIGHT = 0.1

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


class ZoneLoad(NamedTuple):
    """What the fleet knows of the servers of a service in a zone.

    Attributes:
        servers: Distinct servers that were observed, estimated.
        free_share: Free slots as a share of all slots, 0 to 1.
        idle_share: Share of the servers without a request.
        slow_share: Share of the servers that are too slow for a request; see
            `scoring.MAX_SLOWNESS`.
        waiting: Queued requests per server.
        rejected_share: Share of the sent requests that a server with a free
            slot rejected.
        freed_per_s: Estimated number of slots that become free per second: the
            busy slots of the observed servers, divided by the mean duration of
            the requests that completed lately (Little's law). It is 0 before
            the first request of the service completed.
        age_s: Mean age of the observations, in seconds.
    """

    servers: int
    free_share: float
    idle_share: float
    slow_share: float
    waiting: float
    rejected_share: float
    freed_per_s: float
    age_s: float


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


class Reply(NamedTuple):
    """What a relay replies to a daemon.

    Attributes:
        loads: The observations of others.
        composed_at: Loop time at which the sums were composed.
    """

    loads: list[LoadFields]
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


class ServiceLoads:
    """Observed loads by service and zone.

    Attributes:
        own: What this daemon observed.
        group: What daemons reported that query this one.
        upstream: What the relay replied that this daemon queries.
        usual_s: Usual duration of requests by service, in seconds.
        reply_total: Sums of which the last replies consist.
        reply_loads: Their fields by service and zone.
    """

    def __init__(self) -> None:
        self.own: dict[Key, OwnZone] = {}
        self.group = GroupSums()
        self.upstream = Report({}, -math.inf)
        self.usual_s: dict[str, float] = {}
        self.reply_total = Report({}, -math.inf)
        self.reply_loads: dict[Key, LoadFields] = {}

    def record_load(
        self,
        service: str,
        zone: str,
        instance: str,
        load: types.Load,
        now: float,
    ) -> None:
        """Records the load that a server reported, at a loop time."""
        bounded = load._replace(
            running=min(load.running, MAX_SLOTS),
            waiting=min(load.waiting, MAX_SLOTS),
            slots=min(load.slots, MAX_SLOTS),
        )
        self._own_zone(service, zone, now).loads[instance] = (bounded, now)

    def record_send(
        self, service: str, zone: str, rejected: bool, now: float
    ) -> None:
        """Records whether a server with a free slot rejected a request."""
        own = self._own_zone(service, zone, now)
        own.decay(now)
        own.sends += 1
        own.rejected += rejected

    def record_duration(
        self, service: str, zone: str, took_s: float, now: float
    ) -> None:
        """Records for how long a request was at a server, in seconds."""
        own = self._own_zone(service, zone, now)
        own.decay(now)
        own.completed += 1
        own.took_s += took_s
        usual_s = self.usual_s.get(service, took_s)
        self.usual_s[service] = usual_s + USUAL_WEIGHT * (took_s - usual_s)

    def zone_load(self, service: str, zone: str, now: float) -> ZoneLoad | None:
        """Returns the load of a service in a zone, or None if unknown."""
        sums = self._sums((service, zone), now)
        if sums.values[WEIGHT] < MIN_WEIGHT:
            return None
        return self._to_load(service, count_bits(sums.servers), sums.values)

    def service_load(self, service: str, now: float) -> ZoneLoad | None:
        """Returns the load of a service in all zones, or None if unknown.

        Zones count by their servers and not by their observations, since
        servers of a zone with more callers are observed more often.
        """
        total_weight = 0.0
        total = [0.0] * VALUE_COUNT
        for key in self._keys():
            if key[0] != service:
                continue
            sums = self._sums(key, now)
            weight = sums.values[WEIGHT]
            if weight < MIN_ZONE_WEIGHT:
                continue
            total_weight += weight
            factor = count_bits(sums.servers) / weight
            for index, value in enumerate(sums.values):
                per_server = index < SENDS
                total[index] += value * factor if per_server else value
        if total_weight < MIN_WEIGHT or total[WEIGHT] <= 0:
            return None
        return self._to_load(service, total[WEIGHT], total)

    def known_loads(self, now: float) -> dict[Key, ZoneLoad]:
        """Returns the known loads by service and zone."""
        found = {key: self.zone_load(*key, now) for key in self._keys()}
        return {key: load for key, load in found.items() if load is not None}

    def expire(self, now: float) -> None:
        """Drops what is too old to be used."""
        self.group.rebuild_if_due(now)
        if now - self.upstream.composed_at > MAX_AGE_S:
            self.upstream = Report({}, -math.inf)
        for key, own in list(self.own.items()):
            own.decay(now)
            own.drop_old(now)
            if not own.loads and own.sends + own.completed < MIN_REQUESTS:
                del self.own[key]
        services = {service for service, _ in self._keys()}
        for service in set(self.usual_s) - services:
            del self.usual_s[service]

    def clear(self) -> None:
        """Forgets everything."""
        self.own.clear()
        self.usual_s.clear()
        self.group = GroupSums()
        self.reply_total = Report({}, -math.inf)
        self.upstream = Report({}, -math.inf)

    # Messages between daemons.

    def to_report(self, now: float) -> list[LoadFields]:
        """Returns what this daemon and its group observed, for its relay."""
        total = self._own_and_group(now)
        return to_fields(total)

    def to_reply(self, source: str, now: float) -> "Reply":
        """Returns what is known here, except what a daemon reported itself."""
        report = self.group.reports.get(source)
        received_at = self.group.received_at.get(source, -math.inf)
        total_at = self.reply_total.composed_at
        if now - total_at >= REPLY_VALID_S or received_at >= total_at:
            self._compose_reply(now)
        loads = self.reply_loads
        if report is not None:
            loads = loads | self._without(report)
        known = [fields for fields in loads.values() if fields is not None]
        return Reply(known, self.reply_total.composed_at)

    def merge(
        self,
        source: str,
        report: Iterable[LoadFields],
        composed_at: float,
        now: float | None = None,
    ) -> None:
        """Replaces the report of a daemon that queries this one.

        Args:
            source: Name of the daemon.
            report: What it observed.
            composed_at: Loop time at which it composed the report.
            now: Current loop time, if the report was composed earlier.
        """
        now = composed_at if now is None else now
        self.group.replace(source, from_fields(report, composed_at), now)

    def merge_reply(
        self, report: Iterable[LoadFields], composed_at: float
    ) -> None:
        """Replaces what a relay replied, also if it was another relay."""
        self.upstream = from_fields(report, composed_at)

    # Internal state.

    def _compose_reply(self, now: float) -> None:
        total = self._own_and_group(now)
        if now - self.upstream.composed_at <= MAX_AGE_S:
            add_report(total, self.upstream, now)
        self.reply_total = Report(total, now)
        self.reply_loads = {
            (fields.service, fields.zone): fields for fields in to_fields(total)
        }

    def _without(self, report: Report) -> dict[Key, LoadFields | None]:
        """Returns the fields of a reply that change without a report."""
        keys = report.by_key.keys() & self.reply_loads.keys()
        rest = {key: self.reply_total.by_key[key] for key in keys}
        add_report(rest, report, self.reply_total.composed_at, -1.0)
        fields = {(one.service, one.zone): one for one in to_fields(rest)}
        return {key: fields.get(key) for key in keys}

    def _own_zone(self, service: str, zone: str, now: float) -> OwnZone:
        own = self.own.get((service, zone))
        if own is None:
            own = self.own[service, zone] = OwnZone(now)
        return own

    def _keys(self) -> list[Key]:
        return list({**self.own, **self.group.by_key, **self.upstream.by_key})

    def _own_and_group(self, now: float) -> dict[Key, Sums]:
        self.group.rebuild_if_due(now)
        own = {key: zone.sums(now) for key, zone in self.own.items()}
        add_report(own, Report(self.group.by_key, self.group.at), now)
        return own

    def _sums(self, key: Key, now: float) -> Sums:
        """Returns the sums of one service and zone at a loop time."""
        self.group.rebuild_if_due(now)
        own = self.own.get(key)
        total = NOTHING if own is None else own.sums(now)
        found = self.group.by_key.get(key)
        if found is not None:
            total = add_sums(total, found, now - self.group.at)
        age_s = now - self.upstream.composed_at
        found = self.upstream.by_key.get(key)
        if found is not None and age_s <= MAX_AGE_S:
            total = add_sums(total, found, age_s)
        return total

    def _to_load(
        self, service: str, servers: float, values: list[float]
    ) -> ZoneLoad:
        weight = values[WEIGHT]
        slots = max(values[SLOTS], weight)
        busy_slots = servers * max(0.0, values[SLOTS] - values[FREE]) / weight
        took_s = self._mean_duration_s(service, values)
        return ZoneLoad(
            servers=round(servers),
            free_share=_share(values[FREE], slots),
            idle_share=_share(values[IDLE], weight),
            slow_share=_share(values[SLOW], weight),
            waiting=max(0.0, values[WAITING]) / weight,
            rejected_share=_share(values[REJECTED], values[SENDS]),
            freed_per_s=busy_slots / max(took_s, 1e-3),
            age_s=max(0.0, values[AGE] / weight),
        )

    def _mean_duration_s(self, service: str, values: list[float]) -> float:
        """Returns the mean duration of requests, or infinity if unknown.

        What this daemon knows as usual counts as one more request, since few
        requests may have completed lately.
        """
        completed, took_s = values[COMPLETED], values[TOOK]
        usual_s = self.usual_s.get(service)
        if usual_s is not None:
            completed, took_s = completed + 1, took_s + usual_s
        return took_s / completed if completed >= 1 else math.inf


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


def _share(part: float, whole: float) -> float:
    return min(1.0, max(0.0, part / whole)) if whole > 0 else 0.0
