"""Simulates zones of servers, and daemons that know their loads."""

import collections
import random
from typing import NamedTuple

from banyantiller.gateway import probing, servers, types
from banyantiller.gateway.decisions import (
    request_kinds,
    scoring,
    selection,
    service_load,
    waiting,
)

STEP_S = 0.005
# A server is five times slower for 0.3 of the time, in periods of 150 ms.
SLOWNESS = 5.0
SLOW_S = 0.15
FAST_S = 0.35
# Daemons report each half second to a relay, which composes a sum as often.
REPORT_S = 0.5
HALF_LIFE_S = 0.5
DAEMONS_PER_ZONE = 12


class Route(NamedTuple):
    """A kind of request: its objective and its work, in seconds."""

    name: str
    objective_s: float
    work_s: float


READ = Route("read", 0.618, 0.22)
PUBLICATION = Route("publication", 1.519, 0.29)


class Job:
    """A request: when it began, what it still needs, and where it ran."""

    def __init__(self, route, zone, selector, now):
        self.route = route
        self.zone = zone
        self.selector = selector
        self.began = now
        self.left = route.work_s
        self.ended = None
        self.server_zone = None
        self.shared = False


class SimulatedServer:
    """A server of two slots that is slow at times."""

    def __init__(self, instance, zone, rng):
        registration = types.Server(
            instance, "s", "h", 1, zone, 2, False, 0.0, 1
        )
        self.entry = servers.ServerEntry(registration, 0.0)
        self.jobs = []
        self.random = rng
        self.slow = False
        self.changes_at = rng.random() * FAST_S

    def run(self, now):
        if now >= self.changes_at:
            self.slow = not self.slow
            mean_s = SLOW_S if self.slow else FAST_S
            self.changes_at = now + self.random.expovariate(1 / mean_s)
        rate = 1.0
        if self.slow:
            rate /= SLOWNESS
        if len(self.jobs) == 2:
            rate /= 1 + scoring.FULL_SLOWDOWN
        for job in self.jobs:
            job.left -= rate * STEP_S
            if job.left <= 0:
                job.ended = now
        self.jobs = [job for job in self.jobs if job.ended is None]

    def load(self):
        slowness = SLOWNESS if self.slow else 1.0
        return types.Load(len(self.jobs), 0, 2, slowness)

    def candidate(self, zone, now):
        load = self.load()
        cost = scoring.score(load, 0.0, self.entry.server.zone == zone, False)
        return probing.Candidate(self.entry, None, load, now, True, cost)


