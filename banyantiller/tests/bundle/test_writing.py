"""Tests of writes that have to be read back."""

from banyantiller.bundle import writing
from banyantiller.bundle.outcomes import DamagedObject, NotKnown, NotReached
from banyantiller.store import interface
from banyantiller.store.memory import MemoryStore
from banyantiller.tests.base import TestCase


class UnreadableStore(MemoryStore):
    """A store that accepts writes and fails all reads."""

    async def get(self, kind, name):
        return interface.Unavailable("no answer")


class EnsureTest(TestCase):
    def ensure_exists(self, store, text):
        return self.run_paused(
            writing.ensure_exists(
                store,
                "things",
                "a",
                {"text": text},
                {},
                lambda item: item.value["text"] == text,
            )
        )

    def test_the_same_object_is_found_and_another_one_is_refused(self):
        store = MemoryStore()
        created = self.ensure_exists(store, "one")
        self.assertEqual(created, self.ensure_exists(store, "one"))
        self.assertIsInstance(self.ensure_exists(store, "two"), DamagedObject)

    def test_an_object_that_exists_but_cannot_be_read(self):
        store = UnreadableStore()
        self.ensure_exists(store, "one")
        expected = NotReached("it exists, but cannot be read")
        self.assertEqual(expected, self.ensure_exists(store, "one"))

    def test_a_lost_response_that_cannot_be_read_back_is_unknown(self):
        store = UnreadableStore()
        store.faults.lose_answers = 1
        self.assertIsInstance(self.ensure_exists(store, "one"), NotKnown)
        self.assertEqual(writing.MAX_ATTEMPTS, store.calls["create"])
