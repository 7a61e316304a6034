"""Registers the routing policy as a plug-in."""

from banyantiller.plugins import Registry
from banyantiller.routing import adaptive


def register(registry: Registry) -> None:
    """Registers the factory of the adaptive policy."""
    registry.add("routing", "adaptive", adaptive.create)
