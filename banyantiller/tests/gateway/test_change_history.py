"""Tests that subscribers of a relay miss no change."""

import random

from banyantiller.gateway import change_history
from banyantiller.store import interface
from banyantiller.tests import base

NAMES = ("a", "b", "c")
SEEDS = 200
CHANGES = 60


def stored_object(name, revision):
    return interface.StoredObject("kind", name, str(revision), {"r": revision})


class FakeStore:
    """All changes, and the objects that existed after each."""

    def __init__(self, rng):
        self.random = rng
        self.events = []
        self.contents = [{}]

    def change(self):
        """Puts or removes an object."""
        name = self.random.choice(NAMES)
        revision = len(self.events) + 1
        after = dict(self.contents[-1])
        if name in after and self.random.random() < 0.3:
            self.events.append(
                interface.Deleted(stored_object(name, after.pop(name)))
            )
        else:
            after[name] = revision
            self.events.append(interface.Changed(stored_object(name, revision)))
        self.contents.append(after)

    def since(self, version):
        """Returns the changes after a version, as the store's response."""
        return interface.Changes(
            tuple(self.events[version:]), str(len(self.events))
        )

    def listed(self):
        """Returns all objects."""
        items = tuple(stored_object(n, r) for n, r in self.contents[-1].items())
        return interface.Listed(items, str(len(self.events)))


def apply_changes(view, events):
    """Returns a daemon's view of the objects after changes."""
    view = dict(view)
    for event in events:
        if isinstance(event, interface.Deleted):
            view.pop(event.item.name, None)
        else:
            view[event.item.name] = int(event.item.version)
    return view


class ChangeHistoryTest(base.TestCase):
    def test_kept_batches_lead_to_the_state_of_the_store(self):
        async def body():
            return [
                self.read_at_random_times(random.Random(seed))
                for seed in range(SEEDS)
            ]

        reply_counts = self.run_paused(body())
        self.assertGreater(sum(reply_counts), SEEDS * 5)

    def read_at_random_times(self, rng):
        """Reads at random moments; returns the number of queries served."""
        store = FakeStore(rng)
        history = change_history.ChangeHistory(store.listed())
        version, view, reply_count = 0, {}, 0
        for _ in range(CHANGES):
            store.change()
            chance = rng.random()
            if chance < 0.4:
                if chance < 0.3:
                    history.add_changes(store.since(history.version))
                else:
                    # The store lost its history.
                    history.apply_list(store.listed())
                self.assertEqual(
                    store.contents[history.version],
                    {n: int(i.version) for n, i in history.items.items()},
                )
            if rng.random() < 0.1:
                version = len(store.events)
                view = dict(store.contents[version])
            if rng.random() < 0.3 and history.is_complete_since(version):
                view = apply_changes(view, history.changes_after(version))
                version = max(version, history.version)
                reply_count += 1
                self.assertEqual(store.contents[version], view)
        return reply_count

    def test_difference_of_lists_is_complete_only_for_versions_outside_it(self):
        async def body():
            store = FakeStore(random.Random(1))
            history = change_history.ChangeHistory(store.listed())
            for _ in range(3):
                store.change()
            history.apply_list(store.listed())
            empty = change_history.ChangeHistory(store.listed())
            empty.apply_list(store.listed())
            return (
                [history.is_complete_since(version) for version in range(5)],
                empty.is_complete_since(3),
            )

        expected = ([True, False, False, True, True], True)
        self.assertEqual(expected, self.run_paused(body()))

    def test_difference_holds_only_objects_whose_content_differs(self):
        """Guards against sending all objects after a copy of the store."""

        def listed(revision, **contents):
            items = [
                interface.StoredObject("kind", name, revision, {"r": content})
                for name, content in contents.items()
            ]
            return interface.Listed(tuple(items), revision)

        async def body():
            history = change_history.ChangeHistory(listed("5", a=1, b=1))
            history.apply_list(listed("9", a=1, b=2))
            changes = history.changes_after(5)
            versions = [item.version for item in history.items.values()]
            return [change.item.name for change in changes], versions

        self.assertEqual((["b"], ["9", "9"]), self.run_paused(body()))

    def test_dropped_batches_raise_the_oldest_version(self):
        async def body():
            store = FakeStore(random.Random(1))
            history = change_history.ChangeHistory(store.listed())
            for _ in range(change_history.MAX_BATCHES + 5):
                store.change()
                history.add_changes(store.since(history.version))
            return history.oldest_version, len(history.batches)

        self.assertEqual(
            (5, change_history.MAX_BATCHES), self.run_paused(body())
        )


