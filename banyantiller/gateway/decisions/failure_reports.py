"""Servers that call themselves well and fail, as several daemons saw them.

The load pattern: a server answers questions at once, says that it is idle, and
answers requests with an error. Daemons with a request a second each learn that
one by one, and each pays with requests that may not be tried again.

A daemon tells those that it asks for changes which servers failed it lately.
These tell all that ask them which servers failed several daemons. That is a
doubt and no verdict: a doubted server is taken where others are worse, and the
doubt fades. What one daemon alone believes changes nothing.
"""

import collections
from collections.abc import Iterable

# How long a failure counts, in seconds.
RECENT_S = 8.0
# How long a doubt holds, in seconds; answers that name the server renew it.
REPORT_VALID_S = 2.0
# Daemons that a server has to have failed.
MIN_DAEMONS = 2
# Most servers that are named in one message.
MAX_NAMED = 32


class LocalFailures:
    """Servers that failed this daemon.

    Attributes:
        times: Loop time of the last failure, by instance.
    """

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def record_failure(self, instance: str, now: float) -> None:
        """Notes that a server answered a request with an error."""
        self.times[instance] = now

    def recent(self, now: float) -> list[str]:
        """Returns the servers that failed lately."""
        oldest = now - RECENT_S
        self.times = {n: at for n, at in self.times.items() if at > oldest}
        return sorted(self.times)[:MAX_NAMED]


class FailureReports:
    """What other daemons said of servers that failed them.

    Attributes:
        times: Loop time of the last report, by instance and daemon.
    """

    def __init__(self) -> None:
        self.times: dict[str, dict[str, float]] = collections.defaultdict(dict)

    def receive(
        self, daemon: str, instances: Iterable[str], now: float
    ) -> None:
        """Takes what a daemon said."""
        for instance in instances:
            self.times[instance][daemon] = now

    def failing_servers(self, now: float) -> list[str]:
        """Returns the servers that several daemons reported lately."""
        oldest = now - RECENT_S
        for instance, times in list(self.times.items()):
            kept = {name: at for name, at in times.items() if at > oldest}
            self.times[instance] = kept
            if not kept:
                del self.times[instance]
        found = [
            instance
            for instance, times in self.times.items()
            if len(times) >= MIN_DAEMONS
        ]
        return sorted(found)[:MAX_NAMED]
