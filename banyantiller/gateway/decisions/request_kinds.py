"""Decides which servers a kind of request prefers while they are scarce.

Load pattern: a burst of requests with much slack arrives beside requests with
little. A read (objective 618 ms, work 220 ms) is late in 0.034 of the cases
alone on a server and in 0.27 beside another request, a charge (410 ms, 150 ms)
in 0.055 and 0.30, a publication (1,519 ms, 290 ms) in 0.000 and 0.006. Some
servers reset connections when full, so that a request that took the last slot
at the same time as another one may or may not have run.
"""

import zlib
from typing import NamedTuple

from banyantiller.gateway import types
from banyantiller.gateway.decisions import placement, scoring, service_load

# Requests are kept apart by kind while less than this share of servers is idle.
SCARCE_IDLE_SHARE = 0.5
# An objective of this many usual durations tolerates another request on the
# server. Of the work alone it is four times; slow periods, 0.3 of the time at
# a fifth of the speed, make a measured duration up to 1.3 times longer.
MIN_TOLERANCE = 3.0
# The tolerance must also be this much greater than the smallest at the service:
# durations of all kinds grow alike under load, and kinds of nearly equal
# tolerance gain nothing from being kept apart.
RELATIVE_TOLERANCE = 1.5
# A kind of request counts as present at a service for this time.
KIND_KEPT_S = 10.0
# Share of the servers that tolerant requests use first if none is idle.
# Publications are 0.42 of the feed's work; two on a server, they need 0.27 of
# the servers.
MAX_SHARED_PART = 0.3
# A tolerant request that joins another one in the shared part leaves an idle
# server to others; an idle server outside it counts like one that is slow.
JOINED_FACTOR = 0.9
OUTSIDE_FACTOR = 1.2
# A request with little slack prefers idle servers outside the shared part; this
# breaks ties, and is less than the cost of another zone.
SHARED_IDLE_FACTOR = 1.02
# Outside the shared part it would most likely join another with little slack.
JOINED_TIGHT_FACTOR = 1.1
# A server that rejects a request by a reset does so at once; one that stops may
# do so at any time. A reset within this share of the usual duration counts as a
# rejection.
RESET_WORK_SHARE = 0.25
# How long a service is remembered to reset connections when full.
RESET_KEPT_S = 60.0


class RequestKind(NamedTuple):
    """What decides which servers a request prefers.

    Attributes:
        tolerant: Whether it tolerates another request on its server; None if
            requests of the service are not kept apart.
        shared_part: Share of the servers that tolerant requests use first.
        avoids_last_slots: Whether it leaves last slots to others, since a full
            server of the service resets connections.
    """

    tolerant: bool | None = None
    shared_part: float = 0.0
    avoids_last_slots: bool = False

    def shares(self, server: types.Server) -> bool:
        """Returns whether a server is in the part for tolerant requests."""
        return position(server) < self.shared_part

    def may_take_last_slot(self, server: types.Server) -> bool:
        """Returns whether it takes a last slot without waiting."""
        return (
            self.tolerant is True
            and not self.avoids_last_slots
            and self.shares(server)
        )


ANY_KIND = RequestKind()


def position(server: types.Server) -> float:
    """Returns the position of a server in the order of all, from 0 to 1.

    It is the same at all daemons for an incarnation of a server.
    """
    incarnation = f"{server.instance} {server.started_ms}"
    return zlib.crc32(incarnation.encode()) / (1 << 32)


def score_factor(
    kind: RequestKind, server: types.Server, load: types.Load | None
) -> float:
    """Returns the factor by which the kind changes a server's score.

    A tolerant request joins another one in the shared part, and so leaves idle
    servers to the others. A request with little slack runs alone if it can, and
    otherwise beside one that tolerates it.
    """
    if kind.tolerant is None or load is None:
        return 1.0
    shared = kind.shares(server)
    if not kind.tolerant:
        if load.running:
            return 1.0 if shared else JOINED_TIGHT_FACTOR
        return SHARED_IDLE_FACTOR if shared else 1.0
    if not shared:
        return OUTSIDE_FACTOR
    if not load.running or not scoring.has_free_slot(load):
        return 1.0
    if scoring.takes_last_slot(load):
        return JOINED_FACTOR / (1 + scoring.FULL_SLOWDOWN)
    return JOINED_FACTOR


def shared_part(load: service_load.ZoneLoad | None) -> float:
    """Returns the share of the servers that tolerant requests use first.

    It grows with the scarcity of idle servers: while most requests find one,
    two on a server delay both for nothing.
    """
    if not placement.is_recent(load):
        return 0.0
    scarcity = 1 - load.idle_share / SCARCE_IDLE_SHARE
    return MAX_SHARED_PART * max(0.0, scarcity)


class SeenRoute(NamedTuple):
    """The last request of a route at a service.

    Attributes:
        tolerance: Its objective, in usual durations.
        idempotent: Whether it may run more than once.
        at: Loop time.
    """

    tolerance: float
    idempotent: bool
    at: float


class RequestKinds:
    """Routes whose requests reached each service lately.

    Attributes:
        seen: Last requests, by service and route.
    """

    def __init__(self) -> None:
        self.seen: dict[str, dict[str, SeenRoute]] = {}

    def record(
        self,
        service: str,
        route: types.Route,
        usual_s: float,
        now: float,
    ) -> bool | None:
        """Records a request, and returns whether it is tolerant.

        Args:
            service: Name of the service.
            route: Its route.
            usual_s: Usual duration of its requests, in seconds.
            now: Loop time.

        Returns:
            None if the service has not had both kinds lately.
        """
        seen = self.seen.setdefault(service, {})
        tolerance = route.objective_s / max(usual_s, 1e-6)
        seen[route.name] = SeenRoute(tolerance, route.idempotent, now)
        for name, one in list(seen.items()):
            if now - one.at > KIND_KEPT_S:
                del seen[name]
        found = [one.tolerance for one in seen.values()]
        limit = max(MIN_TOLERANCE, RELATIVE_TOLERANCE * min(found))
        if max(found) < limit or min(found) >= limit:
            return None
        return tolerance >= limit

    def has_idempotent(self, service: str) -> bool:
        """Returns whether requests that may run twice reach a service.

        Without them nobody would use the last slots that others leave free.
        """
        return any(
            one.idempotent for one in self.seen.get(service, {}).values()
        )


class FullResets:
    """Services whose servers reset connections when they are full.

    Attributes:
        seen_at: Loop time of the last such reset, by service.
    """

    def __init__(self) -> None:
        self.seen_at: dict[str, float] = {}

    def record_reset(
        self,
        service: str,
        load: types.Load | None,
        after_s: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Records that a server reset the connection of a request.

        Args:
            service: Name of the service.
            load: Load that the server reported before the request was sent.
            after_s: Time from the request to the reset, in seconds.
            usual_s: Usual duration of such requests, in seconds.
            now: Loop time.
        """
        full = load is not None and scoring.takes_last_slot(load)
        if full and after_s <= RESET_WORK_SHARE * usual_s:
            self.seen_at[service] = now

    def resets_when_full(self, service: str, now: float) -> bool:
        """Returns whether full servers of a service reset connections."""
        seen_at = self.seen_at.get(service)
        return seen_at is not None and now - seen_at <= RESET_KEPT_S
