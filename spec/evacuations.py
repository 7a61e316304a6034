"""A daemon learns that an availability zone is evacuated, and leaves it alone.

The store holds an entry for the zone while it is evacuated; each change has a
revision. A daemon starts knowing nothing. It takes lists, told by the store or
by another daemon that may be behind, and single changes, which may come late
and twice. A request chooses a server of the zone and is sent once a connection
is open, with any of these in between.

That a change reaches a running daemon within the bound is the matter of the
mirror's specification. Here the bound passes only after the daemon was told the
latest change, whatever it made of it, or while it knows nothing. A list that a
daemon takes is younger than the bound, so that it shows what is overdue.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps

REVISIONS = 4


class Change(NamedTuple):
    """One change of the zone's entry.

    Attributes:
        present: Whether there is an entry after it.
        readable: Whether its content can be read.
    """

    present: bool
    readable: bool = True


class Daemon(NamedTuple):
    """What a daemon believes.

    Attributes:
        known: Whether it has listed the entries.
        evacuated: Whether it takes the zone for evacuated.
        revision: Revision of the last change that it took.
        told: Latest revision that it was told.
        chosen: Whether a request has chosen a server of the zone and waits for
            a connection.
    """

    known: bool = False
    evacuated: bool = False
    revision: int = 0
    told: int = 0
    chosen: bool = False


class State(NamedTuple):
    """State of the store and of a daemon.

    Attributes:
        history: All changes of the entry; revisions count from 1.
        daemon: The daemon.
        overdue: Whether the bound has passed since the zone was evacuated.
        reverted: Whether the daemon went back to an older revision.
        sent_late: Whether a request was sent there after the bound.
        sent_unknowing: Whether one was sent before the entries were listed.
    """

    history: tuple[Change, ...] = ()
    daemon: Daemon = Daemon()
    overdue: bool = False
    reverted: bool = False
    sent_late: bool = False
    sent_unknowing: bool = False


def store_steps(state: State) -> list[Step]:
    """Lists how the entry may change, and how time may pass."""
    steps = []
    if len(state.history) < REVISIONS:
        present = bool(state.history) and state.history[-1].present
        changes = [Change(False)] if present else [
            Change(True), Change(True, readable=False)
        ]  # fmt: skip
        steps = [
            (
                _label(change),
                state._replace(history=(*state.history, change), overdue=False),
            )
            for change in changes
        ]
    if _bound_may_pass(state):
        steps.append(("bound_passes", state._replace(overdue=True)))
    return steps


def _label(change: Change) -> str:
    if not change.present:
        return "give_back"
    return "evacuate" if change.readable else "evacuate_unreadably"


def _bound_may_pass(state: State) -> bool:
    if not state.history or not state.history[-1].present:
        return False
    told = state.daemon.told == len(state.history)
    return told or not state.daemon.known


def daemon_steps(state: State, variant: str) -> list[Step]:
    """Lists what the daemon may do."""
    daemon = state.daemon
    latest = len(state.history)
    first = daemon.revision if daemon.known else 0
    if state.overdue and variant != "list_of_any_age":
        first = latest
    steps = [
        (f"list({at})", _take_list(state, at, variant))
        for at in range(first, latest + 1)
    ]
    if not daemon.known and variant != "sends_before_listing":
        return steps
    if daemon.known:
        steps.append(("restart", state._replace(daemon=Daemon())))
        steps += [
            (f"change({at})", _take_change(state, at, variant))
            for at in range(1, latest + 1)
        ]
    if not daemon.evacuated:
        chosen = daemon._replace(chosen=True)
        steps.append(("choose", state._replace(daemon=chosen)))
    if daemon.chosen:
        steps.append(("send_or_drop", _send(state, variant)))
    return steps


def _take_list(state: State, at: int, variant: str) -> State:
    change = state.history[at - 1] if at else Change(False)
    ignored = variant == "unreadable_entry_is_ignored" and not change.readable
    evacuated = change.present and not ignored
    daemon = state.daemon._replace(
        known=True,
        evacuated=evacuated,
        revision=at,
        told=max(at, state.daemon.told),
    )
    return state._replace(daemon=daemon)


def _take_change(state: State, at: int, variant: str) -> State:
    change = state.history[at - 1]
    daemon = state.daemon._replace(told=max(at, state.daemon.told))
    older = at < daemon.revision
    skipped = older and variant != "late_change_counts"
    if variant == "unreadable_entry_is_ignored" and not change.readable:
        skipped = True
    if not skipped:
        daemon = daemon._replace(evacuated=change.present, revision=at)
    reverted = state.reverted or (older and not skipped)
    return state._replace(daemon=daemon, reverted=reverted)


def _send(state: State, variant: str) -> State:
    """Sends the request, or drops it if the zone was evacuated meanwhile."""
    daemon = state.daemon._replace(chosen=False)
    checked = variant != "no_check_before_sending"
    if checked and daemon.evacuated:
        return state._replace(daemon=daemon)
    return state._replace(
        daemon=daemon,
        sent_late=state.sent_late or (state.overdue and daemon.known),
        sent_unknowing=state.sent_unknowing or not daemon.known,
    )


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        return store_steps(state) + daemon_steps(state, variant)

    return steps


EVACUATIONS = Specification(
    name="evacuations",
    bounds={"revisions": REVISIONS, "daemons": 1, "requests": 1},
    initial=State(),
    steps=steps_of,
    properties={
        "nothing_sent_after_bound": lambda state: not state.sent_late,
        "nothing_sent_unknowing": lambda state: not state.sent_unknowing,
        "never_goes_back": lambda state: not state.reverted,
    },
    broken=(
        Broken(
            "no_check_before_sending",
            "nothing_sent_after_bound",
            "A request is sent although the zone was evacuated meanwhile.",
        ),
        Broken(
            "unreadable_entry_is_ignored",
            "nothing_sent_after_bound",
            "An entry whose content can't be read does not count.",
        ),
        Broken(
            "list_of_any_age",
            "nothing_sent_after_bound",
            "A daemon that starts takes a list that is older than the bound.",
        ),
        Broken(
            "sends_before_listing",
            "nothing_sent_unknowing",
            "A daemon that starts sends before it has listed the entries.",
        ),
        Broken(
            "late_change_counts",
            "never_goes_back",
            "A change that arrives late replaces a later one.",
        ),
    ),
)
