"""Registry of plug-ins, which are found through entry points.

A plug-in is a function that an entry point of the group
`banyantiller.plugins` names. It is called once with the `Registry`, and adds
its factories and event handlers to it:

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
    """Holds the factories and event handlers of plug-ins.

    Attributes:
        factories: Factories by plug-in kind and name.
        handlers: Pairs of event type and handler, in order of registration.
    """

    def __init__(self) -> None:
        self.factories: dict[tuple[str, str], Factory] = {}
        self.handlers: list[tuple[type, core.Handler]] = []

    @classmethod
    def from_entry_points(cls) -> "Registry":
        """Loads every installed plug-in.

        Raises:
            PluginError: A plug-in could not be loaded, is of an unknown kind,
                or has the name of another one of its kind.
        """
        # Imported here because the import takes 30 ms, which loading plug-ins
        # by name does not need.
        import importlib.metadata

        registry = cls()
        entry_points = importlib.metadata.entry_points(group=ENTRY_POINT_GROUP)
        for entry in sorted(entry_points, key=lambda item: item.name):
            registry.load(entry)
        return registry

    @classmethod
    def from_names(cls, names: Iterable[str]) -> "Registry":
        """Loads plug-ins by function name, such as `package.module:register`.

        Raises:
            PluginError: A plug-in could not be loaded, is of an unknown kind,
                or has the name of another one of its kind.
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
        """Imports one plug-in and calls it with this registry.

        Raises:
            PluginError: The plug-in could not be loaded.
        """
        try:
            register = entry.load()
        except (ImportError, AttributeError) as error:
            raise _load_error(entry.name, error) from error
        register(self)

    def add(self, kind: str, name: str, factory: Factory) -> None:
        """Registers a factory under a plug-in kind and a name.

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
        """Returns the factory of a plug-in kind and a name.

        Raises:
            PluginError: No plug-in of that kind has the name.
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
        """Registers a handler for a type of kernel event."""
        self.handlers.append((event_type, handler))

    def connect(self, kernel: core.Kernel) -> None:
        """Subscribes the registered handlers to the events of a kernel."""
        for event_type, handler in self.handlers:
            kernel.subscribe(event_type, handler)


def _load_error(name: str, error: Exception) -> exceptions.PluginError:
    return exceptions.PluginError(
        f"Plug-in '{name}' could not be loaded: {error}."
    )
