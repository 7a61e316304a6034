"""Claim of one idempotency key by conditional writes, over several daemons.

Each try of the caller reaches a daemon, at any time and side by side. The
key's record in the store holds the try that owns it and a state. A try
creates the record, or takes a released one over by conditional update; it
sends the request to a backend server only when its claim was granted. After
a lost answer it reads back, and nothing but its own nonce grants. What a
try leaves behind is settled in the background: a claim that was not sent is
released, also when nobody knows whether it took effect, and one that was
sent is ended. A try that finds a claim which nobody ended in time fences it
by a conditional write before it is told, for good, that the outcome is
unknown; the release of a fenced claim ends it instead. Time is not modelled,
so a claim may be fenced at any moment, which also stands for fences that take
effect late. The key alone names the record, whatever bundle a daemon runs.
Every answer of the store can be lost before or after the write took effect,
an abandoned write may take effect later, reads may be stale, and a daemon may
be paused for any time between two steps. A daemon that is killed is one that
takes no further step.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps, put

TRIES = 3
LATE_WRITES = 1
WRITES = 4

CLAIMED = "claimed"
RELEASED = "released"
FENCED = "fenced"
ENDED = "ended"

IDLE = "idle"
SENT = "sent"
READING = "reading"
GRANTED = "granted"
SENT_ON = "sent_on"
NOT_RUN = "not_run"
REPEATED = "repeated"

NOBODY = -1
UNREAD = -1


class Record(NamedTuple):
    """The key's record in the store.

    Attributes:
        revision: Counts its writes; 0 while it does not exist.
        owner: Try whose nonce it holds.
        state: What it says of the owner's claim.
    """

    revision: int = 0
    owner: int = NOBODY
    state: str = ""


class Try(NamedTuple):
    """One try of the caller.

    Attributes:
        phase: Where it is; `SENT_ON` once a server got it, `NOT_RUN` and
            `REPEATED` are what the caller was told.
        base: Revision on which its claim is conditional.
        runs: How often a backend server ran the request for it.
        late: Abandoned claims that may still take effect, by revision.
        end: State that its claim is to get in the background, or empty.
        end_base: Revision that was read for that, or `UNREAD`.
    """

    phase: str = IDLE
    base: int = 0
    runs: int = 0
    late: frozenset[int] = frozenset()
    end: str = ""
    end_base: int = UNREAD


class State(NamedTuple):
    """State of the key's record and of all tries.

    Attributes:
        record: The record.
        tries: All tries.
        unknown: Whether a caller was told, for good, that the outcome of the
            key is unknown.
    """

    record: Record = Record()
    tries: tuple[Try, ...] = (Try(),) * TRIES
    unknown: bool = False


def with_try(state: State, index: int, **changes: object) -> State:
    """Returns the state with one try changed."""
    changed = state.tries[index]._replace(**changes)
    return state._replace(tries=put(state.tries, index, changed))


def write(state: State, index: int, base: int, said: str) -> State | None:
    """Lets a write reach the store; None when its condition fails."""
    if state.record.revision != base or base == WRITES:
        return None
    return state._replace(record=Record(base + 1, index, said))


def is_known_unsent(state: State) -> bool:
    """Tells whether the daemon of the record's owner knows it was not sent.

    Another try that reaches the same daemon may then claim the record.
    """
    owner = state.tries[state.record.owner]
    is_unsent = owner.phase == NOT_RUN and owner.end == RELEASED
    return state.record.state == CLAIMED and is_unsent


def reading_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists how a try goes on from the record as it is, or as it was."""
    record = state.record
    told = with_try(state, index, phase=REPEATED, end=RELEASED)
    steps = [(f"tell_repeated({index})", told)]
    may_tell = variant == "unknown_without_fence" and record.state == CLAIMED
    if record.state == FENCED or (may_tell and record.owner != index):
        unknown = told._replace(unknown=True)
        steps.append((f"tell_unknown({index})", unknown))
    # A stale read may show the own claim as it was before its fence.
    is_own = record.owner == index and record.state in (CLAIMED, FENCED)
    if is_own or (record.revision and variant == "read_back_without_nonce"):
        granted = with_try(state, index, phase=GRANTED)
        # Before its own claim there may have been one of another try.
        stale = steps if record.revision > 1 else []
        return [(f"grant({index})", granted), *stale]
    claims = with_try(state, index, phase=SENT, base=record.revision)
    again = [(f"claim_again({index})", claims)]
    if not record.revision:
        return again
    if record.state == RELEASED or is_known_unsent(state):
        return steps + again
    return steps + (again if variant == "lease_expiry_grants" else [])


def sent_steps(state: State, index: int) -> list[Step]:
    """Lists what can become of a claim that was sent."""
    item = state.tries[index]
    unsure = with_try(state, index, phase=READING)
    steps = [(f"fail({index})", unsure)]
    landed = write(state, index, item.base, CLAIMED)
    if landed is not None:
        lost = with_try(landed, index, phase=READING)
        steps.append((f"claim({index})", lost))
    if sum(len(other.late) for other in state.tries) < LATE_WRITES:
        late = with_try(unsure, index, late=item.late | {item.base})
        steps.append((f"time_out({index})", late))
    return steps


def claiming_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps of a try up to its grant or its refusal."""
    phase = state.tries[index].phase
    gives_up = with_try(state, index, phase=NOT_RUN, end=RELEASED)
    steps = [(f"tell_not_run({index})", gives_up)]
    if phase == SENT:
        return steps + sent_steps(state, index)
    if variant == "claim_without_read_back":
        granted = with_try(state, index, phase=GRANTED)
        return steps + [(f"assume_granted({index})", granted)]
    return steps + reading_steps(state, index, variant)


def granted_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists what a daemon does with a granted claim."""
    runs = state.tries[index].runs + 1
    end = RELEASED if variant == "release_after_send" else ENDED
    ran = with_try(state, index, phase=SENT_ON, runs=runs, end=end)
    unsent = with_try(state, index, phase=NOT_RUN, end=RELEASED)
    return [(f"run({index})", ran), (f"tell_not_run({index})", unsent)]


