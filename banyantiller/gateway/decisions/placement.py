"""Decides how many requests leave the local zone, and for which zone.

Load pattern: the demand in each zone varies by half with a period of 13 s, at a
different phase in each, or half of the callers of a zone move to another one at
once. Over a hundred daemons receive two requests a second each, so that their
own probes show a full zone only after 4 to 30 s.
"""

import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from banyantiller.gateway.decisions import service_load

# Returns the load of a service in a zone at a loop time, or None if unknown.
LoadLookup = Callable[[str, str, float], service_load.ZoneLoad | None]

# Share of idle and fast servers with which a zone serves itself. With it, three
# probes find such a server for three of four requests, and a second round for
# most of the others.
ENOUGH_SHARE = 1 - 0.25 ** (1 / 3)
# Loads of this age are not used: servers free their slots within half a second,
# so that such a load says nothing of the present.
MAX_LOAD_AGE_S = 2.0
# Remote shares at which a spill begins and ends. Two zones with equal load
# differ by chance; a share below the first costs more traffic than it helps.
SPILL_BEGINS = 0.1
SPILL_ENDS = 0.04
# Time in which the remote share follows its aim. Loads are known about a second
# late; a share that followed them at once would swing with that period.
FOLLOW_S = 0.8
# Weight of one request in the share of requests for which a zone had a server,
# and the minimum of that share: a wrongly reported zone is still
# probed at times.
SUCCESS_WEIGHT = 0.25
MIN_SUCCESS = 0.1


def no_load(_service: str, _zone: str, _now: float) -> None:
    """Returns that a load is not known."""


class RemoteZones(NamedTuple):
    """How much of the requests leaves the local zone, and for where.

    Attributes:
        share: Share of the requests that another zone is probed first for.
        weights: Weight of each zone that has more room than the local one.
    """

    share: float
    weights: dict[str, float]


def roomy_share(load: service_load.ZoneLoad, slots: int) -> float:
    """Returns the share of servers that are fast and have a spare slot.

    A request that takes the last slot of a server slows down all requests
    there. The free share gives a lower bound for servers of several slots.

    Args:
        load: Load of the zone.
        slots: Slots of a server.
    """
    spare = load.idle_share
    if slots > 1:
        spare = max(spare, (load.free_share * slots - 1) / (slots - 1))
    return spare * (1 - load.slow_share)


def remote_zones(
    local: service_load.ZoneLoad | None,
    others: Mapping[str, service_load.ZoneLoad | None],
    slots: int,
) -> RemoteZones | None:
    """Returns how much should leave the local zone; None if not known.

    The share rises with the shortage of the local zone, as far as other zones
    have more room, up to their part of all servers. Zones of equal load, full
    ones too, exchange nothing. A zone of unknown load gets nothing.

    Args:
        local: Load of the local zone.
        others: Loads of the other zones.
        slots: Slots of a server.
    """
    known = {zone: load for zone, load in others.items() if is_recent(load)}
    if not is_recent(local) or not known:
        return None
    room = roomy_share(local, slots)
    weights = {
        zone: load.servers * (roomy_share(load, slots) - room)
        for zone, load in known.items()
        if load.servers and roomy_share(load, slots) > room
    }
    if not weights:
        return RemoteZones(0.0, {})
    servers = sum(known[zone].servers for zone in weights)
    remote_room = room + sum(weights.values()) / max(1, servers)
    shortage = min(ENOUGH_SHARE, remote_room) - room
    even_split = servers / max(1, servers + local.servers)
    share = even_split * max(0.0, shortage) / ENOUGH_SHARE
    return RemoteZones(share, weights)


class Spill:
    """Share of a service's requests that leaves the local zone.

    Attributes:
        share: Share that leaves; 0 unless active.
        active: Whether requests leave.
        success: Share of recent requests for which a zone had a good server,
            by zone.
    """

    def __init__(self) -> None:
        self.followed = 0.0
        self.followed_at: float | None = None
        self.active = False
        self.success: dict[str, float] = {}

    @property
    def share(self) -> float:
        """Share of the requests that leaves the zone."""
        return self.followed if self.active else 0.0

    def follow(self, aim: float, now: float) -> None:
        """Moves the share towards its aim."""
        since = self.followed_at
        self.followed_at = now
        if since is None:
            self.followed = aim
        else:
            part = min(1.0, (now - since) / FOLLOW_S)
            self.followed += part * (aim - self.followed)
        limit = SPILL_ENDS if self.active else SPILL_BEGINS
        self.active = self.followed >= limit

    def end(self) -> None:
        """Ends the spill, as loads are not known any more."""
        self.followed = 0.0
        self.followed_at = None
        self.active = False

    def record_probes(self, zone: str, enough: bool) -> None:
        """Records whether a zone that was probed first had a good server."""
        rate = self.success.get(zone, 1.0)
        rate += SUCCESS_WEIGHT * (enough - rate)
        self.success[zone] = max(MIN_SUCCESS, rate)

    def choose_zone(self, zones: RemoteZones, rng: random.Random) -> str | None:
        """Returns the zone that is probed first, or None for the local one.

        The choice is random, so that daemons with the same knowledge do not all
        choose the same zone.
        """
        if not zones.weights or rng.random() >= self.share:
            return None
        return self.draw_zone(zones, rng)

    def draw_zone(self, zones: RemoteZones, rng: random.Random) -> str:
        """Returns one of the zones with more room, at random."""
        weights = [
            weight * self.success.get(zone, 1.0)
            for zone, weight in zones.weights.items()
        ]
        return rng.choices(list(zones.weights), weights)[0]


def is_recent(load: service_load.ZoneLoad | None) -> bool:
    """Returns whether a load is known and not too old."""
    return load is not None and load.age_s <= MAX_LOAD_AGE_S
