"""Inputs of a trace that drives a dispatcher.

Tries are named by their call and their number within the call, so that a
trace still fits after a change that starts them in another order.
"""

from typing import NamedTuple

from banyantiller.bundle import options
from banyantiller.errors import ERROR_RESPONSES, ErrorKind, Ran
from banyantiller.routing import types


class Header(NamedTuple):
    """Fields of the header that make the dispatcher.

    Attributes:
        trace: Version of the format.
        core: "dispatcher".
        service: Options of the service.
        servers: Its servers.
        about: What the trace shows.
        daemon: Name of the daemon.
        zone: Availability zone of the daemon.
        seed: Seed of its random choices.
        start: Time at which it is made.
        probe_every_s: Least time between probes of this daemon where no
            charge was recorded; 0 allows none.
    """

    trace: int
    core: str
    service: options.Service
    servers: tuple[types.ServerState, ...]
    about: str = ""
    daemon: str = "d1"
    zone: str = ""
    seed: int = 0
    start: float = 0.0
    probe_every_s: float = 0.0


class Calls(NamedTuple):
    """Several calls at regular times, submitted from `t` on.

    Attributes:
        first: Number of the first call.
        count: How many.
        every_s: Time between two.
        idempotent: Whether they may be run twice.
        patience_s: Time from each call to its deadline.
        replayable: Whether their bodies can be sent again.
    """

    first: int
    count: int
    every_s: float
    idempotent: bool = True
    patience_s: float = 5.0
    replayable: bool = True


class Report(NamedTuple):
    """Load told on an answer; see `routing.types.LoadReport`."""

    in_flight: float
    age_s: float = 0.0
    draining: bool = False
    source: str = "answer"

    def load(self) -> types.LoadReport:
        """Returns the dispatcher's form."""
        return types.LoadReport(*self)


class Head(NamedTuple):
    """The recorded answer head, or failure, of a try.

    Attributes:
        call: Number of the call.
        attempt: Number of the try within the call, from 1.
        server: Server of the try when it was recorded.
        ok: Whether there is an answer that may be relayed.
        ran: "no", "unknown" or "yes".
        error: Kind of the failure, or empty.
        status: Status of the answer head, 0 without one.
        report: Load told on the answer, or None.
        retry_after_s: `Retry-After` of the answer, or None.
        replayable: Whether the request can still be sent again.
    """

    call: int
    attempt: int
    server: str
    ok: bool
    ran: str
    error: str = ""
    status: int = 0
    report: Report | None = None
    retry_after_s: float | None = None
    replayable: bool = True

    def result(self) -> types.AttemptResult:
        """Returns the dispatcher's form.

        Raises:
            ValueError: A name is not known.
        """
        return types.AttemptResult(
            self.ok,
            Ran(self.ran),
            ErrorKind(self.error) if self.error else None,
            self.status,
            self.report.load() if self.report else None,
            self.retry_after_s,
            self.replayable,
        )


class Done(NamedTuple):
    """The recorded end of a relayed answer."""

    call: int
    attempt: int


class Cancel(NamedTuple):
    """The caller of a call is gone."""

    call: int


class Reported(NamedTuple):
    """A load report from a probe or a peer."""

    server: str
    in_flight: float
    age_s: float = 0.0
    draining: bool = False
    source: str = "probe"


class ProbeFailed(NamedTuple):
    """A probe got no answer."""

    server: str


class Members(NamedTuple):
    """The number of daemons believed alive."""

    alive: int


class Configure(NamedTuple):
    """Changed options or servers."""

    service: options.Service
    servers: tuple[types.ServerState, ...]


class Tick(NamedTuple):
    """The driver's timer came due."""


class Charged(NamedTuple):
    """Whether the measuring budget had a probe left when it was asked."""

    granted: bool


class Behaves(NamedTuple):
    """How a server answers tries and probes that reach it from now on.

    Attributes:
        server: Name of the server.
        answer_s: Time to the answer head, or to the failure.
        body_s: Time from the head to the end of the answer.
        status: Status of the answer.
        error: Kind of the failure, or empty for an answer.
        ran: Whether it ran a request that fails; empty takes the table's.
        silent: Whether it never answers.
        in_flight: Load that it tells, below 0 for none.
        age_s: Age of that figure.
        draining: Whether it says that it is leaving.
        retry_after_s: `Retry-After` of its answers, or None.
        slots: Requests that it runs at once, the others wait on it; 0 for
            any number. A try that is cancelled keeps its slot.
    """

    server: str
    answer_s: float = 0.02
    body_s: float = 0.0
    status: int = 200
    error: str = ""
    ran: str = ""
    silent: bool = False
    in_flight: float = -1.0
    age_s: float = 0.0
    draining: bool = False
    retry_after_s: float | None = None
    slots: int = 0

    def result(self) -> types.AttemptResult:
        """Returns how a try ends."""
        if self.error:
            kind = ErrorKind(self.error)
            ran = Ran(self.ran) if self.ran else ERROR_RESPONSES[kind].ran
            return types.AttemptResult(
                False, ran, kind, retry_after_s=self.retry_after_s
            )
        return types.AttemptResult(
            True,
            Ran.YES,
            status=self.status,
            report=self.load("answer"),
            retry_after_s=self.retry_after_s,
        )

    def load(self, source: str) -> types.LoadReport | None:
        """Returns the load that the server tells."""
        if self.in_flight < 0 and not self.draining:
            return None
        return types.LoadReport(
            max(self.in_flight, 0.0), self.age_s, self.draining, source
        )


class Submit(NamedTuple):
    """One call; see `routing.types.Call`."""

    call: int
    idempotent: bool
    deadline: float
    replayable: bool = True


class Truncated(NamedTuple):
    """The recording reached its bound here."""


INPUTS: dict[str, type] = {
    "submit": Submit,
    "calls": Calls,
    "head": Head,
    "done": Done,
    "cancel": Cancel,
    "report": Reported,
    "probe_failed": ProbeFailed,
    "members": Members,
    "configure": Configure,
    "tick": Tick,
    "charged": Charged,
    "behaves": Behaves,
    "truncated": Truncated,
}
NAMES = {kind: name for name, kind in INPUTS.items()}
