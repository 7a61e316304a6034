"""Registers the adapter of the VM list."""

from banyantiller import plugins
from banyantiller.vmlist import http


def register(registry: plugins.Registry) -> None:
    """Adds the HTTP adapter."""
    registry.add("vm_list", "http", http.HttpVmList.from_settings)
