"""Registers the adapter of the object API."""

from banyantiller import plugins
from banyantiller.store import kubernetes


def register(registry: plugins.Registry) -> None:
    """Adds the Kubernetes adapter."""
    registry.add(
        "object_api", "kubernetes", kubernetes.KubernetesStore.from_settings
    )
