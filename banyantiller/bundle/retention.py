"""Deletes proposals and parts that are no longer needed.

Parts are listed before proposals. A proposal that reuses an old part writes it
again, which changes its resource version, so a delete that was decided before
fails. A part is therefore never deleted while a proposal needs it that was
stored within `MIN_AGE_S` of its parts.
"""

import dataclasses
from typing import Any

from banyantiller.bundle import reading
from banyantiller.bundle.manifest import Manifest
from banyantiller.bundle.operators import Operator
from banyantiller.bundle.outcomes import (
    DamagedObject,
    HeadFound,
    NoHead,
    NotReached,
    ProposalFound,
    Refused,
)
from banyantiller.store import interface

MIN_AGE_S = 86400.0
MIN_VERSIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PruneResult:
    """Objects that were deleted, or would be in a dry run.

    Attributes:
        proposals: Names of proposals.
        parts: Names of parts.
        failed: Number of deletes that the object API did not confirm.
    """

    proposals: tuple[str, ...]
    parts: tuple[str, ...]
    failed: int = 0


PruneOutcome = PruneResult | Refused | NotReached


async def prune(
    store: interface.ObjectStore,
    deployment: str,
    versions: int,
    operator: Operator,
    dry_run: bool = False,
) -> PruneOutcome:
    """Deletes objects that neither kept versions nor recent proposals need.

    Args:
        store: The object API of the deployment.
        deployment: Fleet whose bundles are pruned.
        versions: Accepted versions to keep, the one in force included.
        operator: Operator that prunes.
        dry_run: Only return what would be deleted.
    """
    if versions < MIN_VERSIONS:
        return Refused((f"Keep at least {MIN_VERSIONS} versions.",))
    head = await reading.read_head(store, deployment)
    if isinstance(head, NotReached):
        return head
    if isinstance(head, NoHead):
        return Refused(("No bundle was accepted yet.",))
    if isinstance(head, DamagedObject):
        return Refused((head.reason,))
    parts = await store.list(reading.PARTS)
    proposals = await store.list(reading.PROPOSALS, {"deployment": deployment})
    for listed in (parts, proposals):
        if isinstance(listed, interface.Unavailable):
            return NotReached(listed.reason)
    before = operator.wall() - MIN_AGE_S
    unneeded = _select_unneeded(
        head, proposals.items, parts.items, versions, before
    )
    return await _delete(store, unneeded, operator, dry_run)


def _select_unneeded(
    head: HeadFound,
    proposals: tuple[interface.StoredObject, ...],
    parts: tuple[interface.StoredObject, ...],
    versions: int,
    before: float,
) -> list[interface.StoredObject]:
    """Returns objects older than `before` that are no longer needed."""
    decoded = [reading.decode_proposal(item) for item in proposals]
    found = [item for item in decoded if isinstance(item, ProposalFound)]
    kept = _latest_accepted(head, found, versions)
    for item in found:
        if item.manifest.parent == head.digest or item.proposed_at > before:
            kept[item.digest] = item.manifest
    needed = {
        part.digest for manifest in kept.values() for part in manifest.parts
    }
    unneeded = [item.item for item in found if item.digest not in kept]
    return unneeded + [
        item
        for item in parts
        if item.name not in needed and _stored_at(item) <= before
    ]


def _latest_accepted(
    head: HeadFound, found: list[ProposalFound], versions: int
) -> dict[str, Manifest]:
    """Returns the latest accepted manifests by digest."""
    by_digest = {item.digest: item.manifest for item in found}
    manifest = head.accepted.manifest
    kept = {head.digest: manifest}
    while len(kept) < versions and manifest.parent in by_digest:
        kept[manifest.parent] = by_digest[manifest.parent]
        manifest = kept[manifest.parent]
    return kept


def _stored_at(item: interface.StoredObject) -> float:
    return reading.stored_at(item.value)


async def _delete(
    store: interface.ObjectStore,
    unneeded: list[interface.StoredObject],
    operator: Operator,
    dry_run: bool,
) -> PruneOutcome:
    names: dict[str, tuple[str, ...]] = {
        kind: tuple(item.name for item in unneeded if item.kind == kind)
        for kind in (reading.PROPOSALS, reading.PARTS)
    }
    result = PruneResult(names[reading.PROPOSALS], names[reading.PARTS])
    if dry_run or not unneeded:
        return result
    detail: dict[str, Any] = {
        "proposals": len(result.proposals),
        "parts": len(result.parts),
    }
    failure = await operator.audit("prune", detail)
    if failure:
        return NotReached(failure)
    failed = 0
    for item in unneeded:
        outcome = await store.delete(item)
        done = isinstance(outcome, interface.Found | interface.Missing)
        failed += 0 if done else 1
    return dataclasses.replace(result, failed=failed)
