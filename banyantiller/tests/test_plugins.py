"""Tests of finding, registering and connecting plug-ins."""

import importlib.metadata

from banyantiller import exceptions, plugins
from banyantiller.kernel import core, events
from banyantiller.tests import base

INSTALLED = {
    ("object_api", "kubernetes"),
    ("vm_list", "http"),
    ("load_reader", "orca"),
    ("routing", "adaptive"),
}


def make_nothing() -> None:
    """Stands for a factory."""


class RegistryTest(base.TestCase):
    def refusal(self, call, *args: str) -> str:
        """Returns the message of the `PluginError` that a call raises."""
        error = self.assertRaises(exceptions.PluginError, call, *args)
        return str(error)

    def test_installed_plugins_are_found(self) -> None:
        registry = plugins.Registry.from_entry_points()
        self.assertTrue(set(registry.factories) >= INSTALLED)

    def test_names_are_unique_within_a_kind(self) -> None:
        registry = plugins.Registry()
        registry.add("routing", "a", make_nothing)
        registry.add("vm_list", "a", make_nothing)
        text = self.refusal(registry.add, "routing", "a", make_nothing)
        self.assertIn("Two plug-ins of kind 'routing' are named 'a'.", text)

    def test_unknown_kinds_and_names_tell_the_known(self) -> None:
        registry = plugins.Registry()
        text = self.refusal(registry.add, "colour", "a", make_nothing)
        self.assertIn("object_api, vm_list, routing, load_reader", text)
        self.assertIn(
            "installed: none", self.refusal(registry.get, "routing", "b")
        )
        registry.add("routing", "a", make_nothing)
        self.assertIs(make_nothing, registry.get("routing", "a"))
        self.assertIn(
            "installed: a.", self.refusal(registry.get, "routing", "b")
        )

    def test_a_plugin_that_cannot_be_loaded_is_named(self) -> None:
        registry = plugins.Registry()
        for value in ("banyantiller.nowhere:register", "banyantiller:nothing"):
            entry = importlib.metadata.EntryPoint("mine", value, plugins.GROUP)
            text = self.refusal(registry.load, entry)
            self.assertIn("Plug-in 'mine' could not be loaded: ", text)

    def test_handlers_get_the_events_of_the_kernel(self) -> None:
        seen: list[events.DaemonDraining] = []
        registry = plugins.Registry()
        registry.on(events.DaemonDraining, seen.append)
        kernel = core.Kernel()
        registry.connect(kernel)
        kernel.emit(events.DaemonDraining(1.0))
        kernel.emit(events.ProbeCharged("desk", 1.0))
        self.assertEqual([events.DaemonDraining(1.0)], seen)
