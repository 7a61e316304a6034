"""How far a call has come."""

import dataclasses

from banyantiller.errors import ErrorKind
from banyantiller.gateway import types


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a call has come; its log line is made from this.

    Attributes:
        sends: Servers that it was sent to.
        maybe_ran: Whether an earlier server may have executed it.
        instances: Servers that it was sent to, in order.
        load: Load of the last one when it was chosen.
        answered_count: Servers that it was chosen from.
        load_age_s: Age of that load at sending, in seconds.
        sent_after_s: Time from its arrival to its last sending, in seconds.
        usual_s: Usual duration of its route's requests when a server was
            looked for, in seconds; how long it waited depends on it.
        error: Kind of the failure that the caller is told, or None.
        reason: Why the last try failed, or empty.
    """

    sends: int = 0
    maybe_ran: bool = False
    instances: list[str] = dataclasses.field(default_factory=list)
    load: types.Load | None = None
    answered_count: int = 0
    load_age_s: float = 0.0
    sent_after_s: float = 0.0
    usual_s: float = 0.0
    error: ErrorKind | None = None
    reason: str = ""
