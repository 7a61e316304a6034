"""Selects the servers to probe for a request, and the one that gets it.

These are pure decisions; `server_choice` probes and waits. The decisions are
recorded, and replayed by `replay.selector_player`.
"""

import random
import zlib
from typing import NamedTuple

from banyantiller.gateway import probing, servers
from banyantiller.gateway.decisions import placement, request_kinds, scoring

# Maximum number of servers probed for each request.
MAX_PROBED = 5
# Number of servers of the local zone that are probed first. Mostly one of them
# is good enough, and no probe crosses zones.
MAX_PROBED_LOCAL = 3
# A daemon prefers this number of servers of the local zone, and as many of all
# other zones. They are the same ones each time, so that connections are kept.
# Of these it probes first those with an idle connection: a daemon with few
# requests can keep few connections, since servers close idle ones. Once in
# EXPLORE_EVERY requests any server may be probed, so that servers that few
# daemons prefer get requests too.
PREFERRED_SERVERS = 8
EXPLORE_EVERY = 10
# A server of the local zone with this score or less is chosen without probing
# more: it has free slots and works at most a fifth slower than usual.
GOOD_SCORE = 1.25
# The local zone is probed alone while at least this share of recent requests
# found a good server there. Below it, waiting for its results first mostly
# wastes time.
MIN_LOCAL_ZONE_SUCCESS = 0.5
# Weight of one request in that share: it follows a burst within a second.
LOCAL_ZONE_WEIGHT = 0.1


class ConnectedServers(NamedTuple):
    """Servers to which a daemon has connections, by instance.

    Attributes:
        idle: Servers with a connection that can be used at once.
        busy: Servers whose connections are all in use.
    """

    idle: frozenset[str] = frozenset()
    busy: frozenset[str] = frozenset()


NO_CONNECTIONS = ConnectedServers()


class EligibleServers(NamedTuple):
    """Servers from which the ones to probe are drawn.

    Attributes:
        entries: The servers.
        explores: Whether they include servers that are not preferred.
    """

    entries: list[servers.ServerEntry]
    explores: bool

    def merged_with(self, other: "EligibleServers") -> "EligibleServers":
        """Returns the servers of both."""
        return EligibleServers(
            self.entries + other.entries, self.explores or other.explores
        )


class KnownPlacement(NamedTuple):
    """Where a request is placed by the known loads of the zones.

    Attributes:
        zone: Zone that is probed first.
        zones: Zones with more room than the local one.
    """

    zone: str
    zones: placement.RemoteZones


class ProbePlan(NamedTuple):
    """Servers that are probed at the same time.

    Attributes:
        probed: The servers.
        local_only: Whether other zones are probed only if none of these is
            good enough.
        mixed: Whether the service has servers in the local zone and in others.
        connected: Servers to which there were connections.
        kind: Kind of the request.
        known: Placement by known loads, or None if they are not known.
    """

    probed: list[servers.ServerEntry]
    local_only: bool
    mixed: bool
    connected: ConnectedServers = NO_CONNECTIONS
    kind: request_kinds.RequestKind = request_kinds.ANY_KIND
    known: KnownPlacement | None = None


