"""What happened to the calls of a replayed dispatcher."""

import dataclasses

from banyantiller.errors import Failure, Ran
from banyantiller.routing import types


@dataclasses.dataclass(slots=True)
class Try:
    """One try of a call.

    Attributes:
        attempt_id: Number that the dispatcher gave it.
        server: Where it was sent.
        started_at: When.
        hedge: Whether another try was running.
        recorded: Server of the try in the recording, or empty.
        result: How it ended, or None while it has not.
        over: Whether it ended or was cancelled.
    """

    attempt_id: int
    server: str
    started_at: float
    hedge: bool
    recorded: str = ""
    result: types.AttemptResult | None = None
    over: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed the request."""
        return self.result is None or self.result.ran is not Ran.NO


@dataclasses.dataclass(slots=True)
class CallRecord:
    """One call.

    Attributes:
        call: What was submitted.
        submitted_at: When.
        tries: Its tries in order.
        answered_at: When its answer was relayed, or None.
        failure: Its failure, or None.
        refused_at: When it failed, or None.
        cancelled: Whether its caller went away.
        endings: How often it got a final outcome.
    """

    call: types.Call
    submitted_at: float
    tries: list[Try] = dataclasses.field(default_factory=list)
    answered_at: float | None = None
    failure: Failure | None = None
    refused_at: float | None = None
    cancelled: bool = False
    endings: int = 0

    @property
    def runs(self) -> int:
        """Tries that may have been executed."""
        return sum(item.may_have_run for item in self.tries)

    @property
    def duration_s(self) -> float | None:
        """Time to the relayed answer, or None without one."""
        if self.answered_at is None:
            return None
        return self.answered_at - self.submitted_at


@dataclasses.dataclass(slots=True)
class CallLog:
    """Everything that happened in a replay.

    Attributes:
        calls: Calls by number.
        probes: Time and server of each probe.
        ended_at: When the replay ended.
    """

    calls: dict[int, CallRecord] = dataclasses.field(default_factory=dict)
    probes: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0

    def between(self, since: float, until: float) -> list[CallRecord]:
        """Returns the calls submitted in a period."""
        return [
            record
            for record in self.calls.values()
            if since <= record.submitted_at <= until
        ]

    def all_tries(self) -> list[Try]:
        """Returns the tries of all calls."""
        return [item for call in self.calls.values() for item in call.tries]
