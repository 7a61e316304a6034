"""Contract of object stores; the tests of each adapter inherit it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from banyantiller.store import interface

KIND = "things"

Check = Callable[[interface.ObjectStore], Awaitable[None]]


class StoreContract:
    """Mixin of a test case; `run_with_store` provides a store to each check."""

    def run_with_store(self, check: Check) -> None:
        """Runs a check on the paused clock with an empty store."""
        raise NotImplementedError

    def test_reads_and_writes(self):
        self.run_with_store(self.check_reads_and_writes)

    def test_recreated_object_conflicts(self):
        self.run_with_store(self.check_recreated_object_conflicts)

    def test_lists_by_label(self):
        self.run_with_store(self.check_lists_by_label)

    def test_watch(self):
        self.run_with_store(self.check_watch)

    def test_too_large(self):
        self.run_with_store(self.check_too_large)

    async def check_reads_and_writes(self, store: interface.ObjectStore):
        """Creates, reads, updates and deletes one object."""
        self.assertEqual(interface.Missing(), await store.get(KIND, "a"))
        made = await store.create(KIND, "a", {"n": 1}, {"colour": "red"})
        self.assertIsInstance(made, interface.Found)
        self.assertEqual(
            interface.Conflict(), await store.create(KIND, "a", {"n": 2})
        )
        self.assertEqual(made, await store.get(KIND, "a"))
        newer = await store.update(made.item, {"n": 2})
        self.assertEqual({"n": 2}, newer.item.value)
        self.assertEqual({"colour": "red"}, newer.item.labels)
        self.assertNotEqual(made.item.version, newer.item.version)
        for write in (
            store.update(made.item, {"n": 3}),
            store.delete(made.item),
        ):
            self.assertEqual(interface.Conflict(), await write)
        self.assertIsInstance(await store.delete(newer.item), interface.Found)
        for write in (store.update(newer.item, {}), store.delete(newer.item)):
            self.assertEqual(interface.Missing(), await write)

    async def check_recreated_object_conflicts(
        self, store: interface.ObjectStore
    ):
        """The version of a deleted object conflicts after its re-creation."""
        old = await store.create(KIND, "a", {"n": 1})
        await store.delete(old.item)
        await store.create(KIND, "a", {"n": 1})
        self.assertEqual(interface.Conflict(), await store.update(old.item, {}))

    async def check_lists_by_label(self, store: interface.ObjectStore):
        """Lists objects with all the labels by name, over several pages."""
        for number in range(7):
            colour = "red" if number % 2 else "blue"
            labels = {"colour": colour, "size": str(number)}
            await store.create(KIND, f"n{number}", {"n": number}, labels)
        await store.create("others", "x", {})
        every = await store.list(KIND)
        self.assertEqual(list(range(7)), [i.value["n"] for i in every.items])
        red = await store.list(KIND, {"colour": "red"})
        self.assertEqual([1, 3, 5], [i.value["n"] for i in red.items])
        one = await store.list(KIND, {"colour": "red", "size": "3"})
        self.assertEqual(["n3"], [i.name for i in one.items])
        self.assertEqual((), (await store.list("none")).items)

    async def check_watch(self, store: interface.ObjectStore):
        """Delivers changes after the version, live changes and bookmarks."""
        first = await store.create(KIND, "a", {"n": 1})
        start = (await store.list(KIND)).version
        second = await store.update(first.item, {"n": 2})
        await store.create("others", "x", {})
        watch = store.watch(KIND, start)
        self.assertEqual(interface.Changed(second.item), await anext(watch))
        waiting = asyncio.ensure_future(next_change(watch))
        await asyncio.sleep(10)
        third = await store.create(KIND, "b", {"n": 3})
        self.assertEqual(interface.Changed(third.item), await waiting)
        await store.delete(third.item)
        gone = await next_change(watch)
        self.assertIsInstance(gone, interface.Deleted)
        self.assertEqual("b", gone.item.name)
        self.assertIsInstance(await anext(watch), interface.Bookmark)
        await watch.aclose()
        self.assertEqual(1, store.calls["watch"])

    async def check_too_large(self, store: interface.ObjectStore):
        """A value over the limit is rejected without effect."""
        large = {"text": "x" * interface.MAX_VALUE_BYTES}
        outcome = await store.create(KIND, "a", large)
        self.assertIsInstance(outcome, interface.Unavailable)
        self.assertEqual(interface.Missing(), await store.get(KIND, "a"))


async def next_change(watch: Any) -> interface.WatchEvent:
    """Skips bookmarks."""
    async for event in watch:
        if not isinstance(event, interface.Bookmark):
            return event
    raise AssertionError("The watch ended.")
