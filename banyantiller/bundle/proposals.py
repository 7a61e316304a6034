"""Proposes bundles: stores their parts, then the signed proposal."""

from typing import Any

from banyantiller.bundle import (
    canonical,
    reading,
    signing,
    verification,
    writing,
)
from banyantiller.bundle.manifest import Manifest, Part, Signature
from banyantiller.bundle.operators import Operator
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import (
    DamagedObject,
    NotKnown,
    NotReached,
    Proposed,
    ProposeOutcome,
    Refused,
)
from banyantiller.store import interface

RENEW_AFTER_S = 3600.0


async def propose(
    store: interface.ObjectStore,
    deployment: str,
    bundle: Bundle,
    operator: Operator,
    floor: int = 0,
) -> ProposeOutcome:
    """Proposes a bundle that follows the accepted one.

    Args:
        store: The object API.
        deployment: Fleet that the bundle is for.
        bundle: Its checked content.
        operator: The proposer.
        floor: Highest version in force at any daemon. It keeps the new
            version above all versions that daemons hold, even if the object
            API has lost accepted bundles.

    Returns:
        `Proposed` once the proposal and all its parts are stored. Proposing
        the same content again returns the same proposal.
    """
    head = await reading.read_head(store, deployment)
    if isinstance(head, NotReached):
        return head
    base = reading.ProposalBase.from_head(head)
    parts = canonical.split(bundle)
    manifest = Manifest(
        deployment=deployment,
        version=_next_version(base, floor),
        parent=base.digest,
        proposer=operator.name,
        description=bundle.description,
        parts=tuple(part for part, _ in parts.values()),
    )
    signature = signing.sign(
        operator.private, operator.name, signing.PROPOSE, manifest
    )
    now = operator.wall()
    reasons = _find_refusal_reasons(manifest, signature, operator, now)
    if reasons:
        return Refused(reasons)
    failure = await _store_parts(store, parts, set(base.parts), now)
    if failure is not None:
        return failure
    return await _store_proposal(store, manifest, signature, operator, now)


def _find_refusal_reasons(
    manifest: Manifest, signature: Signature, operator: Operator, now: float
) -> tuple[str, ...]:
    """Lists why daemons would reject the proposal even if it is signed."""
    return (
        *verification.check_manifest(manifest, manifest.deployment),
        *verification.check_proposer(
            manifest, (signature,), operator.trusted, now
        ),
    )


def _next_version(base: reading.ProposalBase, floor: int) -> int:
    # Version 1 is reserved for a bundle without a parent.
    lowest = 1 if base.digest else 0
    return max(base.version, floor, lowest) + 1


async def _store_parts(
    store: interface.ObjectStore,
    parts: dict[str, tuple[Part, bytes]],
    stored: set[Part],
    now: float,
) -> Refused | NotReached | NotKnown | None:
    for part, data in parts.values():
        if part in stored:
            continue
        value = reading.part_value(part, data, now)
        if writing.json_size(value) > interface.MAX_VALUE_BYTES:
            message = f"Service '{part.service}' is too large for one object."
            return Refused((message,))
        failure = await _store_part(store, part, value)
        if failure is not None:
            return failure
    return None


async def _store_part(
    store: interface.ObjectStore, part: Part, value: dict[str, Any]
) -> Refused | NotReached | NotKnown | None:
    """Stores a part; renews an old one so that it is not pruned."""
    for _ in writing.retry_pauses():
        item = await writing.ensure_exists(
            store,
            reading.PARTS,
            part.digest,
            value,
            {"service": part.service},
            lambda item: item.value.get("data") == value["data"],
        )
        if isinstance(item, DamagedObject):
            return Refused((item.reason,))
        if isinstance(item, NotReached | NotKnown):
            return item
        age_s = value["stored_at"] - reading.stored_at(item.value)
        if age_s < RENEW_AFTER_S:
            return None
        await store.update(item, value)
    return NotReached("an old part could not be renewed")


async def _store_proposal(
    store: interface.ObjectStore,
    manifest: Manifest,
    signature: Signature,
    operator: Operator,
    now: float,
) -> ProposeOutcome:
    digest = canonical.manifest_digest(manifest)
    detail = {"digest": digest, "version": manifest.version}
    failure = await operator.audit("propose", detail)
    if failure:
        return NotReached(failure)
    value = reading.proposal_value(manifest, (signature,), now)
    outcome = await writing.ensure_exists(
        store,
        reading.PROPOSALS,
        reading.proposal_name(manifest.deployment, digest),
        value,
        {"deployment": manifest.deployment},
        lambda item: item.value.get("manifest") == value["manifest"],
    )
    if isinstance(outcome, DamagedObject):
        return Refused((outcome.reason,))
    if isinstance(outcome, NotReached | NotKnown):
        return outcome
    return Proposed(manifest, digest)
