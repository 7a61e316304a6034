"""Estimates how fast each server works, relative to others of its service.

Load pattern: some servers of a service are up to twice as slow as the others
for their whole life. A daemon sees few responses of each, whose durations vary
by half anyway, and a server that restarts may be another machine.
"""

import math
from collections.abc import Iterable

from banyantiller.gateway import servers, types
from banyantiller.gateway.decisions import scoring

# A server counts as usual until about this many responses say otherwise: they
# vary by half, and eight of them show a quarter with some certainty.
PRIOR_RESPONSES = 8.0
# Minimum weight of one response in the mean, which then covers some 20.
MIN_WEIGHT = 0.05
# The factor stays within these limits: one late response must not take a server
# out of use, and reported slowness covers shorter disturbances.
MIN_FACTOR = 0.5
MAX_FACTOR = 3.0

Key = tuple[str, servers.Incarnation]


class ServerSpeeds:
    """Durations of servers relative to the usual ones of their requests.

    Attributes:
        mean_logs: Mean logarithm of the relative duration, by incarnation.
        counts: Number of responses, by incarnation.
        service_logs: Mean logarithm of all servers, by service. It differs from
            zero since usual durations include those of slow periods.
    """

    def __init__(self) -> None:
        self.service_logs: dict[str, float] = {}
        self.mean_logs: dict[Key, float] = {}
        self.counts: dict[Key, int] = {}

    def record_duration(
        self,
        server: types.Server,
        load: types.Load | None,
        took_s: float,
        usual_s: float,
    ) -> None:
        """Records the duration of a request at a server.

        Args:
            server: The server.
            load: Load that it reported before; what this explains of the
                duration does not count.
            took_s: Duration, in seconds.
            usual_s: Usual duration of such requests, in seconds.
        """
        explained = scoring.duration_factor(load) if load else 1.0
        # A server may report a slowness of 0.
        if usual_s <= 0 or took_s <= 0 or explained <= 0:
            return
        key = _key(server)
        count = self.counts.get(key, 0) + 1
        self.counts[key] = count
        relative = math.log(took_s / usual_s / explained)
        mean = self.mean_logs.get(key, 0.0)
        weight = max(MIN_WEIGHT, 1 / count)
        self.mean_logs[key] = mean + weight * (relative - mean)
        usual = self.service_logs.get(server.service, relative)
        self.service_logs[server.service] = usual + MIN_WEIGHT * (
            relative - usual
        )

    def factor(self, server: types.Server) -> float:
        """Returns the duration of requests relative to other servers."""
        key = _key(server)
        count = self.counts.get(key, 0)
        usual = self.service_logs.get(server.service)
        if not count or usual is None:
            return 1.0
        relative = self.mean_logs[key] - usual
        factor = math.exp(relative * count / (count + PRIOR_RESPONSES))
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def retain(self, registered: Iterable[types.Server]) -> None:
        """Removes incarnations that are not registered any more."""
        if not self.counts:
            return
        for key in set(self.counts) - set(map(_key, registered)):
            del self.mean_logs[key]
            del self.counts[key]


def _key(server: types.Server) -> Key:
    return server.instance, servers.Incarnation.of(server)