class MemoryTest(base.TestCase):
    """Guards against a history that outgrows the memory of its VM.

    The last 100 versions of a document were kept, 2.4 MB each.
    """

    def kept_values(self, events):
        """Returns the contents that a history keeps after changes."""

        async def body():
            empty = interface.Listed((), "0")
            history = change_history.ChangeHistory(empty)
            for version, event in enumerate(events, 1):
                changes = interface.Changes((event,), str(version))
                history.add_changes(changes)
            kept = [item.value for item in history.items.values()]
            kept += [
                change.event.item.value
                for change in history.last_changes.values()
            ]
            return {id(value): value for value in kept if value}

        return self.run_paused(body())

    def test_one_version_of_a_document_is_kept(self):
        changed = [
            interface.Changed(stored_object("main", revision))
            for revision in range(1, change_history.MAX_BATCHES)
        ]
        kept = self.kept_values(changed)
        self.assertEqual(
            [{"r": change_history.MAX_BATCHES - 1}], list(kept.values())
        )

    def test_nothing_is_kept_of_a_deleted_object(self):
        item = stored_object("main", 1)
        kept = self.kept_values(
            [interface.Changed(item), interface.Deleted(item)]
        )
        self.assertEqual({}, kept)

    def test_changes_of_dropped_batches_are_dropped(self):
        async def body():
            empty = interface.Listed((), "0")
            history = change_history.ChangeHistory(empty)
            for version in range(1, 3 * change_history.MAX_BATCHES):
                item = stored_object(f"s{version}", version)
                event = interface.Deleted(item)
                changes = interface.Changes((event,), str(version))
                history.add_changes(changes)
            return len(history.last_changes)

        self.assertEqual(change_history.MAX_BATCHES, self.run_paused(body()))


class SimulatedDaemon:
    """A daemon that watches a kind in the store or through a relay.

    Attributes:
        history: Changes kept for subscribers, or None before the first list.
        version: Version up to which it has seen all changes.
        view: Revision of each known object, by name.
    """

    def __init__(self):
        self.history = None
        self.version = 0
        self.view = {}

    def receive_list(self, listed):
        """Receives a list from the store or from a relay."""
        if int(listed.version) < self.version:
            return
        self.view = {item.name: int(item.version) for item in listed.items}
        self.version = int(listed.version)
        if self.history is None:
            self.history = change_history.ChangeHistory(listed)
        else:
            self.history.apply_list(listed)

    def receive_changes(self, events, version):
        """Receives changes from the store or from a relay."""
        self.view = apply_changes(self.view, events)
        self.version = version
        found = interface.Changes(tuple(events), str(version))
        self.history.add_changes(found)

    def to_list(self):
        """Returns all objects, as subscribers receive them."""
        items = tuple(self.history.items.values())
        return interface.Listed(items, str(self.history.version))


class RelayChainTest(base.TestCase):
    """Two relays, either of which may be ahead, and a subscriber."""

    def test_no_daemon_misses_a_change(self):
        async def body():
            return sum(
                self.run_random_steps(random.Random(seed))
                for seed in range(SEEDS)
            )

        self.assertGreater(self.run_paused(body()), SEEDS * 20)

    def run_random_steps(self, rng):
        """Runs random steps; returns the number of queries served."""
        store = FakeStore(rng)
        daemons = [SimulatedDaemon() for _ in range(3)]
        oldest, reply_count = 0, 0
        for _ in range(CHANGES * 3):
            chance = rng.random()
            if chance < 0.3:
                store.change()
            elif chance < 0.35:
                oldest = len(store.events)
            elif chance < 0.4:
                daemons[rng.randrange(3)] = SimulatedDaemon()
            else:
                number = rng.randrange(3)
                # The first daemon reads the store, and the second may query it.
                upstream = daemons[: min(number, 2)]
                daemon = daemons[number]
                if upstream and rng.random() < 0.8:
                    reply_count += self.query(daemon, rng.choice(upstream))
                else:
                    self.read_store(daemon, store, oldest)
            for daemon in daemons:
                self.assertEqual(store.contents[daemon.version], daemon.view)
        return reply_count

    def read_store(self, daemon, store, oldest):
        """Makes a daemon read the store."""
        if daemon.history is None or daemon.version < oldest:
            daemon.receive_list(store.listed())
        else:
            found = store.since(daemon.version)
            daemon.receive_changes(found.events, int(found.version))

    def query(self, daemon, peer):
        """Makes a daemon query a peer; returns whether it was served."""
        if peer.history is None:
            return False
        if daemon.history is None or not peer.history.is_complete_since(
            daemon.version
        ):
            daemon.receive_list(peer.to_list())
            return True
        version = max(daemon.version, peer.history.version)
        daemon.receive_changes(
            peer.history.changes_after(daemon.version), version
        )
        return True
