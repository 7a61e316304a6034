"""A daemon learns of the store from another one, and from the store itself.

The store holds objects that are put and removed; each change has a revision.
The daemon that is asked has listed all objects once and then reads changes in
batches, of which it keeps the latest; it may restart. It may itself learn from
a third one, and so be at any revision up to the store's. The daemon that asks
names the revision up to which it has seen everything. It gets all batches that
end later, also one that begins before its revision, or is told that too little
is kept, and then lists anew: what the other one knows, if that is not older
than what it has seen. It may read the store at any time, and restart.

If the store has lost its history, the daemon that is asked lists all objects
again and keeps the difference in place of the changes. What came and went in
between is missing there, so it answers only those that know nothing of that
time.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps

REVISIONS = 4
KEPT = 1
NAMES = ("a", "b")

# A name and the revision that put it.
View = frozenset[tuple[str, int]]


class Event(NamedTuple):
    """One change of the store.

    Attributes:
        name: Object that was changed.
        removed: Whether it was removed.
    """

    name: str
    removed: bool


class Asked(NamedTuple):
    """The daemon that is asked.

    Attributes:
        known: Whether it has listed the objects.
        oldest: Revision from which it knows changes.
        begins: Revision at which its only kept batch begins.
        version: Revision up to which it has read.
        kept: Number of batches that it keeps.
        bridged: Whether the kept batch is the difference of two lists.
    """

    known: bool = False
    oldest: int = 0
    begins: int = 0
    version: int = 0
    kept: int = 0
    bridged: bool = False


class Asking(NamedTuple):
    """The daemon that asks.

    Attributes:
        known: Whether it has any state.
        version: Revision up to which it has seen everything.
        view: Objects that it believes to exist.
    """

    known: bool = False
    version: int = 0
    view: View = frozenset()


class State(NamedTuple):
    """State of the store and both daemons.

    Attributes:
        history: All changes; the revision of one is its place from 1 on.
        asked: The daemon that is asked.
        asking: The daemon that asks.
        reverted: Whether that went back to an older revision in one life.
    """

    history: tuple[Event, ...] = ()
    asked: Asked = Asked()
    asking: Asking = Asking()
    reverted: bool = False


def apply(
    view: View, history: tuple[Event, ...], begins: int, ends: int
) -> View:
    """Applies the changes after one revision and up to another."""
    objects = dict(view)
    for revision in range(begins + 1, ends + 1):
        event = history[revision - 1]
        if event.removed:
            objects.pop(event.name, None)
        else:
            objects[event.name] = revision
    return frozenset(objects.items())


def content(history: tuple[Event, ...], revision: int) -> View:
    """Returns the objects that existed at a revision."""
    return apply(frozenset(), history, 0, revision)


def store_steps(state: State) -> list[Step]:
    """Lists how the store may change."""
    if len(state.history) == REVISIONS:
        return []
    events = [Event(name, False) for name in NAMES]
    events.append(Event(NAMES[0], True))
    return [
        (
            f"{'remove' if event.removed else 'put'}({event.name})",
            state._replace(history=(*state.history, event)),
        )
        for event in events
    ]


def asked_steps(state: State, variant: str) -> list[Step]:
    """Lists what the daemon that is asked may do."""
    asked = state.asked
    now = len(state.history)
    if not asked.known:
        return [
            (f"list({at})", state._replace(asked=Asked(True, at, at, at)))
            for at in range(now + 1)
        ]
    steps = [("restart_asked", state._replace(asked=Asked()))]
    oldest = asked.oldest
    if asked.kept == KEPT and variant != "dropped_batch_is_forgotten":
        oldest = asked.version
    for at in range(asked.version + 1, now + 1):
        read = Asked(True, oldest, asked.version, at, KEPT)
        steps.append((f"read({at})", state._replace(asked=read)))
        bridge = read._replace(bridged=True)
        steps.append((f"relist({at})", state._replace(asked=bridge)))
    return steps


def asking_steps(state: State, variant: str) -> list[Step]:
    """Lists what the daemon that asks may do."""
    now = len(state.history)
    asking = state.asking
    direct = Asking(True, now, content(state.history, now))
    steps = [("read_store", _learn(state, direct))]
    if asking.known:
        steps.append(("restart_asking", state._replace(asking=Asking())))
    if not state.asked.known:
        return steps
    if not asking.known:
        told = content(state.history, state.asked.version)
        start = Asking(True, state.asked.version, told)
        return [*steps, ("start_from_asked", _learn(state, start))]
    if _is_told_all(state, variant):
        steps.append(("ask", _learn(state, _answer(state, variant))))
    newer = state.asked.version >= asking.version
    if newer or variant == "list_that_is_older":
        told = content(state.history, state.asked.version)
        listed = Asking(True, state.asked.version, told)
        steps.append(("list_from_asked", _learn(state, listed)))
    return steps


def _is_told_all(state: State, variant: str) -> bool:
    """Tells whether the daemon that is asked knows all that is missing."""
    asked = state.asked
    version = state.asking.version
    if version < asked.oldest:
        return False
    if variant == "difference_for_any_version" or not asked.bridged:
        return True
    return not asked.begins < version < asked.version


def _answer(state: State, variant: str) -> Asking:
    asked = state.asked
    asking = state.asking
    view = asking.view
    begins = asked.begins
    if variant == "batches_that_begin_later":
        begins = max(begins, asking.version)
        if asked.begins < asking.version:
            return asking._replace(version=max(asking.version, asked.version))
    if asked.version > asking.version and asked.kept:
        if asked.bridged:
            view = _bridge(view, state.history, begins, asked.version)
        else:
            view = apply(view, state.history, begins, asked.version)
    version = max(asking.version, asked.version)
    if variant == "answer_names_its_own_version":
        version = asked.version
    return Asking(True, version, view)


def _bridge(
    view: View, history: tuple[Event, ...], begins: int, ends: int
) -> View:
    """Applies the difference between the objects at two revisions."""
    before = dict(content(history, begins))
    after = dict(content(history, ends))
    objects = {n: r for n, r in view if n in after or n not in before}
    objects |= {n: r for n, r in after.items() if before.get(n) != r}
    return frozenset(objects.items())


def _learn(state: State, after: Asking) -> State:
    before = state.asking
    back = before.known and after.version < before.version
    return state._replace(asking=after, reverted=state.reverted or back)


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        return [
            *store_steps(state),
            *asked_steps(state, variant),
            *asking_steps(state, variant),
        ]

    return steps


def no_change_is_missed(state: State) -> bool:
    """A daemon believes what the store held at the daemon's revision."""
    asking = state.asking
    if not asking.known:
        return True
    return asking.view == content(state.history, asking.version)


def never_goes_back(state: State) -> bool:
    """A daemon never goes back to an older revision in one life."""
    return not state.reverted


MIRROR = Specification(
    name="mirror",
    bounds={"revisions": REVISIONS, "objects": len(NAMES), "kept": KEPT},
    initial=State(),
    steps=steps_of,
    properties={
        "no_change_is_missed": no_change_is_missed,
        "never_goes_back": never_goes_back,
    },
    broken=(
        Broken(
            "dropped_batch_is_forgotten",
            "no_change_is_missed",
            "A dropped batch does not move the oldest revision known.",
        ),
        Broken(
            "batches_that_begin_later",
            "no_change_is_missed",
            "A batch that begins before the asked revision is left out.",
        ),
        Broken(
            "difference_for_any_version",
            "no_change_is_missed",
            "The difference of two lists is told to those that know a part.",
        ),
        Broken(
            "list_that_is_older",
            "never_goes_back",
            "A list is taken that is older than what is known.",
        ),
        Broken(
            "answer_names_its_own_version",
            "never_goes_back",
            "An answer names the revision of the daemon that is asked.",
        ),
    ),
)
