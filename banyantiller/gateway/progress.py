"""State of a running call."""

import dataclasses

from banyantiller.errors import ErrorKind
from banyantiller.gateway import types


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a running call, from which its log line is built.

    Attributes:
        sends: Number of times that it was sent to a server.
        maybe_ran: Whether a server may have executed it.
        instances: Servers that it was sent to, in order.
        load: Load of the last server when it was selected.
        answered_count: Number of servers that answered the probes of the last
            selection.
        load_age_s: Age of that load when the request was sent, in seconds.
        sent_after_s: Time from its arrival to the last send, in seconds.
        usual_s: Usual duration of the route's requests at the last selection,
            in seconds; it limits how long the call waits for a server.
        peers: Daemons that it was forwarded to, by address, in order.
        decision: How it was treated differently for its cost; see
            `tallies.Tallies.record_precedence`. Empty if it was not.
        error: Kind of the failure that is reported to the caller, or None.
        reason: Why the last attempt failed, or why no server could be chosen;
            empty if neither happened.
        retry_after_s: Time after which the caller may retry, in seconds, or
            None.
    """

    sends: int = 0
    maybe_ran: bool = False
    instances: list[str] = dataclasses.field(default_factory=list)
    load: types.Load | None = None
    answered_count: int = 0
    load_age_s: float = 0.0
    sent_after_s: float = 0.0
    usual_s: float = 0.0
    peers: list[str] = dataclasses.field(default_factory=list)
    decision: str = ""
    error: ErrorKind | None = None
    reason: str = ""
    retry_after_s: float | None = None
