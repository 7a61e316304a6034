"""Registers the reader of ORCA load reports."""

from banyantiller import plugins
from banyantiller.proxy import load


def register(registry: plugins.Registry) -> None:
    """Adds the reader; called by entry point."""
    registry.add("load_reader", "orca", load.orca)