class ServerSelector:
    """Selects servers for the requests of one daemon.

    Attributes:
        daemon: Its name.
        zone: Its availability zone.
        local_zone_success: Share of recent requests for which the local zone
            had a good server, by service.
        zone_load: Returns the known load of a service in a zone.
        spills: Spills from the local zone, by service.
    """

    def __init__(
        self,
        daemon: str,
        zone: str,
        rng: random.Random,
        zone_load: placement.LoadLookup = placement.no_load,
    ) -> None:
        self.daemon = daemon
        self.zone = zone
        self.random = rng
        self.local_zone_success: dict[str, float] = {}
        self.zone_load = zone_load
        self.spills: dict[str, placement.Spill] = {}

    def first_probes(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        connected: ConnectedServers = NO_CONNECTIONS,
        kind: request_kinds.RequestKind = request_kinds.ANY_KIND,
        now: float = 0.0,
    ) -> ProbePlan:
        """Returns the servers to probe first.

        Args:
            service: Name of the service.
            usable: Its servers that may be probed.
            connected: Servers to which there are connections.
            kind: Kind of the request.
            now: Loop time.
        """
        local = [entry for entry in usable if self._is_local(entry)]
        if not local or len(local) == len(usable):
            self._end_spill(service)
            eligible = self._preferred(_own_part(usable, kind))
            drawn = self._draw(eligible, MAX_PROBED, connected)
            return ProbePlan(drawn, False, False, connected, kind)
        known = self._place(service, usable, now)
        if known is not None:
            inside = [one for one in usable if one.server.zone == known.zone]
            eligible = self._preferred(_own_part(inside, kind))
            drawn = self._draw(eligible, MAX_PROBED_LOCAL, connected)
            return ProbePlan(drawn, True, True, connected, kind, known)
        preferred = self._preferred(local)
        if self.local_zone_success.get(service, 1.0) < MIN_LOCAL_ZONE_SUCCESS:
            preferred = preferred.merged_with(
                self._preferred(self._remote(usable))
            )
            drawn = self._draw(preferred, MAX_PROBED, connected)
            return ProbePlan(drawn, False, True, connected)
        drawn = self._draw(preferred, MAX_PROBED_LOCAL, connected)
        return ProbePlan(drawn, True, True, connected)

    def more_probes(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        before: ProbePlan,
        found: list[probing.Candidate],
    ) -> list[servers.ServerEntry]:
        """Returns the servers to probe next; none if a good one was found.

        Args:
            service: Name of the service.
            usable: Its servers that may be probed.
            before: Servers that were probed first.
            found: Candidates among them.
        """
        if before.known is not None:
            return self._more_known(service, usable, before, found)
        enough = any(map(self._is_good_local, found))
        if before.mixed:
            self._record_local_success(service, enough)
        if enough or not before.local_only:
            return []
        local = [entry for entry in usable if self._is_local(entry)]
        preferred_local = self._preferred(local)
        preferred = preferred_local.merged_with(
            self._preferred(self._remote(usable))
        )
        others = [
            entry for entry in preferred.entries if entry not in before.probed
        ]
        eligible = preferred._replace(entries=others)
        return self._draw(eligible, MAX_PROBED - 1, before.connected)

    def pick_candidate(
        self,
        found: list[probing.Candidate],
        max_score: float,
        now: float,
        keep_last_slot: bool = False,
        kind: request_kinds.RequestKind = request_kinds.ANY_KIND,
    ) -> probing.Candidate | None:
        """Returns the best candidate that is ready, or None.

        A server that reports itself unhealthy is chosen only if all candidates
        do: their reports may be wrong then, and rejecting the request would
        help nobody.

        Args:
            found: Candidates, best first.
            max_score: Maximum score to accept.
            now: Loop time.
            keep_last_slot: Whether the last slots of servers are kept free.
            kind: Kind of the request.
        """
        if kind.tolerant is not None:
            found = sorted(found, key=lambda one: _kind_score(one, kind))
        any_healthy = any(one.healthy for one in found)
        return next(
            (
                one
                for one in found
                if one.healthy == any_healthy
                and one.ready(scoring.MAX_SLOWNESS)
                and not (
                    keep_last_slot
                    and one.takes_last_slot()
                    and not kind.may_take_last_slot(one.entry.server)
                )
                and one.score <= max_score
                and one.entry.usable(now)
            ),
            None,
        )

    def spills_from_zone(self, service: str) -> bool:
        """Returns whether requests leave the local zone by known loads."""
        spill = self.spills.get(service)
        return spill is not None and spill.active

    def _place(
        self, service: str, usable: list[servers.ServerEntry], now: float
    ) -> KnownPlacement | None:
        """Returns where a request is placed; None if the loads are unknown."""
        load = self.zone_load(service, self.zone, now)
        if load is None:
            self._end_spill(service)
            return None
        zones = sorted({entry.server.zone for entry in usable} - {self.zone})
        slots = round(sum(entry.server.slots for entry in usable) / len(usable))
        remote = placement.remote_zones(
            load,
            {zone: self.zone_load(service, zone, now) for zone in zones},
            slots,
        )
        if remote is None:
            self._end_spill(service)
            return None
        spill = self.spills.setdefault(service, placement.Spill())
        spill.follow(remote.share, now)
        zone = spill.choose_zone(remote, self.random)
        return KnownPlacement(zone or self.zone, remote)

    def _end_spill(self, service: str) -> None:
        if service in self.spills:
            self.spills[service].end()

    def _more_known(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        before: ProbePlan,
        found: list[probing.Candidate],
    ) -> list[servers.ServerEntry]:
        """Returns the servers to probe after a zone of known load.

        Other servers of the local zone are probed first of all, since it may
        have good ones left. One server of a zone with more room is probed as
        well, and more of them the more requests leave.
        """
        known = before.known
        spill = self.spills[service]
        enough = any(
            one.healthy and _kind_score(one, before.kind) <= GOOD_SCORE
            for one in found
        )
        if known.zone == self.zone:
            self._record_local_success(service, enough)
        else:
            spill.record_probes(known.zone, enough)
        if enough:
            return []
        left = [entry for entry in usable if entry not in before.probed]
        remote_count = 0
        remote: list[servers.ServerEntry] = []
        if known.zones.weights:
            zone = spill.draw_zone(known.zones, self.random)
            inside = [one for one in left if one.server.zone == zone]
            remote_count = 1 + round((MAX_PROBED - 2) * spill.share)
            remote = self._draw(
                self._preferred(inside), remote_count, before.connected
            )
        local = [entry for entry in left if self._is_local(entry)]
        return remote + self._draw(
            self._preferred(local),
            MAX_PROBED - 1 - len(remote),
            before.connected,
        )

    def _remote(
        self, usable: list[servers.ServerEntry]
    ) -> list[servers.ServerEntry]:
        return [entry for entry in usable if not self._is_local(entry)]

    def _is_local(self, entry: servers.ServerEntry) -> bool:
        return entry.server.zone == self.zone

    def _is_good_local(self, candidate: probing.Candidate) -> bool:
        local = self._is_local(candidate.entry)
        return local and candidate.healthy and candidate.score <= GOOD_SCORE

    def _record_local_success(self, service: str, enough: bool) -> None:
        rate = self.local_zone_success.get(service, 1.0)
        self.local_zone_success[service] = rate + LOCAL_ZONE_WEIGHT * (
            enough - rate
        )

    def _preferred(self, entries: list[servers.ServerEntry]) -> EligibleServers:
        """Returns the preferred servers among some, or at times all."""
        if len(entries) <= PREFERRED_SERVERS:
            return EligibleServers(entries, False)
        if self.random.randrange(EXPLORE_EVERY) == 0:
            return EligibleServers(entries, True)
        return EligibleServers(
            sorted(entries, key=self._rank)[:PREFERRED_SERVERS], False
        )

    def _rank(self, entry: servers.ServerEntry) -> int:
        return zlib.crc32(f"{self.daemon} {entry.server.instance}".encode())

    def _draw(
        self,
        eligible: EligibleServers,
        max_count: int,
        connected: ConnectedServers,
    ) -> list[servers.ServerEntry]:
        """Draws servers at random, with preference for connected ones.

        The number of servers in the local zone is left as drawn. If servers
        that are not preferred are eligible, one server without a connection is
        kept. A drawn server whose connections are all in use is kept too.
        """
        entries = eligible.entries
        chosen = self.random.sample(entries, min(max_count, len(entries)))
        kept = connected.idle | connected.busy
        new = [one for one in chosen if one.server.instance not in kept]
        if not kept or not new:
            return chosen
        if eligible.explores:
            new.pop()
        idle = [
            one
            for one in entries
            if one.server.instance in connected.idle and one not in chosen
        ]
        self.random.shuffle(idle)
        for one in new:
            self._swap_in(chosen, one, idle)
        return chosen

    def _swap_in(
        self,
        chosen: list[servers.ServerEntry],
        new: servers.ServerEntry,
        idle: list[servers.ServerEntry],
    ) -> None:
        """Replaces a server by an idle one from its side of the zone border.

        One of the local zone is replaced only by another of the local zone, and
        any other one only by one outside it. Without such a server nothing
        changes.
        """
        local = self._is_local(new)
        for other in idle:
            if self._is_local(other) == local:
                chosen[chosen.index(new)] = other
                idle.remove(other)
                return


def _own_part(
    entries: list[servers.ServerEntry], kind: request_kinds.RequestKind
) -> list[servers.ServerEntry]:
    """Returns the servers that a kind of request uses first."""
    if kind.tolerant is None:
        return entries
    own = [one for one in entries if kind.shares(one.server) == kind.tolerant]
    return own or entries


def _kind_score(
    candidate: probing.Candidate, kind: request_kinds.RequestKind
) -> float:
    return candidate.score * request_kinds.score_factor(
        kind, candidate.entry.server, candidate.load
    )
