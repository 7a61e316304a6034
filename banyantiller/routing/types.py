"""Messages between a service's dispatcher and the task that drives it.

The dispatcher is a state machine without sockets, timers or randomness of
its own: its driver passes inputs with the loop's time and carries out the
returned actions. The daemon, tests, replay and benchmarks drive the same code.

Times named `now` and `deadline` are the event loop's seconds; durations end
in `_s`.
"""

import dataclasses
from typing import NamedTuple, Protocol

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Failure, Ran


class ServerState(NamedTuple):
    """Location of a server and whether it may get new requests.

    Attributes:
        name: Name of the server.
        zone: Availability zone.
        slots: Requests that it runs at once.
        group: Group that traffic shares refer to.
        leaving: Whether it must get no new requests.
    """

    name: str
    zone: str
    slots: int
    group: str = "main"
    leaving: bool = False


class LoadReport(NamedTuple):
    """Load of a server, reported by itself or by a peer.

    Attributes:
        in_flight: Requests running or queued on the server, including the one
            whose response carries the report.
        age_s: Age of the figure on arrival, 0 if a response carries it.
        draining: Whether the server reports that it drains.
        source: "answer" or "probe".
    """

    in_flight: float
    age_s: float = 0.0
    draining: bool = False
    source: str = "answer"


class Call(NamedTuple):
    """A call to be routed to a server.

    Attributes:
        call_id: Unique number within the dispatcher.
        idempotent: Whether it may be run twice.
        deadline: Time at which its caller stops waiting.
        replayable: Whether its body can be sent again.
    """

    call_id: int
    idempotent: bool
    deadline: float
    replayable: bool = True


class AttemptResult(NamedTuple):
    """Outcome of one attempt, before anything was sent to the caller.

    Attributes:
        ok: Whether a response head arrived that may be relayed.
        ran: Whether the server ran the request.
        error: The failure if there is no response head.
        status: Status of the response head, 0 without one.
        report: Load reported by the response, or None.
        retry_after_s: `Retry-After` of the response, or None.
        replayable: Whether the request can still be sent again.
    """

    ok: bool
    ran: Ran
    error: ErrorKind | None = None
    status: int = 0
    report: LoadReport | None = None
    retry_after_s: float | None = None
    replayable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Sends the call to a server as a new attempt.

    Attributes:
        hedge: Whether another attempt of the call is still running.
    """

    call_id: int
    attempt_id: int
    server: str
    hedge: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels one attempt; its connection must not be reused."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Relays the response of this attempt to the caller."""

    call_id: int
    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Ends the call with a failure; none of its attempts is still running."""

    call_id: int
    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Sends a probe to a server; the probe budget has been charged."""

    server: str


Action = Start | Cancel | Relay | Refuse | Probe


class Dispatcher(Protocol):
    """Interface that a routing plug-in provides for each service.

    A plug-in's factory is called as
    `factory(service, servers, daemon, zone, seed, now, charge)` with the
    service's options, its servers, the daemon's name and zone, a seed for its
    random choices, the loop's time, and `charge(now) -> bool`, which charges
    one probe to the probe budget and returns whether the budget allowed it.
    """

    def configure(
        self,
        service: options.Service,
        servers: tuple[ServerState, ...],
        now: float,
    ) -> list[Action]:
        """Applies a new bundle or changed servers; keeps its statistics."""

    def submit(self, call: Call, now: float) -> list[Action]:
        """Starts, queues or refuses a new call."""

    def attempt_head(
        self, attempt_id: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Processes the response head, or the failure, of an attempt."""

    def attempt_done(self, attempt_id: int, now: float) -> list[Action]:
        """Processes the end of a relayed response, which frees the slot."""

    def cancel(self, call_id: int, now: float) -> list[Action]:
        """Drops a call whose caller disconnected; cancels its attempts."""

    def report(
        self, server: str, report: LoadReport, now: float
    ) -> list[Action]:
        """Processes a load report of a probe."""

    def probe_failed(self, server: str, now: float) -> list[Action]:
        """Records that a probe got no response."""

    def members(self, alive: int, now: float) -> None:
        """Sets the number of daemons considered alive, including this one."""

    def own_load(self, now: float) -> dict[str, float]:
        """Returns this daemon's calls in flight by server."""

    def tick(self, now: float) -> list[Action]:
        """Runs due work: deadlines, hedges, probes and recovery."""

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
