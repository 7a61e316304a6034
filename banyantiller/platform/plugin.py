"""Registers the adapter."""

from banyantiller import plugins
from banyantiller.config import defaults
from banyantiller.gateway import types
from banyantiller.platform import documents, headers, registrations, store

DOCUMENT_KIND = "config"
DOCUMENT_NAME = "main"
SERVER_KIND = "servers"


def register(registry: plugins.Registry) -> None:
    """Adds the adapter under the form of store that it speaks."""
    registry.add("gateway", "objects", create)


def create(endpoint: defaults.Endpoint, wait_s: float) -> types.Adapter:
    """Makes the adapter.

    Args:
        endpoint: Where the platform's store listens.
        wait_s: Longest wait of one watch call, in seconds.
    """
    return types.Adapter(
        store=store.PlatformStore.from_address(
            endpoint.address, endpoint.port, wait_s
        ),
        document_kind=DOCUMENT_KIND,
        document_name=DOCUMENT_NAME,
        server_kind=SERVER_KIND,
        read_document=documents.read_document,
        read_server=registrations.read_server,
        read_load=headers.read_load,
        wire=headers.WIRE,
    )
