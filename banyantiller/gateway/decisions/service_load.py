"""Estimates how full the servers of a service are, zone by zone.

Load pattern: over a hundred daemons send two requests a second each, and the
demand for a service doubles within a second. No daemon probes enough servers to
notice it alone.
"""

from typing import NamedTuple

from banyantiller.gateway import types


class ZoneLoad(NamedTuple):
    """What the fleet knows of the servers of a service in a zone.

    Attributes:
        servers: Distinct servers that were observed.
        free_share: Free slots as a share of all slots, 0 to 1.
        idle_share: Share of the servers without a request.
        slow_share: Share of the servers that are too slow for a request; see
            `selection.MAX_SLOWNESS`.
        waiting: Queued requests per server.
        rejected_share: Share of the sent requests that a server with a free
            slot rejected.
        freed_per_s: Estimated number of slots that become free per second.
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


class ServiceLoads:
    """Observed loads by service and zone."""

    def record_load(
        self,
        service: str,
        zone: str,
        instance: str,
        load: types.Load,
        now: float,
    ) -> None:
        """Records the load that a server reported, at a loop time."""

    def record_send(
        self, service: str, zone: str, rejected: bool, now: float
    ) -> None:
        """Records whether a server with a free slot rejected a request."""

    def zone_load(self, service: str, zone: str, now: float) -> ZoneLoad | None:
        """Returns the load of a service in a zone, or None if unknown."""

    def service_load(self, service: str, now: float) -> ZoneLoad | None:
        """Returns the load of a service in all zones, or None if unknown."""
