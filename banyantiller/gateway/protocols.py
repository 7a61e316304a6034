"""Interfaces that the parts of the data path need of their owners.

Connections own calls, and calls own attempts. Each uses its owner through a
protocol of this module, which avoids circular imports.
"""

import asyncio
import random
from typing import Any, Protocol

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    allowances,
    crash_detection,
    exchange,
    pool,
    probing,
    progress,
    reachability,
    requests,
    returning_callers,
    server_choice,
    server_responses,
    store_view,
    tallies,
    transfers,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import (
    budget,
    caller_budgets,
    durations,
    precedence,
    service_load,
)
from banyantiller.http import client


class CallForwarder(Protocol):
    """Interface of the forwarder for calls; see `forwarding.Forwarder`."""

    async def choose(self, service: str, tried: list[str]) -> str | None:
        """Returns the address of a daemon for a call, or None."""

    async def is_responsive(self, address: str, service: str) -> bool:
        """Returns whether a daemon responds to a query in time."""

    def skip(self, address: str, service: str = "") -> None:
        """Skips a daemon for a while."""

    def client_of(self, address: str) -> client.HttpClient:
        """Returns the HTTP client of a daemon."""


class CallContext(Protocol):
    """Interface of the gateway for calls; see `gateway.Gateway`."""

    settings: options.Settings
    adapter: types.Adapter
    random: random.Random
    loop: asyncio.AbstractEventLoop
    tallies: tallies.Tallies
    store_view: store_view.StoreView
    crash_detector: crash_detection.CrashDetector
    response_recorders: server_responses.Recorders
    prober: probing.LoadProber
    chooser: server_choice.ServerChooser
    reachability: reachability.Reachability
    forwarder: CallForwarder
    allowances: allowances.Allowances
    returning_callers: returning_callers.ReturningCallers
    durations: durations.Durations
    service_loads: service_load.ServiceLoads
    transfers: transfers.Transfers
    caller_budgets: caller_budgets.CallerBudgets
    return_watches: dict[str, precedence.ReturnWatch]
    default_timeout_s: float
    response_memory: exchange.ResponseMemory

    def pool_of(self, server: types.Server) -> pool.Pool:
        """Returns the connection pool of a server."""

    def budget_of(self, service: str) -> budget.RetryBudget:
        """Returns the retry budget of a service."""

    def share(self) -> float:
        """Returns this daemon's share of the fleet's budgets."""

    def shares_load(self) -> bool:
        """Returns whether daemons share what they know of the load."""

    def shared_load(
        self, service: str, now: float
    ) -> service_load.ZoneLoad | None:
        """Returns the load of a service; None if unknown or not shared."""

    def record_call(
        self, call: Any, status: int, error: ErrorKind | None
    ) -> None:
        """Counts and logs a finished call."""


class ConnectionContext(CallContext, Protocol):
    """Interface of the gateway for connections of callers."""

    connections: set[Any]
    buffered_body_bytes: int
    draining: bool

    def remove_connection(self, connection: Any) -> None:
        """Removes a closed connection of a caller."""


class RunningCall(Protocol):
    """Interface of a call for its attempts; see `call.Call`."""

    gateway: CallContext
    loop: asyncio.AbstractEventLoop
    request: requests.Request
    outgoing: exchange.OutgoingRequest
    progress: progress.Progress
    attempted: set[str]
    forwarded_by: str
    urgent: bool
    rank: float
    elapsed_s: float
    returned: bool
    version: int
    route: types.Route | None
    service: str
    deadline: float

    @property
    def idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