def is_settled(state: State, index: int) -> bool:
    """Tells whether the record needs no end of a try's claim any more.

    A record released by another try is written once more, as a late claim
    may be conditional on just that revision.
    """
    record = state.record
    if not record.revision:
        return False
    if record.owner == index:
        return record.state not in (CLAIMED, FENCED)
    both = record.state == state.tries[index].end == RELEASED
    return not both


def settling_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists how the end of a claim is written in the background."""
    item = state.tries[index]
    if not item.end:
        return []
    if item.end_base == UNREAD:
        if is_settled(state, index):
            done = with_try(state, index, end="")
            return [(f"settled({index})", done)]
        revision = state.record.revision
        seen = with_try(state, index, end_base=revision)
        return [(f"read_to_settle({index})", seen)]
    again = with_try(state, index, end_base=UNREAD)
    base = item.end_base
    if variant == "release_without_condition":
        base = state.record.revision
    is_fenced = state.record.state == FENCED
    said = (
        ENDED if is_fenced and variant != "release_undoes_fence" else item.end
    )
    landed = write(state, index, base, said)
    steps = [(f"settle_fails({index})", again)]
    if landed is not None:
        done = with_try(landed, index, end="", end_base=UNREAD)
        lost = with_try(landed, index, end_base=UNREAD)
        steps.append((f"{said}({index})", done))
        steps.append((f"{said}({index})", lost))
    return steps


def fence_steps(state: State) -> list[Step]:
    """Lists the fence of the present claim by whoever reads it."""
    record = state.record
    if record.state != CLAIMED:
        return []
    landed = write(state, record.owner, record.revision, FENCED)
    return [(f"fenced({record.owner})", landed)] if landed else []


def late_steps(state: State, index: int) -> list[Step]:
    """Lists abandoned claims that take effect late, or never."""
    steps: list[Step] = []
    late = state.tries[index].late
    for base in sorted(late):
        dropped = with_try(state, index, late=late - {base})
        landed = write(dropped, index, base, CLAIMED)
        if landed is not None:
            steps.append((f"claim({index})", landed))
        else:
            steps.append((f"late_claim_conflicts({index})", dropped))
    return steps


def phase_steps(state: State, index: int, variant: str) -> list[Step]:
    """Lists the steps that the phase of a try allows."""
    phase = state.tries[index].phase
    if phase == IDLE:
        if index and state.tries[index - 1].phase == IDLE:
            return []
        return [(f"send({index})", with_try(state, index, phase=SENT))]
    if phase in (SENT, READING):
        return claiming_steps(state, index, variant)
    if phase == GRANTED:
        return granted_steps(state, index, variant)
    if phase == SENT_ON and variant == "not_run_after_send":
        told = with_try(state, index, phase=NOT_RUN)
        return [(f"tell_not_run({index})", told)]
    return []


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        found: list[Step] = []
        for index in range(len(state.tries)):
            found += phase_steps(state, index, variant)
            found += settling_steps(state, index, variant)
            found += late_steps(state, index)
        return found + fence_steps(state)

    return steps


def runs_at_most_once(state: State) -> bool:
    """The backend servers run the request at most once."""
    return sum(item.runs for item in state.tries) <= 1


def told_not_run_was_not_run(state: State) -> bool:
    """A try that is told "not run" was not run."""
    return not any(item.phase == NOT_RUN and item.runs for item in state.tries)


def granted_to_one(state: State) -> bool:
    """At most one try holds the right to run, or has used it."""
    holders = [item for item in state.tries if item.phase in (GRANTED, SENT_ON)]
    return len(holders) <= 1


def told_unknown_is_final(state: State) -> bool:
    """A key whose outcome was told as unknown can't be claimed again."""
    return not state.unknown or state.record.state in (FENCED, ENDED)


CLAIMS = Specification(
    name="claims",
    bounds={
        "keys": 1,
        "tries": TRIES,
        "late_writes_at_once": LATE_WRITES,
        "writes": WRITES,
    },
    initial=State(),
    steps=steps_of,
    properties={
        "runs_at_most_once": runs_at_most_once,
        "told_not_run_was_not_run": told_not_run_was_not_run,
        "granted_to_one": granted_to_one,
        "told_unknown_is_final": told_unknown_is_final,
    },
    broken=(
        Broken(
            "claim_without_read_back",
            "runs_at_most_once",
            "A lost answer of a claim counts as granted.",
        ),
        Broken(
            "read_back_without_nonce",
            "granted_to_one",
            "Any record that is read back counts as the try's own.",
        ),
        Broken(
            "release_after_send",
            "runs_at_most_once",
            "A claim is given back though bytes reached a server.",
        ),
        Broken(
            "release_without_condition",
            "granted_to_one",
            "A release is written though the record has changed.",
        ),
        Broken(
            "lease_expiry_grants",
            "runs_at_most_once",
            "A claim whose holder is paused is granted to another.",
        ),
        Broken(
            "not_run_after_send",
            "told_not_run_was_not_run",
            "A failure after the first byte is told as not run.",
        ),
        Broken(
            "unknown_without_fence",
            "told_unknown_is_final",
            "An outcome is told as unknown while its claim may be released.",
        ),
        Broken(
            "release_undoes_fence",
            "told_unknown_is_final",
            "A release is written over a fenced claim.",
        ),
    ),
)
