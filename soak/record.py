"""What callers, servers and the run itself saw, as the checks read it."""

import dataclasses
from typing import NamedTuple

OK = 200
NOT_FOUND = 404
READ = "read"
FILE = "file"
# A request that ends each server which runs it.
ENDING = "ending"
# How an attempt ended at its caller.
ANSWERED = "answered"
CLOSED = "closed"
CUT_SHORT = "cut short"
LEFT = "left"
UNANSWERED = "unanswered"
# What was disturbed.
PROCESS = "process"
RESTART = "orderly restart"
CALLER_LINK = "caller link"
STORE_LINK = "store link"
CONTROL_LINK = "control link"
SERVER_LINK = "server link"
PARTITION = "links to all servers"
STORE = "store"
LAG = "lag of the soak itself"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request as its caller saw it; times are loop times in seconds.

    Attributes:
        request_id: Its identity.
        kind: `READ` and `ENDING` may be executed again, `FILE` must not.
        version: Version of the document that has its route; 0 for all.
        daemon: Number of the daemon that it was sent to.
        life: How often that daemon had been started.
        sent_at: When it was sent.
        limit_s: Time after which it must have been answered.
        status: Status of the answer, or 0.
        body: Body of the answer.
        signature: Mark of the server on the answer, or empty.
        ended_at: When it ended.
        end: How it ended.
        organisation: Organisation whose key it showed; empty for none.
    """

    request_id: str
    kind: str
    version: int
    daemon: int
    life: int
    sent_at: float
    limit_s: float
    status: int = 0
    body: bytes = b""
    signature: str = ""
    ended_at: float = 0.0
    end: str = UNANSWERED
    organisation: str = ""


class KeyedAttempt(NamedTuple):
    """A request with a key that was taken away, or of a limited organisation.

    Attributes:
        request_id: Its identity.
        organisation: Organisation that it may run for; empty for none.
        key: The key that it shows.
        removed_at: When the store acknowledged that the key is gone, or 0.
        sent_at: When it was sent.
    """

    request_id: str
    organisation: str
    key: str
    removed_at: float
    sent_at: float


class Arrival(NamedTuple):
    """A request that reached a server.

    Attributes:
        at: Loop time.
        request_id: Identity of the request.
        instance: Identity of the server's start.
        executed: Whether the server began to work on it.
        misdirected: Whether it was meant for another instance.
        target: Its path and query.
        retry_after_s: `Retry-After` of its refusal, in seconds; 0 for none.
        start: Number of the server's start; another start may have the same
            identity.
        sender: Number of the daemon that sent it, which need not be the one
            that the caller sent it to.
        organisation: Organisation that the server was told.
        shows_key: Whether the server got a key.
    """

    at: float
    request_id: str
    instance: str
    executed: bool
    misdirected: bool
    target: str = ""
    retry_after_s: float = 0.0
    start: int = 0
    sender: int = 0
    organisation: str = ""
    shows_key: bool = False


class ServerEnd(NamedTuple):
    """A server ended under a request.

    Attributes:
        at: Loop time.
        target: Path and query of the request.
    """

    at: float
    target: str


class Disturbance(NamedTuple):
    """A fault as far as it excuses a late action.

    Attributes:
        began: Loop time of its begin.
        ended: Loop time of its end.
        what: What was disturbed.
        daemon: Number of the daemon, or None for all.
    """

    began: float
    ended: float
    what: str
    daemon: int | None


class Leaving(NamedTuple):
    """A server whose leaving the store acknowledged."""

    at: float
    instance: str


class StatedLeaving(NamedTuple):
    """A server that states its shutdown in its responses from a time on."""

    at: float
    instance: str


class Evacuation(NamedTuple):
    """An availability zone that was to get nothing for a while.

    Attributes:
        zone: The zone.
        began: Loop time at which the store acknowledged it.
        ended: Loop time at which it was given back.
    """

    zone: str
    began: float
    ended: float


class NamedLimit(NamedTuple):
    """A limit that a server named in its answers for a while.

    Attributes:
        instance: Identity of the server's start.
        per_s: Requests a second that it takes from all daemons.
        began: Loop time of the first answer that may have named it.
        ended: Loop time of the last one.
    """

    instance: str
    per_s: float
    began: float
    ended: float


class Acceptance(NamedTuple):
    """A version of the document that the store acknowledged."""

    at: float
    version: int


class Exit(NamedTuple):
    """The end of a daemon's process.

    Attributes:
        daemon: Number of the daemon.
        life: How often it had been started.
        asked_at: Loop time of the SIGTERM, or None if it was not told to end.
        at: Loop time of its end.
        status: Exit status.
        listened: Whether it had ever listened.
    """

    daemon: int
    life: int
    asked_at: float | None
    at: float
    status: int
    listened: bool = True


class Bounds(NamedTuple):
    """What was promised; times in seconds.

    Attributes:
        contact_s: Time without a fault after which time limits hold again.
        drain_s: Longest time that a leaving server gets new requests.
        evacuate_s: Longest time that an evacuated zone gets new requests.
        grace_s: Longest time from SIGTERM to the process's end.
        apply_s: Longest time from acceptance until a version is in force.
        late_s: Longest time past its limit that a request may be held.
        retry_ratio: Repeated sends for each request.
        retry_extra: Repeated sends in a window besides.
        window_s: Window of repeated sends.
        most_servers: Most servers that may execute one request.
        ended_servers: Servers that may end under one request before all
            daemons have to know it, `contact_s` later.
        later_arrivals: How often it may reach servers after that.
        limit_window_s: Window of the requests at a server that named a limit.
        limit_tolerance: What it may get, as a multiple of its limit.
        limit_extra: Requests that it may get in a window besides.
        limit_told_s: Time after which a limit binds the daemon that was told.
        backoff_told_s: Time after which a backoff binds the daemon that was
            told.
        backoff_arrivals: Requests that a server may get from a daemon after
            that until the backoff ends.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    evacuate_s: float = 5.0
    grace_s: float = 6.0
    apply_s: float = 2.0
    late_s: float = 0.5
    retry_ratio: float = 0.2
    retry_extra: float = 24.0
    window_s: float = 10.0
    most_servers: int = 2
    ended_servers: int = 3
    later_arrivals: int = 3
    limit_window_s: float = 4.0
    limit_tolerance: float = 1.5
    limit_extra: float = 5.0
    limit_told_s: float = 0.5
    backoff_told_s: float = 0.5
    backoff_arrivals: int = 2


@dataclasses.dataclass
class Record:
    """Everything that was seen in one run.

    Attributes:
        zones: Availability zone of each start of a server, by its identity.
    """

    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    keyed_attempts: list[KeyedAttempt] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    leavings: list[Leaving] = dataclasses.field(default_factory=list)
    stated_leavings: list[StatedLeaving] = dataclasses.field(
        default_factory=list
    )
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    limits: list[NamedLimit] = dataclasses.field(default_factory=list)
    acceptances: list[Acceptance] = dataclasses.field(default_factory=list)
    ends: list[ServerEnd] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)
    log_errors: list[str] = dataclasses.field(default_factory=list)
    calm_from: float = 0.0


class Finding(NamedTuple):
    """A promise that was not kept.

    Attributes:
        promise: Its name.
        text: What was seen.
        ids: Requests that show it.
    """

    promise: str
    text: str
    ids: tuple[str, ...] = ()
