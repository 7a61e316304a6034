"""What the parts of the data path need of whoever they belong to.

Connections own calls, and calls own tries; each needs something of its owner,
which is stated here so that no module imports the one that imports it.
"""

import asyncio
import random
from typing import Any, Protocol

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    asking,
    choosing,
    endings,
    exchange,
    knowledge,
    limits,
    pool,
    progress,
    requests,
    tallies,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import budget, durations


class CallSurroundings(Protocol):
    """What a call needs of the gateway; see `gateway.Gateway`."""

    settings: options.Settings
    adapter: types.Adapter
    random: random.Random
    loop: asyncio.AbstractEventLoop
    tallies: tallies.Tallies
    known: knowledge.Knowledge
    endings: endings.Endings
    limits: limits.Limits
    asker: asking.Asker
    chooser: choosing.Chooser
    durations: durations.Durations
    default_timeout_s: float
    answer_bytes: int

    def pool_of(self, server: types.Server) -> pool.Pool:
        """Returns the connections to a server."""

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""

    def share(self) -> float:
        """Returns this daemon's part of what the fleet may use."""

    def finished(self, call: Any, status: int, error: ErrorKind | None) -> None:
        """Counts and logs the end of a call."""


class ConnectionSurroundings(CallSurroundings, Protocol):
    """What a caller's connection needs of the gateway."""

    connections: set[Any]
    body_bytes: int
    draining: bool

    def left(self, connection: Any) -> None:
        """Forgets a caller's connection."""


class RunningCall(Protocol):
    """What a try needs of its call; see `call.Call`."""

    gateway: CallSurroundings
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
