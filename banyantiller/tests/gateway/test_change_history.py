"""Tests that no change is missed by those that ask another daemon."""

import random

from banyantiller.gateway import change_history
from banyantiller.store import interface
from banyantiller.tests import base

NAMES = ("a", "b", "c")
SEEDS = 200
CHANGES = 60


def stored(name, revision):
    return interface.StoredObject("kind", name, str(revision), {"r": revision})


class Store:
    """All changes, and what existed after each."""

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
            self.events.append(interface.Deleted(stored(name, after.pop(name))))
        else:
            after[name] = revision
            self.events.append(interface.Changed(stored(name, revision)))
        self.contents.append(after)

    def since(self, version):
        """Returns the changes after a version, as the store's answer."""
        return interface.Changes(
            tuple(self.events[version:]), str(len(self.events))
        )

    def listed(self):
        """Returns all objects."""
        items = tuple(stored(n, r) for n, r in self.contents[-1].items())
        return interface.Listed(items, str(len(self.events)))


def apply(view, events):
    """Applies changes to what a daemon believes to exist."""
    view = dict(view)
    for event in events:
        if isinstance(event, interface.Deleted):
            view.pop(event.item.name, None)
        else:
            view[event.item.name] = int(event.item.version)
    return view


class HistoryTest(base.TestCase):
    def test_kept_batches_bring_everybody_to_what_the_store_holds(self):
        async def body():
            return [self.follow(random.Random(seed)) for seed in range(SEEDS)]

        answers = self.run_paused(body())
        self.assertGreater(sum(answers), SEEDS * 5)

    def follow(self, rng):
        """Reads at random moments; returns how often another was asked."""
        store = Store(rng)
        history = change_history.ChangeHistory(store.listed())
        version, view, answers = 0, {}, 0
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
                view = apply(view, history.changes_after(version))
                version = max(version, history.version)
                answers += 1
                self.assertEqual(store.contents[version], view)
        return answers

    def test_difference_of_lists_is_told_to_those_that_know_no_part_of_it(self):
        async def body():
            store = Store(random.Random(1))
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

        wanted = ([True, False, False, True, True], True)
        self.assertEqual(wanted, self.run_paused(body()))

    def test_dropped_batches_are_not_told_as_known(self):
        async def body():
            store = Store(random.Random(1))
            history = change_history.ChangeHistory(store.listed())
            for _ in range(change_history.MAX_BATCHES + 5):
                store.change()
                history.add_changes(store.since(history.version))
            return history.oldest_version, len(history.batches)

        self.assertEqual(
            (5, change_history.MAX_BATCHES), self.run_paused(body())
        )


class Follower:
    """A daemon that follows a kind, from the store or from another one.

    Attributes:
        history: What it keeps for daemons that ask it, or None before it has
            listed.
        version: Version up to which it has seen all changes.
        view: Objects that it believes to exist.
    """

    def __init__(self):
        self.history = None
        self.version = 0
        self.view = {}

    def take_list(self, listed):
        """Takes a list of the store, or one that another daemon told."""
        if int(listed.version) < self.version:
            return
        self.view = {one.name: int(one.version) for one in listed.items}
        self.version = int(listed.version)
        if self.history is None:
            self.history = change_history.ChangeHistory(listed)
        else:
            self.history.apply_list(listed)

    def take_changes(self, events, version):
        """Takes what the store or another daemon told."""
        self.view = apply(self.view, events)
        self.version = version
        found = interface.Changes(tuple(events), str(version))
        self.history.add_changes(found)

    def tell_list(self):
        """Returns all objects, as another daemon is told them."""
        items = tuple(self.history.items.values())
        return interface.Listed(items, str(self.history.version))


class ChainTest(base.TestCase):
    """Two daemons that are asked, by turns ahead of each other, and a third."""

    def test_nobody_ever_misses_a_change(self):
        async def body():
            return sum(self.play(random.Random(seed)) for seed in range(SEEDS))

        self.assertGreater(self.run_paused(body()), SEEDS * 20)

    def play(self, rng):
        """Plays random steps; returns how often a daemon told another."""
        store = Store(rng)
        daemons = [Follower() for _ in range(3)]
        oldest, told = 0, 0
        for _ in range(CHANGES * 3):
            chance = rng.random()
            if chance < 0.3:
                store.change()
            elif chance < 0.35:
                oldest = len(store.events)
            elif chance < 0.4:
                daemons[rng.randrange(3)] = Follower()
            else:
                number = rng.randrange(3)
                # The first reads the store, the second may ask the first.
                before = daemons[: min(number, 2)]
                one = daemons[number]
                if before and rng.random() < 0.8:
                    told += self.ask(one, rng.choice(before))
                else:
                    self.read(one, store, oldest)
            for one in daemons:
                self.assertEqual(store.contents[one.version], one.view)
        return told

    def read(self, one, store, oldest):
        """Lets a daemon read the store."""
        if one.history is None or one.version < oldest:
            one.take_list(store.listed())
        else:
            found = store.since(one.version)
            one.take_changes(found.events, int(found.version))

    def ask(self, one, other):
        """Lets a daemon ask another; tells whether it was told something."""
        if other.history is None:
            return False
        if one.history is None or not other.history.is_complete_since(
            one.version
        ):
            one.take_list(other.tell_list())
            return True
        version = max(one.version, other.history.version)
        one.take_changes(other.history.changes_after(one.version), version)
        return True
