"""A store comes back from a copy, and daemons read on.

The store holds one document, whose number rises with each write. Each write
raises the revision. A copy is made once, and the store may come back from it:
its generation rises, the document and the revision are those of the copy, and
revisions are given out again. A watch from a revision that the store does not
have is told that its history is gone, one from a revision that was given out
again is not.

A relay watches the store and keeps the last change for a subscriber, which
asks it for what came after a version, reads the store itself, or starts again.
Both keep the highest document that they have seen in force.
"""

from typing import NamedTuple

from spec.specification import Broken, Specification, Step, Steps

WRITES = 4
# Versions of a later generation are above all revisions of an earlier one.
SPAN = 100


class Store(NamedTuple):
    """What the store holds.

    Attributes:
        generation: How often it came back from a copy.
        revision: Number of the last change.
        document: Number of the document.
        oldest: Revision from which changes are kept.
        writes: Writes so far.
    """

    generation: int = 0
    revision: int = 1
    document: int = 1
    oldest: int = 1
    writes: int = 1


class Reader(NamedTuple):
    """A daemon that reads the store, directly or through the relay.

    Attributes:
        version: Version up to which it has read; 0 before the first list.
        in_force: Highest document that it has seen.
        told: Version of the change that it passes on; of the relay only.
        passed_on: Document that it passes on; of the relay only.
    """

    version: int = 0
    in_force: int = 0
    told: int = 0
    passed_on: int = 0


class State(NamedTuple):
    """State of the store and of both daemons.

    Attributes:
        store: The store.
        copy: Revision and document of the copy, or None.
        relay: The daemon that others read through.
        subscriber: The daemon that reads through it.
        missed: Whether a daemon read up to the store's version, and lacked its
            document.
        reverted: Whether a daemon started with an older document than the
            daemon had in force through which it started.
    """

    store: Store = Store()
    copy: tuple[int, int] | None = None
    relay: Reader = Reader()
    subscriber: Reader = Reader()
    missed: bool = False
    reverted: bool = False


def version_of(generation: int, revision: int, variant: str) -> int:
    """Returns the number by which versions are compared."""
    if variant == "revisions_alone":
        return revision
    return generation * SPAN + revision


def store_steps(state: State) -> list[Step]:
    """Lists what may happen to the store."""
    store = state.store
    steps = []
    if store.writes < WRITES:
        written = store._replace(
            revision=store.revision + 1,
            document=store.writes + 1,
            writes=store.writes + 1,
        )
        steps.append(("write", state._replace(store=written)))
    if state.copy is None:
        copy = (store.revision, store.document)
        steps.append(("copy", state._replace(copy=copy)))
    elif not store.generation:
        revision, document = state.copy
        restored = Store(1, revision, document, revision, store.writes)
        steps.append(("restore", state._replace(store=restored)))
    return steps


def read(store: Store, reader: Reader, variant: str) -> Reader:
    """Returns a daemon after it read the store once."""
    now = version_of(store.generation, store.revision, variant)
    generation, revision = divmod(reader.version, SPAN)
    listed = not store.oldest <= revision <= store.revision
    if variant not in ("revisions_alone", "watch_by_status"):
        listed |= generation != store.generation
    changed = listed or revision < store.revision
    seen = store.document if changed else reader.in_force
    read_on = reader._replace(version=now, in_force=max(reader.in_force, seen))
    if not changed or (listed and now < reader.told):
        return read_on
    passed_on = seen if variant == "older_is_passed_on" else read_on.in_force
    return read_on._replace(told=max(reader.told, now), passed_on=passed_on)


def ask(relay: Reader, subscriber: Reader) -> Reader:
    """Returns a subscriber after it asked the relay once."""
    if relay.told <= subscriber.version:
        return subscriber
    in_force = max(subscriber.in_force, relay.passed_on)
    return Reader(relay.told, in_force)


def daemon_steps(state: State, variant: str) -> list[Step]:
    """Lists what the daemons may do."""
    store, relay, subscriber = state.store, state.relay, state.subscriber
    relay_after = read(store, relay, variant)
    direct = read(store, subscriber, variant)
    steps = [
        ("relay_reads", _check(state._replace(relay=relay_after), "relay")),
        (
            "subscriber_reads",
            _check(state._replace(subscriber=direct), "subscriber"),
        ),
        ("relay_restarts", state._replace(relay=Reader())),
    ]
    if not relay.version:
        return steps
    asked = state._replace(subscriber=ask(relay, subscriber))
    started = state._replace(subscriber=ask(relay, Reader()))
    if _is_current(store, relay, variant):
        asked = _check(asked, "subscriber")
    lost = started.subscriber.in_force < relay.in_force
    started = started._replace(reverted=state.reverted or lost)
    return [
        *steps,
        ("subscriber_asks", asked),
        ("subscriber_starts", started),
    ]


def _is_current(store: Store, relay: Reader, variant: str) -> bool:
    now = version_of(store.generation, store.revision, variant)
    return relay.version == now and relay.in_force >= store.document


def _check(state: State, name: str) -> State:
    """Notes whether a daemon that has read everything lacks the document."""
    lacks = getattr(state, name).in_force < state.store.document
    return state._replace(missed=state.missed or lacks)


def steps_of(variant: str) -> Steps:
    """Makes the step function of a variant."""

    def steps(state: State) -> list[Step]:
        return [*store_steps(state), *daemon_steps(state, variant)]

    return steps


def no_change_is_missed(state: State) -> bool:
    """A daemon that has read everything has the store's document."""
    return not state.missed


def no_start_reverts(state: State) -> bool:
    """A daemon that starts has what those have that it starts through."""
    return not state.reverted


RESTORED = Specification(
    name="restored",
    bounds={"writes": WRITES, "copies": 1},
    initial=State(),
    steps=steps_of,
    properties={
        "no_change_is_missed": no_change_is_missed,
        "no_start_reverts": no_start_reverts,
    },
    broken=(
        Broken(
            "revisions_alone",
            "no_change_is_missed",
            "Revisions of different generations are compared.",
        ),
        Broken(
            "watch_by_status",
            "no_change_is_missed",
            "Only the status of an answer tells that the history is gone.",
        ),
        Broken(
            "older_is_passed_on",
            "no_start_reverts",
            "The relay passes on the older document of a copy.",
        ),
    ),
)
