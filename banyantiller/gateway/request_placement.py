"""What a daemon learns about the placement of requests, and applies to them.

All of it is off while daemons share no loads.
"""

import collections
from collections.abc import Callable

from banyantiller.gateway import events, probing, servers, types
from banyantiller.gateway.decisions import (
    request_kinds,
    selection,
    server_speeds,
)


class RequestPlacement:
    """State that decides which servers requests prefer.

    Attributes:
        selector: Selects servers; it knows the loads of the zones.
        shares_load: Returns whether daemons share what they know of the load.
        kinds: Kinds of the requests for each service.
        full_resets: Services whose servers reset connections when full.
        speeds: Speeds of servers relative to others of their service.
        zone_sends: Chosen servers by service and reason: "local", "spilled" or
            "no_local_server".
    """

    def __init__(
        self,
        selector: selection.ServerSelector,
        shares_load: Callable[[], bool] = lambda: False,
    ) -> None:
        self.selector = selector
        self.shares_load = shares_load
        self.kinds = request_kinds.RequestKinds()
        self.full_resets = request_kinds.FullResets()
        self.speeds = server_speeds.ServerSpeeds()
        self.zone_sends: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def kind(
        self, service: str, route: types.Route, usual_s: float, now: float
    ) -> request_kinds.RequestKind:
        """Returns the kind of a request, and records that it arrived.

        Args:
            service: Name of its service.
            route: Its route.
            usual_s: Usual duration of such requests, in seconds.
            now: Loop time.
        """
        if not self.shares_load():
            return request_kinds.ANY_KIND
        tolerant = self.kinds.record(service, route, usual_s, now)
        load = self.selector.zone_load(service, self.selector.zone, now)
        avoids = (
            not route.idempotent
            and self.full_resets.resets_when_full(service, now)
            and self.kinds.has_idempotent(service)
        )
        part = request_kinds.shared_part(load)
        return request_kinds.RequestKind(
            tolerant if part else None, part, avoids
        )

    def record_send(
        self, chosen: types.Server, usable: list[servers.ServerEntry]
    ) -> None:
        """Counts a chosen server by its zone.

        Args:
            chosen: The server.
            usable: Servers that could be probed.
        """
        if not self.shares_load():
            return
        zone = self.selector.zone
        reason = "local"
        if chosen.zone != zone:
            any_local = any(one.server.zone == zone for one in usable)
            reason = "spilled" if any_local else "no_local_server"
        self.zone_sends[chosen.service, reason] += 1

    def record_duration(
        self,
        server: types.Server,
        load: types.Load | None,
        took_s: float,
        usual_s: float,
    ) -> None:
        """Records how long a server took; see `ServerSpeeds`."""
        if self.shares_load():
            self.speeds.record_duration(server, load, took_s, usual_s)

    def with_speeds(
        self, found: list[probing.Candidate]
    ) -> list[probing.Candidate]:
        """Returns candidates whose scores include their speeds, best first."""
        if not self.shares_load():
            return found
        for one in found:
            one.score *= self.speeds.factor(one.entry.server)
        return sorted(found, key=lambda candidate: candidate.score)

    def log_spill(self, service: str, was_active: bool) -> None:
        """Logs that requests begin or cease to leave the local zone."""
        active = self.selector.spills_from_zone(service)
        if active and not was_active:
            share = self.selector.spills[service].share
            events.emit(events.SpillBegan(service, round(share, 3)))
        elif was_active and not active:
            events.emit(events.SpillEnded(service))
