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
from collections.abc import Iterable
from typing import NamedTuple

from banyantiller.gateway import types
from banyantiller.gateway.decisions import load_sums

# Weight below which a load is not known. One observation is enough for 0.4 s,
# and a hundred for 0.8 s: the fewer there are, the newer they must be.
MIN_WEIGHT = 0.01
# Weight below which a zone does not count in the load of a service: after sums
# were subtracted, rounding errors of that size remain.
MIN_ZONE_WEIGHT = MIN_WEIGHT / 10
# Weighted requests below which their outcomes are forgotten.
MIN_REQUESTS = 0.01
# Larger figures are faults of a server, which must not outweigh all others.
MAX_SLOTS = 1000
# How long a relay uses the same sums for its replies, in seconds. A relay gets
# 208 queries a second from 104 daemons; adding up for each takes 4% of a core.
REPLY_VALID_S = 0.05
# Weight of one request in the usual duration at a service, which is used while
# no daemon reports durations.
USUAL_WEIGHT = 0.1


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


class Reply(NamedTuple):
    """What a relay replies to a daemon.

    Attributes:
        loads: The observations of others.
        composed_at: Loop time at which the sums were composed.
    """

    loads: list[load_sums.LoadFields]
    composed_at: float


class ServiceLoads:
    """Observed loads by service and zone.

    Attributes:
        own: What this daemon observed.
        group: What daemons reported that query this one.
        upstream: What the relay replied that this daemon queries.
        usual_s: Usual duration of requests by service, in seconds.
        reply_total: load_sums.Sums of which the last replies consist.
        reply_loads: Their fields by service and zone.
    """

    def __init__(self) -> None:
        self.own: dict[load_sums.Key, load_sums.OwnZone] = {}
        self.group = load_sums.GroupSums()
        self.upstream = load_sums.Report({}, -math.inf)
        self.usual_s: dict[str, float] = {}
        self.reply_total = load_sums.Report({}, -math.inf)
        self.reply_loads: dict[load_sums.Key, load_sums.LoadFields] = {}

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
        if sums.values[load_sums.WEIGHT] < MIN_WEIGHT:
            return None
        return self._to_load(
            service, load_sums.count_bits(sums.servers), sums.values
        )

    def service_load(self, service: str, now: float) -> ZoneLoad | None:
        """Returns the load of a service in all zones, or None if unknown.

        Zones count by their servers and not by their observations, since
        servers of a zone with more callers are observed more often.
        """
        total_weight = 0.0
        total = [0.0] * load_sums.VALUE_COUNT
        for key in self._keys():
            if key[0] != service:
                continue
            sums = self._sums(key, now)
            weight = sums.values[load_sums.WEIGHT]
            if weight < MIN_ZONE_WEIGHT:
                continue
            total_weight += weight
            factor = load_sums.count_bits(sums.servers) / weight
            for index, value in enumerate(sums.values):
                per_server = index < load_sums.SENDS
                total[index] += value * factor if per_server else value
        if total_weight < MIN_WEIGHT or total[load_sums.WEIGHT] <= 0:
            return None
        return self._to_load(service, total[load_sums.WEIGHT], total)

    def known_loads(self, now: float) -> dict[load_sums.Key, ZoneLoad]:
        """Returns the known loads by service and zone."""
        found = {key: self.zone_load(*key, now) for key in self._keys()}
        return {key: load for key, load in found.items() if load is not None}

    def expire(self, now: float) -> None:
        """Drops what is too old to be used."""
        self.group.rebuild_if_due(now)
        if now - self.upstream.composed_at > load_sums.MAX_AGE_S:
            self.upstream = load_sums.Report({}, -math.inf)
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
        self.group = load_sums.GroupSums()
        self.reply_total = load_sums.Report({}, -math.inf)
        self.upstream = load_sums.Report({}, -math.inf)

    # Messages between daemons.

    def to_report(self, now: float) -> list[load_sums.LoadFields]:
        """Returns what this daemon and its group observed, for its relay."""
        total = self._own_and_group(now)
        return load_sums.to_fields(total)

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
        report: Iterable[load_sums.LoadFields],
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
        self.group.replace(
            source, load_sums.from_fields(report, composed_at), now
        )

    def merge_reply(
        self, report: Iterable[load_sums.LoadFields], composed_at: float
    ) -> None:
        """Replaces what a relay replied, also if it was another relay."""
        self.upstream = load_sums.from_fields(report, composed_at)

    # Internal state.

    def _compose_reply(self, now: float) -> None:
        total = self._own_and_group(now)
        if now - self.upstream.composed_at <= load_sums.MAX_AGE_S:
            load_sums.add_report(total, self.upstream, now)
        self.reply_total = load_sums.Report(total, now)
        self.reply_loads = {
            (fields.service, fields.zone): fields
            for fields in load_sums.to_fields(total)
        }

    def _without(
        self, report: load_sums.Report
    ) -> dict[load_sums.Key, load_sums.LoadFields | None]:
        """Returns the fields of a reply that change without a report."""
        keys = report.by_key.keys() & self.reply_loads.keys()
        rest = {key: self.reply_total.by_key[key] for key in keys}
        load_sums.add_report(rest, report, self.reply_total.composed_at, -1.0)
        fields = {
            (one.service, one.zone): one for one in load_sums.to_fields(rest)
        }
        return {key: fields.get(key) for key in keys}

    def _own_zone(
        self, service: str, zone: str, now: float
    ) -> load_sums.OwnZone:
        own = self.own.get((service, zone))
        if own is None:
            own = self.own[service, zone] = load_sums.OwnZone(now)
        return own

    def _keys(self) -> list[load_sums.Key]:
        return list({**self.own, **self.group.by_key, **self.upstream.by_key})

    def _own_and_group(self, now: float) -> dict[load_sums.Key, load_sums.Sums]:
        self.group.rebuild_if_due(now)
        own = {key: zone.sums(now) for key, zone in self.own.items()}
        load_sums.add_report(
            own, load_sums.Report(self.group.by_key, self.group.at), now
        )
        return own

    def _sums(self, key: load_sums.Key, now: float) -> load_sums.Sums:
        """Returns the sums of one service and zone at a loop time."""
        self.group.rebuild_if_due(now)
        own = self.own.get(key)
        total = load_sums.NOTHING if own is None else own.sums(now)
        found = self.group.by_key.get(key)
        if found is not None:
            total = load_sums.add_sums(total, found, now - self.group.at)
        age_s = now - self.upstream.composed_at
        found = self.upstream.by_key.get(key)
        if found is not None and age_s <= load_sums.MAX_AGE_S:
            total = load_sums.add_sums(total, found, age_s)
        return total

    def _to_load(
        self, service: str, servers: float, values: list[float]
    ) -> ZoneLoad:
        weight = values[load_sums.WEIGHT]
        slots = max(values[load_sums.SLOTS], weight)
        busy_slots = (
            servers
            * max(0.0, values[load_sums.SLOTS] - values[load_sums.FREE])
            / weight
        )
        took_s = self._mean_duration_s(service, values)
        return ZoneLoad(
            servers=round(servers),
            free_share=_share(values[load_sums.FREE], slots),
            idle_share=_share(values[load_sums.IDLE], weight),
            slow_share=_share(values[load_sums.SLOW], weight),
            waiting=max(0.0, values[load_sums.WAITING]) / weight,
            rejected_share=_share(
                values[load_sums.REJECTED], values[load_sums.SENDS]
            ),
            freed_per_s=busy_slots / max(took_s, 1e-3),
            age_s=max(0.0, values[load_sums.AGE] / weight),
        )

    def _mean_duration_s(self, service: str, values: list[float]) -> float:
        """Returns the mean duration of requests, or infinity if unknown.

        What this daemon knows as usual counts as one more request, since few
        requests may have completed lately.
        """
        completed, took_s = values[load_sums.COMPLETED], values[load_sums.TOOK]
        usual_s = self.usual_s.get(service)
        if usual_s is not None:
            completed, took_s = completed + 1, took_s + usual_s
        return took_s / completed if completed >= 1 else math.inf


def _share(part: float, whole: float) -> float:
    return min(1.0, max(0.0, part / whole)) if whole > 0 else 0.0
