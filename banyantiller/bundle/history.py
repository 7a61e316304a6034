"""Reads complete bundles and earlier versions from the object API."""

from banyantiller.bundle import reading
from banyantiller.bundle.manifest import Manifest
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import (
    DamagedObject,
    HeadFound,
    NotFound,
    NotReached,
    PartFound,
    ProposalFound,
)
from banyantiller.store import interface

ReadFailure = NotFound | DamagedObject | NotReached


async def read_bundle(
    store: interface.ObjectStore, manifest: Manifest
) -> Bundle | ReadFailure:
    """Reads every part of a bundle."""
    services = []
    for part in manifest.parts:
        found = await reading.read_part(store, part)
        if not isinstance(found, PartFound):
            return found
        services.append(found.service)
    return Bundle(tuple(services), manifest.description)


async def read_version(
    store: interface.ObjectStore, deployment: str, version: int
) -> Manifest | ReadFailure:
    """Follows the parents of the accepted bundle to an earlier version."""
    head = await reading.read_head(store, deployment)
    if isinstance(head, DamagedObject | NotReached):
        return head
    missing = NotFound(f"accepted version {version}")
    if not isinstance(head, HeadFound):
        return missing
    manifest = head.accepted.manifest
    if version < 1 or version > manifest.version:
        return missing
    while manifest.version > version and manifest.parent:
        found = await reading.read_proposal(store, deployment, manifest.parent)
        if not isinstance(found, ProposalFound):
            return found
        manifest = found.manifest
    return manifest if manifest.version == version else missing


async def find_proposals(
    store: interface.ObjectStore, deployment: str, prefix: str
) -> tuple[ProposalFound, ...] | NotReached:
    """Lists readable proposals whose digest begins with a prefix."""
    listed = await store.list(reading.PROPOSALS, {"deployment": deployment})
    if isinstance(listed, interface.Unavailable):
        return NotReached(listed.reason)
    decoded = [reading.decode_proposal(item) for item in listed.items]
    return tuple(
        item
        for item in decoded
        if isinstance(item, ProposalFound) and item.digest.startswith(prefix)
    )