class Simulation:
    """Zones with servers and daemons.

    Attributes:
        zones: Their names.
        requests: All requests.
        see: Changes what daemons know: from (own zone, zone, load) to a load
            or None.
        reachable: Whether daemons of a zone reach servers of another.
    """

    def __init__(self, zones=3, per_zone=40, shared=True, seed=1, kinds=False):
        self.random = random.Random(seed)
        self.zones = [f"z{n}" for n in range(zones)]
        self.servers = {}
        for zone in self.zones:
            for n in range(per_zone):
                one = SimulatedServer(f"{zone}-{n}", zone, self.random)
                self.servers[one.entry.server.instance] = one
        self.now = 0.0
        self.kinds = kinds
        self.observed = {}
        self.reports = collections.deque()
        self.requests = []
        self.waiting = []
        self.shares = []
        self.see = lambda own, zone, load: load
        self.reachable = lambda own, zone: True
        self.selectors = {
            zone: [
                selection.ServerSelector(
                    f"{zone}-d{n}",
                    zone,
                    self.random,
                    self._lookup(zone) if shared else lambda *_: None,
                )
                for n in range(DAEMONS_PER_ZONE)
            ]
            for zone in self.zones
        }

    def _lookup(self, own):
        def zone_load(_service, zone, now):
            at, loads = self.reports[0] if self.reports else (0.0, {})
            load = loads.get(zone)
            if load is not None:
                load = load._replace(age_s=now - at)
            return self.see(own, zone, load)

        return zone_load

    def run(self, duration_s, rate):
        """Runs for a time; `rate(zone, route, now)` is in requests a second."""
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            for server in self.servers.values():
                server.run(self.now)
            self._observe()
            for zone in self.zones:
                for route in (READ, PUBLICATION):
                    per_step = rate(zone, route, self.now) * STEP_S
                    if self.random.random() < per_step:
                        selector = self.random.choice(self.selectors[zone])
                        job = Job(route, zone, selector, self.now)
                        self.requests.append(job)
                        self.waiting.append((self.now, job))
            due = [job for at, job in self.waiting if at <= self.now]
            self.waiting = [one for one in self.waiting if one[0] > self.now]
            for job in due:
                self._send(job)
        return self

    def _observe(self):
        weight = 1 - 0.5 ** (STEP_S / HALF_LIFE_S)
        for zone in self.zones:
            inside = [
                one
                for one in self.servers.values()
                if one.entry.server.zone == zone
            ]
            counts = [len(one.jobs) for one in inside]
            now = (
                1 - sum(counts) / (2 * len(inside)),
                counts.count(0) / len(inside),
                sum(one.slow for one in inside) / len(inside),
            )
            before = self.observed.get(zone, now)
            self.observed[zone] = tuple(
                old + weight * (new - old)
                for old, new in zip(before, now, strict=True)
            )
        last = self.reports[-1][0] if self.reports else -REPORT_S
        if self.now - last >= REPORT_S:
            loads = {
                zone: service_load.ZoneLoad(
                    len(self.servers) // len(self.zones),
                    *found, 0.0, 0.0, 0.0, 0.0,
                )
                for zone, found in self.observed.items()
            }  # fmt: skip
            self.reports.append((self.now, loads))
            # What a daemon reads was composed a period ago.
            while len(self.reports) > 2:
                self.reports.popleft()

    def _kind(self, job):
        if not self.kinds:
            return request_kinds.ANY_KIND
        load = job.selector.zone_load("s", job.zone, self.now)
        part = request_kinds.shared_part(load)
        tolerant = job.route is PUBLICATION
        return request_kinds.RequestKind(tolerant if part else None, part)

    def _probe(self, job, entries):
        return sorted(
            (
                self.servers[one.server.instance].candidate(job.zone, self.now)
                for one in entries
                if self.reachable(job.zone, one.server.zone)
            ),
            key=lambda one: one.score,
        )

    def _send(self, job):
        usable = [one.entry for one in self.servers.values()]
        kind = self._kind(job)
        first = job.selector.first_probes(
            "s", usable, selection.NO_CONNECTIONS, kind, self.now
        )
        found = self._probe(job, first.probed)
        more = job.selector.more_probes("s", usable, first, found)
        found = sorted(
            found + self._probe(job, more), key=lambda one: one.score
        )
        limits = waiting.wait_limits(
            job.route.objective_s, 1.2 * job.route.work_s, False, job.began
        )
        reprobe_at = self.now + waiting.REPROBE_PAUSE_S
        best = job.selector.pick_candidate(
            found,
            float("inf"),
            self.now,
            reprobe_at <= limits.keep_last_slot_until,
            kind,
        )
        if best is not None:
            server = self.servers[best.entry.server.instance]
            job.server_zone = best.entry.server.zone
            server.jobs.append(job)
            if len(server.jobs) > 1:
                for one in server.jobs:
                    one.shared = True
        elif reprobe_at <= limits.any_server_until:
            self.waiting.append((reprobe_at, job))

    def between(self, begin, end, route=None, zone=None):
        """Returns the requests that began within a time."""
        return [
            job
            for job in self.requests
            if begin <= job.began < end
            and (route is None or job.route is route)
            and (zone is None or job.zone == zone)
        ]


def served_in_time(jobs):
    """Returns the share of requests that ended within their objective."""
    good = sum(
        job.ended is not None and job.ended - job.began <= job.route.objective_s
        for job in jobs
    )
    return good / max(1, len(jobs))


def crossing_share(jobs):
    """Returns the share of sent requests that left their zone."""
    sent = [job for job in jobs if job.server_zone]
    crossed = sum(job.server_zone != job.zone for job in sent)
    return crossed / max(1, len(sent))
