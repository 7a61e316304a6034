"""Rolls a signed proposal with one conditional write of the head object.

The first roll of a deployment creates the head. Each later roll updates it on
condition of the resource version that was read, so the object API accepts only
one of two concurrent rolls. If the response to the write is lost, the head is
read back to find the outcome.
"""

import asyncio
from typing import NamedTuple

import structlog

from banyantiller.bundle import descriptions, reading, verification, writing
from banyantiller.bundle.manifest import AcceptedBundle
from banyantiller.bundle.operators import Operator
from banyantiller.bundle.outcomes import (
    DamagedObject,
    HeadFound,
    Lost,
    NotFound,
    NotReached,
    OutOfDate,
    ProposalFound,
    Refused,
    Rolled,
    RollOutcome,
)
from banyantiller.store import interface

log = structlog.get_logger("banyantiller.bundle")

MAX_ANCESTORS = 32
CONCURRENT_PART_READS = 8
DAMAGED_HEAD = (
    "The accepted bundle in the object API is damaged; propose the change"
    " again to replace it."
)


class _RollRequest(NamedTuple):
    """A bundle to be accepted, and the head that it replaces."""

    store: interface.ObjectStore
    deployment: str
    base: reading.ProposalBase
    accepted: AcceptedBundle
    digest: str


async def roll(
    store: interface.ObjectStore,
    deployment: str,
    digest: str,
    operator: Operator,
) -> RollOutcome:
    """Makes a signed proposal the accepted bundle.

    Args:
        store: The object API.
        deployment: Fleet that the proposal is for.
        digest: Digest of the proposal, at least 32 digits.
        operator: Operator that rolls; any operator with a trusted key.

    Returns:
        `Rolled` once the object API has confirmed that the bundle is
        accepted, also if an earlier roll accepted it. After any outcome but
        `Rolled` and `NotKnown`, this roll has not changed the bundle in
        force.
    """
    proposal = await reading.read_proposal(store, deployment, digest)
    if isinstance(proposal, NotFound | DamagedObject):
        return Refused((descriptions.describe(proposal),))
    if isinstance(proposal, NotReached):
        return proposal
    head = await reading.read_head(store, deployment)
    if isinstance(head, NotReached):
        return head
    accepted = AcceptedBundle(
        proposal.manifest,
        proposal.signatures,
        operator.wall(),
        operator.name,
    )
    base = reading.ProposalBase.from_head(head)
    request = _RollRequest(store, deployment, base, accepted, proposal.digest)
    if isinstance(head, HeadFound) and await _is_accepted(request, head):
        rolled = _to_rolled(request, head)
        note = rolled.note or "It was accepted before."
        return Rolled(rolled.accepted, rolled.digest, note)
    return await _record_and_write(request, operator)


async def _record_and_write(
    request: _RollRequest, operator: Operator
) -> RollOutcome:
    refusal = await _find_refusal(request, operator)
    if refusal is not None:
        return refusal
    manifest = request.accepted.manifest
    detail = {"digest": request.digest, "version": manifest.version}
    failure = await operator.audit("roll", detail)
    if failure:
        return NotReached(failure)
    outcome = await _write_head(request)
    result = type(outcome).__name__.lower()
    failure = await operator.audit("roll_result", {**detail, "result": result})
    if failure:
        log.warning(
            "bundle: result of a roll was not recorded in the audit trail."
        )
    return outcome


async def _find_refusal(
    request: _RollRequest, operator: Operator
) -> OutOfDate | Refused | NotReached | None:
    accepted = request.accepted
    reasons = verification.verify(
        accepted, operator.trusted, request.deployment, accepted.accepted_at
    )
    if not any(key.name == operator.name for key in operator.trusted):
        reasons += (f"No key of operator '{operator.name}' is trusted.",)
    if reasons:
        return Refused(reasons)
    base, manifest = request.base, accepted.manifest
    if manifest.parent == base.digest and manifest.version > base.version:
        return await _check_parts(request)
    if base.item is not None and not base.version:
        return Refused((DAMAGED_HEAD,))
    if base.version < manifest.version - 1:
        return NotReached(
            "it returned an older bundle than the proposal follows"
        )
    return OutOfDate(base.roller, base.version, base.digest)


async def _check_parts(request: _RollRequest) -> Refused | NotReached | None:
    stored = set(request.base.parts)
    new_parts = [
        part for part in request.accepted.manifest.parts if part not in stored
    ]
    for start in range(0, len(new_parts), CONCURRENT_PART_READS):
        batch = new_parts[start : start + CONCURRENT_PART_READS]
        found = await asyncio.gather(
            *(reading.read_part(request.store, part) for part in batch)
        )
        for outcome in found:
            if isinstance(outcome, NotReached):
                return outcome
            if isinstance(outcome, NotFound | DamagedObject):
                return Refused((descriptions.describe(outcome),))
    return None


async def _write_head(request: _RollRequest) -> RollOutcome:
    """Writes the head, with retries.

    A retry after a lost response has the same condition as the first write.
    """
    attempts = writing.FailedAttempts()
    for pause in writing.retry_pauses():
        outcome = await _write_head_once(request)
        if isinstance(outcome, interface.Found):
            return Rolled(request.accepted, request.digest)
        attempts.record(
            outcome, "the head was changed, but its state cannot be read"
        )
        settled = await _read_back(request)
        if settled is not None:
            return settled
        await asyncio.sleep(pause)
    return attempts.outcome()


async def _write_head_once(request: _RollRequest):
    value = reading.head_value(request.accepted)
    if request.base.item is not None:
        return await request.store.update(request.base.item, value)
    labels = {"deployment": request.deployment}
    return await request.store.create(
        reading.HEADS, request.deployment, value, labels
    )


async def _read_back(request: _RollRequest) -> RollOutcome | None:
    """Reads the head back; None if it is no newer than before the write."""
    head = await reading.read_head(request.store, request.deployment)
    if not isinstance(head, HeadFound):
        return None
    was_accepted = await _is_accepted(request, head)
    if was_accepted:
        return _to_rolled(request, head)
    version = head.accepted.manifest.version
    if was_accepted is None or version <= request.base.version:
        return None
    return Lost(head.accepted.roller, version, head.digest)


async def _is_accepted(request: _RollRequest, head: HeadFound) -> bool | None:
    """Returns whether a head is the requested bundle or a descendant of it.

    Returns:
        None if the ancestors of the head cannot be read far enough.
    """
    if head.digest == request.digest:
        return True
    requested_version = request.accepted.manifest.version
    manifest = head.accepted.manifest
    for _ in range(MAX_ANCESTORS):
        if manifest.version <= requested_version:
            return False
        if manifest.parent == request.digest:
            return True
        found = await reading.read_proposal(
            request.store, request.deployment, manifest.parent
        )
        if not isinstance(found, ProposalFound):
            return None
        manifest = found.manifest
    return None


def _to_rolled(request: _RollRequest, head: HeadFound) -> Rolled:
    if head.digest == request.digest:
        return Rolled(head.accepted, head.digest)
    accepted = head.accepted
    note = (
        f"Version {accepted.manifest.version} of '{accepted.roller}' has"
        " followed since."
    )
    return Rolled(request.accepted, request.digest, note)
