"""Messages between a service's dispatcher and the task that drives it.

The dispatcher is a state machine without sockets, timers or randomness of
its own: its driver passes inputs with the loop's time and carries out the
returned actions. The daemon, tests, replay and benches drive the same code.

Times named `now` and `deadline` are the event loop's seconds; durations end
in `_s`.
"""

import dataclasses
from typing import NamedTuple, Protocol

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind, Failure, Ran


class ServerState(NamedTuple):
    """Where a server is and whether it may get new requests.

    Attributes:
        name: Name of the server.
        zone: Availability zone.
        slots: Requests that it runs at once.
        group: Group that traffic shares name.
        leaving: Whether it must get nothing new.
    """

    name: str
    zone: str
    slots: int
    group: str = "main"
    leaving: bool = False


class LoadReport(NamedTuple):
    """Load of a server as it or another daemon tells it.

    Attributes:
        in_flight: Requests running or queued on the server, with the one
            that is being answered.
        age_s: Age of the figure on arrival, 0 when told on an answer.
        draining: Whether the server says that it is leaving.
        source: "answer" or "probe".
    """

    in_flight: float
    age_s: float = 0.0
    draining: bool = False
    source: str = "answer"


class Call(NamedTuple):
    """A call that wants a server.

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
    """How one try at a server ended, before anything went to the caller.

    Attributes:
        ok: Whether an answer head arrived that may be relayed.
        ran: Whether the server ran the request.
        error: The failure if there is no answer head.
        status: Status of the answer head, 0 without one.
        report: Load told on the answer, or None.
        retry_after_s: `Retry-After` of the answer, or None.
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
    """Send the call to a server as a new try.

    Attributes:
        hedge: Whether another try of the call is still running.
    """

    call_id: int
    attempt_id: int
    server: str
    hedge: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Give up one try; its connection must not be used again."""

    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Relay the answer of this try to the caller."""

    call_id: int
    attempt_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a failure; no try is running any more."""

    call_id: int
    failure: Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Send a probe to a server; the measuring budget has been charged."""

    server: str


Action = Start | Cancel | Relay | Refuse | Probe


class Dispatcher(Protocol):
    """What a routing plug-in provides for each service.

    A plug-in's factory is called as
    `factory(service, servers, daemon, zone, seed, now, charge)` with the
    service's options, its servers, the daemon's name and zone, a seed for its
    random choices, the loop's time, and `charge(now) -> bool`, which takes one
    probe out of the measuring budget and tells whether there was one left.
    """

    def configure(
        self,
        service: options.Service,
        servers: tuple[ServerState, ...],
        now: float,
    ) -> list[Action]:
        """Takes a new bundle or changed servers; keeps what it learned."""

    def submit(self, call: Call, now: float) -> list[Action]:
        """Takes a call: starts it, queues it or refuses it."""

    def attempt_head(
        self, attempt_id: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Takes the answer head, or the failure, of a try."""

    def attempt_done(self, attempt_id: int, now: float) -> list[Action]:
        """Takes the end of a relayed answer; the slot is free."""

    def cancel(self, call_id: int, now: float) -> list[Action]:
        """The caller is gone; cancels or forgets the call."""

    def report(
        self, server: str, report: LoadReport, now: float
    ) -> list[Action]:
        """Takes a report from a probe."""

    def probe_failed(self, server: str, now: float) -> list[Action]:
        """A probe got no answer."""

    def members(self, alive: int, now: float) -> None:
        """Takes the number of daemons believed alive, this one included."""

    def own_load(self, now: float) -> dict[str, float]:
        """Returns this daemon's own calls in flight by server."""

    def tick(self, now: float) -> list[Action]:
        """Does what is due: deadlines, hedges, probes, recovery."""

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
