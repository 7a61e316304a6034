"""Registers the adapter to the platform."""

from banyantiller import plugins
from banyantiller.config import defaults
from banyantiller.gateway import types
from banyantiller.platform import (
    document_errors,
    documents,
    headers,
    registrations,
    store,
)

DOCUMENT_KIND = "config"
DOCUMENT_NAME = "main"
SERVER_KIND = "servers"
# The name of an object is the zone; its content has no meaning.
EVACUATION_KIND = "evacuations"


def register(registry: plugins.Registry) -> None:
    """Adds the adapter under the name of the store protocol."""
    registry.add("gateway", "objects", create)


def create(endpoint: defaults.Endpoint) -> types.Adapter:
    """Builds the adapter for the store at an endpoint."""
    return types.Adapter(
        store=store.PlatformStore.from_address(
            endpoint.address,
            endpoint.port,
            {DOCUMENT_KIND: documents.hide_keys},
        ),
        document_kind=DOCUMENT_KIND,
        document_name=DOCUMENT_NAME,
        server_kind=SERVER_KIND,
        evacuation_kind=EVACUATION_KIND,
        read_document=documents.read_document,
        find_problems=document_errors.find_problems,
        field_name=document_errors.field_name,
        read_server=registrations.read_server,
        read_load=headers.read_load,
        read_limit=headers.read_limit,
        retry_after=headers.RETRY_AFTER,
        read_retry_after=headers.read_retry_after,
        wire=headers.WIRE,
    )
