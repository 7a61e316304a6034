"""Plug-ins: found by entry point, registered by kind and name.

A plug-in is a function named by an entry point of the group
`banyantiller.plugins`. It is called once with the `Registry` and adds its
factories and its event handlers to it:

    def register(registry: Registry) -> None:
        registry.add("object_api", "kubernetes", KubernetesStore.from_settings)
        registry.on(BundleInForce, print)

The kinds are `object_api`, `vm_list`, `routing`, `load_reader` and `gateway`.
"""

import importlib
from collections.abc import Callable, Iterable
from typing import Any

from banyantiller import exceptions
from banyantiller.kernel import core

ENTRY_POINT_GROUP = "banyantiller.plugins"
PLUGIN_KINDS = ("object_api", "vm_list", "routing", "load_reader", "gateway")

Factory = Callable[..., Any]


class Registry:
    """Factories by kind and name, and handlers by event type."""

    def __init__(self) -> None:
        self.factories: dict[tuple[str, str], Factory] = {}
        self.handlers: list[tuple[type, core.Handler]] = []

    @classmethod
    def from_entry_points(cls) -> "Registry":
        """Loads every installed plug-in.

        Raises:
            PluginError: A plug-in could not be loaded or clashes.
        """
        # Loaded late: it takes 30 ms that a named plug-in does not need.
        import importlib.metadata

        registry = cls()
        entry_points = importlib.metadata.entry_points(group=ENTRY_POINT_GROUP)
        for entry in sorted(entry_points, key=lambda item: item.name):
            registry.load(entry)
        return registry

    @classmethod
    def from_names(cls, names: Iterable[str]) -> "Registry":
        """Loads plug-ins by name, such as `package.module:register`.

        Raises:
            PluginError: A plug-in could not be loaded or clashes.
        """
        registry = cls()
        for name in names:
            module, _, function = name.partition(":")
            try:
                register = getattr(importlib.import_module(module), function)
            except (ImportError, AttributeError, ValueError) as error:
                raise _load_error(name, error) from error
            register(registry)
        return registry

    def load(self, entry: "importlib.metadata.EntryPoint") -> None:
        """Imports one plug-in and lets it register itself."""
        try:
            register = entry.load()
        except (ImportError, AttributeError) as error:
            raise _load_error(entry.name, error) from error
        register(self)

    def add(self, kind: str, name: str, factory: Factory) -> None:
        """Adds a factory.

        Raises:
            PluginError: The kind is unknown or the name is taken.
        """
        if kind not in PLUGIN_KINDS:
            raise exceptions.PluginError(
                f"Plug-in kind '{kind}' is not one of"
                f" {', '.join(PLUGIN_KINDS)}."
            )
        if (kind, name) in self.factories:
            raise exceptions.PluginError(
                f"Two plug-ins of kind '{kind}' are named '{name}'."
            )
        self.factories[kind, name] = factory

    def get(self, kind: str, name: str) -> Factory:
        """Returns a factory.

        Raises:
            PluginError: None of that kind has the name.
        """
        try:
            return self.factories[kind, name]
        except KeyError:
            installed_names = sorted(n for k, n in self.factories if k == kind)
            raise exceptions.PluginError(
                f"No plug-in of kind '{kind}' is named '{name}'; "
                f"installed: {', '.join(installed_names) or 'none'}."
            ) from None

    def on(self, event_type: type, handler: core.Handler) -> None:
        """Adds a handler of a kernel event."""
        self.handlers.append((event_type, handler))

    def connect(self, kernel: core.Kernel) -> None:
        """Subscribes every plug-in's handlers to the kernel's events."""
        for event_type, handler in self.handlers:
            kernel.subscribe(event_type, handler)


def _load_error(name: str, error: Exception) -> exceptions.PluginError:
    return exceptions.PluginError(
        f"Plug-in '{name}' could not be loaded: {error}."
    )
