"""Shares reports of servers that look healthy but fail requests.

Load pattern: a server answers probes at once, reports that it is idle, and
answers requests with an error. Without reports, each daemon with a request a
second finds that out alone, and pays with requests that may not be retried.

A daemon tells the relays that it queries for changes which servers failed it
recently. A relay reports to its subscribers which servers failed several
daemons. Such a report does not exclude a server: the server is still used where
the others are worse, and the report expires. What a single daemon reports
changes nothing.
"""

import collections
from collections.abc import Iterable

# How long a failure counts, in seconds.
RECENT_S = 8.0
# How long a report is valid, in seconds; each reply that names the server
# renews it.
REPORT_VALID_S = 2.0
# Number of daemons that must report a server before it counts as failing.
MIN_DAEMONS = 2
# Maximum number of servers named in one message.
MAX_NAMED = 32


class LocalFailures:
    """Servers that failed requests of this daemon.

    Attributes:
        times: Loop time of the last failure, by instance.
    """

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def record_failure(self, instance: str, now: float) -> None:
        """Records that a server answered a request with an error."""
        self.times[instance] = now

    def recent(self, now: float) -> list[str]:
        """Returns the servers that failed recently."""
        oldest = now - RECENT_S
        self.times = {n: at for n, at in self.times.items() if at > oldest}
        return sorted(self.times)[:MAX_NAMED]


class FailureReports:
    """Reports of peers about servers that failed them.

    Attributes:
        times: Loop time of the last report, by instance and daemon.
    """

    def __init__(self) -> None:
        self.times: dict[str, dict[str, float]] = collections.defaultdict(dict)

    def receive(
        self, daemon: str, instances: Iterable[str], now: float
    ) -> None:
        """Records the servers that a daemon reports."""
        for instance in instances:
            self.times[instance][daemon] = now

    def failing_servers(self, now: float) -> list[str]:
        """Returns the servers that several daemons reported recently."""
        oldest = now - RECENT_S
        for instance, times in list(self.times.items()):
            recent = {name: at for name, at in times.items() if at > oldest}
            self.times[instance] = recent
            if not recent:
                del self.times[instance]
        failing = [
            instance
            for instance, times in self.times.items()
            if len(times) >= MIN_DAEMONS
        ]
        return sorted(failing)[:MAX_NAMED]
