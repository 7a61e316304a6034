"""Tests of loading, registering and connecting plug-ins."""

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


def unused_factory() -> None:
    """Stands in for a factory; tests never call it."""


class RegistryTest(base.TestCase):
    def plugin_error_text(self, call, *args: str) -> str:
        """Returns the message of the `PluginError` that a call raises."""
        error = self.assertRaises(exceptions.PluginError, call, *args)
        return str(error)

    def test_installed_plugins_are_found(self) -> None:
        registry = plugins.Registry.from_entry_points()
        self.assertTrue(set(registry.factories) >= INSTALLED)

    def test_names_are_unique_within_a_kind(self) -> None:
        registry = plugins.Registry()
        registry.add("routing", "a", unused_factory)
        registry.add("vm_list", "a", unused_factory)
        text = self.plugin_error_text(
            registry.add, "routing", "a", unused_factory
        )
        self.assertIn("Two plug-ins of kind 'routing' are named 'a'.", text)

    def test_errors_on_unknown_kinds_and_names_list_known_ones(self) -> None:
        registry = plugins.Registry()
        text = self.plugin_error_text(
            registry.add, "colour", "a", unused_factory
        )
        self.assertIn("object_api, vm_list, routing, load_reader", text)
        self.assertIn(
            "installed: none",
            self.plugin_error_text(registry.get, "routing", "b"),
        )
        registry.add("routing", "a", unused_factory)
        self.assertIs(unused_factory, registry.get("routing", "a"))
        self.assertIn(
            "installed: a.",
            self.plugin_error_text(registry.get, "routing", "b"),
        )

    def test_a_plugin_that_cannot_be_loaded_is_named(self) -> None:
        registry = plugins.Registry()
        for value in ("banyantiller.nowhere:register", "banyantiller:nothing"):
            entry = importlib.metadata.EntryPoint(
                "mine", value, plugins.ENTRY_POINT_GROUP
            )
            text = self.plugin_error_text(registry.load, entry)
            self.assertIn("Plug-in 'mine' could not be loaded: ", text)

    def test_handlers_receive_kernel_events(self) -> None:
        received: list[events.DaemonDraining] = []
        registry = plugins.Registry()
        registry.on(events.DaemonDraining, received.append)
        kernel = core.Kernel()
        registry.connect(kernel)
        kernel.emit(events.DaemonDraining(1.0))
        kernel.emit(events.ProbeCharged("desk", 1.0))
        self.assertEqual([events.DaemonDraining(1.0)], received)
