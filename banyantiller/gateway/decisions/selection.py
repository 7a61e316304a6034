"""Which servers are asked for a request, and which of them gets it.

Pure decisions: who asks and waits is `server_choice`. They are recorded and
played again by `replay.selector_player`.
"""

import random
import zlib
from typing import NamedTuple

from banyantiller.gateway import probing, servers

# Servers asked for each request.
MAX_PROBED = 5
# Servers of the own zone that are asked first. Mostly one of them will do, and
# no question crosses zones.
MAX_PROBED_LOCAL = 3
# Servers of the own zone, and as many of all others, that a daemon prefers, the
# same ones each time, so that connections are kept. Of these it asks rather
# those with an idle connection: a daemon with few requests can keep few, since
# servers close idle ones. Once in EXPLORED requests any other is asked, so that
# a server that few daemons prefer gets work too.
PREFERRED_SERVERS = 8
EXPLORE_EVERY = 10
# A server of the own zone with this score or less is taken without asking
# others: it has free slots and works at most a fifth slower than usual.
GOOD_SCORE = 1.25
# The own zone is asked alone while it was enough this often lately; else its
# answer would only be waited for.
MIN_LOCAL_ZONE_SUCCESS = 0.5
# Weight of one request in that rate: it follows a burst within a second.
LOCAL_ZONE_WEIGHT = 0.1
# A server that works more than this much slower than usual is left alone: its
# neighbours let go of it within tenths of a second, and what it gets meanwhile
# is late.
MAX_SLOWNESS = 2.0


class Connected(NamedTuple):
    """Instances of servers to which a daemon has connections.

    Attributes:
        idle: Those to which one can be used at once.
        busy: Those to which all are in use.
    """

    idle: frozenset[str] = frozenset()
    busy: frozenset[str] = frozenset()


UNCONNECTED = Connected()


class Eligible(NamedTuple):
    """Servers of which some are asked.

    Attributes:
        entries: The servers.
        explores: Whether there are others among them than the preferred ones.
    """

    entries: list[servers.ServerEntry]
    explores: bool

    def plus(self, other: "Eligible") -> "Eligible":
        """Returns these servers and others."""
        return Eligible(
            self.entries + other.entries, self.explores or other.explores
        )


class ProbePlan(NamedTuple):
    """Servers that are asked at once.

    Attributes:
        probed: The servers.
        local_only: Whether other zones are asked only if these are not enough.
        mixed: Whether there are servers in the own zone and in others.
        connected: Instances to which there were connections.
    """

    probed: list[servers.ServerEntry]
    local_only: bool
    mixed: bool
    connected: Connected = UNCONNECTED


