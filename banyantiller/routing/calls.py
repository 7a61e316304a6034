"""State of the calls and attempts that a dispatcher tracks."""

import dataclasses

from banyantiller.errors import ErrorKind
from banyantiller.routing.types import Call
from banyantiller.routing.views import ServerView


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call at one server.

    Attributes:
        attempt_id: Number of the attempt.
        call: Its call.
        view: The server.
        started_at: Loop time at which it started.
        hedge: Whether it is a hedge.
    """

    attempt_id: int
    call: "CallState"
    view: ServerView
    started_at: float
    hedge: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class CallState:
    """One call from submission to its final response.

    Attributes:
        call_id: Number of the call.
        idempotent: Whether it may be run twice.
        deadline: Loop time at which its caller stops waiting.
        replayable: Whether its body can be sent again.
        group: Group of servers that it is assigned to.
        submitted_at: Loop time at which it was submitted.
        running: Attempts that are running.
        tried_servers: Names of the servers that it was sent to.
        attempts: Number of attempts so far.
        ambiguous_failure: Failure of the first attempt that a server may have
            run, or None.
        finished: Whether it has its final response.
    """

    call_id: int
    idempotent: bool
    deadline: float
    replayable: bool
    group: str
    submitted_at: float
    running: list[Attempt] = dataclasses.field(default_factory=list)
    tried_servers: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 0
    ambiguous_failure: ErrorKind | None = None
    finished: bool = False

    @classmethod
    def from_call(cls, call: Call, group: str, now: float) -> "CallState":
        """Creates the state of a submitted call."""
        return cls(
            call.call_id,
            call.idempotent,
            call.deadline,
            call.replayable,
            group,
            now,
        )
