"""What the parts of the data path need of whoever they belong to.

Connections own calls, and calls own tries; each needs something of its owner,
which is stated here so that no module imports the one that imports it.
"""

import asyncio
import random
from typing import Any, Protocol

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    crash_detection,
    exchange,
    pool,
    probing,
    progress,
    requests,
    server_choice,
    server_limits,
    store_view,
    tallies,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import budget, durations


class CallContext(Protocol):
    """What a call needs of the gateway; see `gateway.Gateway`."""

    settings: options.Settings
    adapter: types.Adapter
    random: random.Random
    loop: asyncio.AbstractEventLoop
    tallies: tallies.Tallies
    store_view: store_view.StoreView
    crash_detector: crash_detection.CrashDetector
    server_limits: server_limits.ServerLimits
    prober: probing.LoadProber
    chooser: server_choice.ServerChooser
    durations: durations.Durations
    default_timeout_s: float
    max_response_bytes: int

    def pool_of(self, server: types.Server) -> pool.Pool:
        """Returns the connections to a server."""

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""

    def share(self) -> float:
        """Returns this daemon's part of what the fleet may use."""

    def record_call(
        self, call: Any, status: int, error: ErrorKind | None
    ) -> None:
        """Counts and logs the end of a call."""


class ConnectionContext(CallContext, Protocol):
    """What a caller's connection needs of the gateway."""

    connections: set[Any]
    buffered_body_bytes: int
    draining: bool

    def remove_connection(self, connection: Any) -> None:
        """Forgets a caller's connection."""


class RunningCall(Protocol):
    """What a try needs of its call; see `call.Call`."""

    gateway: CallContext
    loop: asyncio.AbstractEventLoop
    request: requests.Request
    outgoing: exchange.Outgoing
    progress: progress.Progress
    route: types.Route | None
    service: str
    deadline: float

    @property
    def idempotent(self) -> bool:
        """Whether it may be executed more than once."""