class ServerSelector:
    """Selects servers for the requests of one daemon.

    Attributes:
        daemon: Its name.
        zone: Its availability zone.
        local_zone_success: By service, how often the own zone was enough
            lately.
    """

    def __init__(self, daemon: str, zone: str, rng: random.Random) -> None:
        self.daemon = daemon
        self.zone = zone
        self.random = rng
        self.local_zone_success: dict[str, float] = {}

    def first_probes(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        connected: Connected = UNCONNECTED,
    ) -> ProbePlan:
        """Returns the servers to ask first.

        Args:
            service: The service.
            usable: Its servers that may be asked.
            connected: Instances to which there are connections.
        """
        near = [entry for entry in usable if self._is_near(entry)]
        if not near or len(near) == len(usable):
            some = self._some(self._preferred(usable), MAX_PROBED, connected)
            return ProbePlan(some, False, False, connected)
        preferred = self._preferred(near)
        if self.local_zone_success.get(service, 1.0) < MIN_LOCAL_ZONE_SUCCESS:
            preferred = preferred.plus(self._preferred(self._far(usable)))
            some = self._some(preferred, MAX_PROBED, connected)
            return ProbePlan(some, False, True, connected)
        some = self._some(preferred, MAX_PROBED_LOCAL, connected)
        return ProbePlan(some, True, True, connected)

    def more_probes(
        self,
        service: str,
        usable: list[servers.ServerEntry],
        before: ProbePlan,
        found: list[probing.Candidate],
    ) -> list[servers.ServerEntry]:
        """Returns the servers to ask besides; none if these are enough.

        Args:
            service: The service.
            usable: Its servers that may be asked.
            before: What was asked.
            found: Those that answered.
        """
        enough = any(map(self._is_near_and_good, found))
        if before.mixed:
            self._note_near(service, enough)
        if enough or not before.local_only:
            return []
        near = [entry for entry in usable if self._is_near(entry)]
        near_some = self._preferred(near)
        preferred = near_some.plus(self._preferred(self._far(usable)))
        others = [
            entry for entry in preferred.entries if entry not in before.probed
        ]
        eligible = preferred._replace(entries=others)
        return self._some(eligible, MAX_PROBED - 1, before.connected)

    def pick_candidate(
        self,
        found: list[probing.Candidate],
        max_score: float,
        now: float,
        keep_last_slot: bool = False,
    ) -> probing.Candidate | None:
        """Returns the best candidate that is ready, or None.

        A server that calls itself unfit is taken only if all that answered do:
        then they may be lying, and refusing would serve nobody.

        Args:
            found: Servers that answered, best first.
            max_score: Greatest score that is taken.
            now: Loop time.
            keep_last_slot: Whether the last slots of servers are left alone.
        """
        any_fit = any(one.healthy for one in found)
        return next(
            (
                one
                for one in found
                if one.healthy == any_fit
                and one.ready(MAX_SLOWNESS)
                and not (keep_last_slot and one.takes_last_slot())
                and one.score <= max_score
                and one.entry.usable(now)
            ),
            None,
        )

    def _far(
        self, usable: list[servers.ServerEntry]
    ) -> list[servers.ServerEntry]:
        return [entry for entry in usable if not self._is_near(entry)]

    def _is_near(self, entry: servers.ServerEntry) -> bool:
        return entry.server.zone == self.zone

    def _is_near_and_good(self, candidate: probing.Candidate) -> bool:
        near = self._is_near(candidate.entry)
        return near and candidate.healthy and candidate.score <= GOOD_SCORE

    def _note_near(self, service: str, enough: bool) -> None:
        rate = self.local_zone_success.get(service, 1.0)
        self.local_zone_success[service] = rate + LOCAL_ZONE_WEIGHT * (
            enough - rate
        )

    def _preferred(self, some: list[servers.ServerEntry]) -> Eligible:
        """Returns those of some servers that connections are kept to."""
        if len(some) <= PREFERRED_SERVERS:
            return Eligible(some, False)
        if self.random.randrange(EXPLORE_EVERY) == 0:
            return Eligible(some, True)
        return Eligible(sorted(some, key=self._rank)[:PREFERRED_SERVERS], False)

    def _rank(self, entry: servers.ServerEntry) -> int:
        return zlib.crc32(f"{self.daemon} {entry.server.instance}".encode())

    def _some(
        self, eligible: Eligible, most: int, connected: Connected
    ) -> list[servers.ServerEntry]:
        """Returns some servers at random, rather those with a connection.

        As many of them are in the own zone as would be by chance. Where others
        than the preferred ones are eligible, one may be new. A server that only
        has connections in use is left as chosen.
        """
        entries = eligible.entries
        chosen = self.random.sample(entries, min(most, len(entries)))
        known = connected.idle | connected.busy
        new = [one for one in chosen if one.server.instance not in known]
        if not known or not new:
            return chosen
        if eligible.explores:
            new.pop()
        spare = [
            one
            for one in entries
            if one.server.instance in connected.idle and one not in chosen
        ]
        self.random.shuffle(spare)
        for one in new:
            self._replace(chosen, one, spare)
        return chosen

    def _replace(
        self,
        chosen: list[servers.ServerEntry],
        new: servers.ServerEntry,
        spare: list[servers.ServerEntry],
    ) -> None:
        """Puts a spare server in the place of one as near, if there is one."""
        near = self._is_near(new)
        for other in spare:
            if self._is_near(other) == near:
                chosen[chosen.index(new)] = other
                spare.remove(other)
                return
